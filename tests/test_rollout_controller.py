"""Tests for orders and rollouts against fake engines and a fake log service."""

from __future__ import annotations

import threading
import time
import unittest

from crocuswick.configuration import Configuration, check_objects
from crocuswick.rollout_controller import RolloutController
from tests.fakes.launcher import Launcher, wait_until


class RolloutControllerTests(unittest.TestCase):
    def setUp(self):
        self.launcher = Launcher()
        self.addCleanup(self.launcher.close)
        self.log = self.launcher.fake("log_service")
        self.engines = []
        self.wanted = "v1"
        self.samples = []
        self.notified_rollouts = []

    def start_engines(self, count, **settings):
        self.engines = [
            self.launcher.fake(
                "engine", name=f"e{number}", slow_load_ms=400, wait=False, **settings
            )
            for number in range(count)
        ]
        self.launcher.wait_ready()
        threading.Thread(target=self._sample, daemon=True).start()

    def configuration(self):
        objects = [
            {
                "kind": "model_version",
                "id": "mv",
                "model": "m",
                "weights_version": self.wanted,
            },
            {
                "kind": "endpoint_pool",
                "id": "p",
                "pool_kind": "engine",
                "endpoints": [
                    {"id": each.name, "address": each.address, "zone": "z"}
                    for each in self.engines
                ],
            },
            {
                "kind": "routing_policy",
                "id": "r",
                "model": "public",
                "model_version": "mv",
                "pool": "p",
            },
        ]
        return Configuration.from_objects(
            revision=1, objects=check_objects(objects).unwrap()
        )

    def controller(self, name="node-1"):
        controller = RolloutController(
            log_address=self.log.address,
            node_id=name,
            configuration=self.configuration,
            on_rollout=self.notified_rollouts.append,
            min_ready_s=0.2,
        )
        controller.start()
        self.addCleanup(controller.stop)
        return controller

    def states(self):
        return [each.call("GET", "/v1/state") for each in self.engines]

    def await_version(self, version):
        wait_until(
            lambda: all(
                state["models"]["m"] == version and state["state"] == "ready"
                for state in self.states()
            ),
            timeout_s=40,
            interval_s=0.1,
        )

    def assert_always_ready_and_few_loads(self):
        self.assertTrue(self.samples)
        self.assertLessEqual(max(sample.count("loading") for sample in self.samples), 2)
        self.assertGreaterEqual(
            min(sample.count("ready") for sample in self.samples), 1
        )

    def _sample(self):
        try:
            while True:
                self.samples.append([state["state"] for state in self.states()])
                time.sleep(0.03)
        except Exception:  # noqa: BLE001 - the fakes have stopped
            return

    def test_rollout_with_lost_responses(self):
        self.start_engines(4)
        self.wanted = "v2"
        self.engines[0].set_faults(lose_next_order_answers=1)
        self.engines[2].set_faults(lose_next_order_answers=1)
        controller = self.controller()
        self.await_version("v2")
        self.assert_always_ready_and_few_loads()
        rollout = controller.rollout("p", "m")
        self.assertEqual((rollout.old_version, rollout.new_version), ("v1", "v2"))

    def test_failing_weights_are_rolled_back(self):
        store = self.launcher.fake("weight_store", weights="m=v1", load_ms=50)
        self.start_engines(4, weight_store=store.url)
        self.wanted = "v2"
        controller = self.controller()
        wait_until(
            lambda: (
                (rollout := controller.rollout("p", "m")) and rollout.is_rolled_back
            ),
            timeout_s=40,
        )
        self.await_version("v1")
        self.assertEqual(
            [rollout.is_rolled_back for rollout in self.notified_rollouts],
            [False, True],
        )
        self.assert_always_ready_and_few_loads()

    def test_next_holder_completes_the_rollout_and_old_tokens_are_refused(self):
        self.start_engines(3, check_tokens=True)
        self.wanted = "v2"
        first = self.controller("node-1")
        wait_until(lambda: first.rollout("p", "m"), timeout_s=20)
        first.stop()
        self.controller("node-2")
        self.await_version("v2")
        self.assert_always_ready_and_few_loads()
        old = {
            "order_id": "late",
            "fencing_token": 0,
            "action": "load_model",
            "model": "m",
            "weights_version": "v1",
        }
        with self.assertRaisesRegex(RuntimeError, "fenced"):
            self.engines[0].call("POST", "/v1/orders", old)

    def test_stale_order_to_an_engine_without_token_checks_is_corrected(self):
        self.start_engines(2, check_tokens=False)
        self.wanted = "v2"
        self.controller()
        self.await_version("v2")
        stale = {
            "order_id": "stale",
            "fencing_token": 0,
            "action": "load_model",
            "model": "m",
            "weights_version": "v1",
        }
        self.engines[0].call("POST", "/v1/orders", stale)
        wait_until(lambda: self.states()[0]["models"]["m"] == "v1", timeout_s=5)
        self.await_version("v2")
        self.assert_always_ready_and_few_loads()


if __name__ == "__main__":
    unittest.main()
