"""Tests of which weights requests begin on after all nodes were down."""

from __future__ import annotations

import signal
import time
import unittest

from tests.platform.deployment import OPERATIONS, Deployment, request
from tests.platform.scripted_replica import (
    event,
    plain_answer,
    stream_head,
)

LOADING_S = 1.5
VERSION_MS = 2_000


def without_loading(received) -> None:
    """Answer requests, and refuse to load weights."""
    if received.target.startswith(("/order", "/report")):
        received.send(plain_answer(received, status="409 Busy"))
        return
    received.send(stream_head(received) + event(1) + b"0\r\n\r\n")


class NodeWeightsTests(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        self.deployment.script("engine", without_loading)

    def name_weights(self, version):
        target = {"Model": "m", "Version": version}
        self.deployment.store.put(OPERATIONS, "version/m", target)

    def streams(self):
        received = self.deployment.received("engine")
        return [each for each in received if each.target.startswith("/ask/")]

    def ask(self):
        asked = request("/ask/1", method="POST", host="ai.example", body=b"x")
        return self.deployment.ask(asked)

    def test_a_node_that_starts_sends_nothing_to_outdated_weights(self):
        """Guards against requests that begin on weights that were replaced long ago: a
        node that started, and had no peer to ask, took the time at which it read the
        newer version for that of its announcement."""
        self.name_weights(4)
        self.deployment.node.start()
        started_s = time.monotonic()
        while time.monotonic() < started_s + LOADING_S:
            self.ask()
        self.assertEqual(self.streams(), [])

    def test_a_pause_hides_the_naming_of_weights_but_not_its_age(self):
        """Guards against requests that begin on weights that were replaced long ago: a
        node that was frozen took the time at which it read the newer version, after the
        freeze, for that of its announcement."""
        self.name_weights(3)
        node = self.deployment.node
        settings = node.settings_file.read_text()
        node.settings_file.write_text(settings + f"Bounds.VersionMs={VERSION_MS}\n")
        node.start()
        self.assertEqual(self.ask()[9:12], b"200")
        node.process.send_signal(signal.SIGSTOP)
        self.name_weights(4)
        time.sleep(VERSION_MS / 1000)
        node.process.send_signal(signal.SIGCONT)
        self.deployment.wait_until(lambda: '"version": 4' in node.log())
        served = len(self.streams())
        self.ask()
        self.assertEqual(len(self.streams()), served)

    def test_weights_that_are_named_later_leave_older_ones_in_use(self):
        """Guards against a rollout that takes all engines out of service at once."""
        self.name_weights(3)
        self.deployment.node.start()
        self.name_weights(4)
        self.deployment.wait_until(lambda: '"version": 4' in self.deployment.node.log())
        self.assertEqual(self.ask()[9:12], b"200")
        self.assertEqual(len(self.streams()), 1)


if __name__ == "__main__":
    unittest.main()
