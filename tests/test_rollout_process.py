"""Tests that no request fails during a rollout, with real processes."""

from __future__ import annotations

import threading
import unittest

import attrs
import urllib3

from tests.fakes.launcher import wait_until
from tests.fleet import ENGINE_MODEL, MODEL, Fleet, FleetPlan, caller_key

ROLLOUT_TIMEOUT_S = 40.0
MIN_REQUESTS = 20


class RolloutTests(unittest.TestCase):
    def setUp(self):
        plan = FleetPlan(
            nodes=2, engines=4, engine_flags={"slow_load_ms": 200, "decode_ms": 2}
        )
        self.fleet = Fleet(plan=plan)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.launcher.close)
        applied = self.fleet.apply()
        self.assertEqual(applied.returncode, 0, applied.stderr)
        self.fleet.wait_ready()
        self.statuses = []
        self.refusals = []
        self.stopped = threading.Event()

    def publish(self, version: str) -> None:
        self.fleet.plan = attrs.evolve(self.fleet.plan, weights_version=version)
        applied = self.fleet.apply(base_revision=1)
        self.assertEqual(applied.returncode, 0, applied.stderr)

    def versions(self) -> list[str]:
        return [
            engine.call("GET", "/v1/load")["models"].get(ENGINE_MODEL, "none")
            for engine in self.fleet.engines
        ]

    def call_until_stopped(self) -> None:
        pool = urllib3.PoolManager(retries=False)
        number = 0
        while not self.stopped.is_set():
            number += 1
            response = pool.request(
                "POST",
                f"{self.fleet.nodes[number % 2].url}/v1/completions",
                json={"model": MODEL, "prompt": f"q{number}", "max_tokens": 3},
                headers={"Authorization": f"Bearer {caller_key('swanfold')}"},
            )
            self.statuses.append(response.status)
            if response.status != 200:
                self.refusals.append(response.data.decode())

    def under_traffic(self, condition) -> None:
        thread = threading.Thread(target=self.call_until_stopped)
        thread.start()
        try:
            wait_until(
                lambda: condition() and len(self.statuses) > MIN_REQUESTS,
                timeout_s=ROLLOUT_TIMEOUT_S,
                interval_s=0.1,
            )
        finally:
            self.stopped.set()
            thread.join()
        self.assertEqual(set(self.statuses), {200}, self.refusals)

    def test_all_engines_get_the_new_weights_and_no_request_fails(self):
        self.publish("v2")
        loading = []

        def all_new() -> bool:
            states = [
                engine.call("GET", "/v1/load")["state"] for engine in self.fleet.engines
            ]
            loading.append(states.count("loading"))
            return self.versions() == ["v2"] * 4

        self.under_traffic(all_new)
        self.assertLessEqual(max(loading), 2)

    def test_weights_that_fail_are_rolled_back_and_no_request_fails(self):
        for engine in self.fleet.engines:
            engine.set_faults(fail_orders=True)
        self.publish("v2")

        def rolled_back() -> bool:
            logs = "".join(node.stderr() for node in self.fleet.nodes)
            return "is must_roll_back" in logs and self.versions() == ["v1"] * 4

        self.under_traffic(rolled_back)
