"""Tests for following a stream of the log."""

from __future__ import annotations

import queue
import unittest

from crocuswick.platform_log import LogClient, LogFollower, PageRead
from tests.fakes.launcher import Launcher

FIRST_PAGE_TIMEOUT_S = 2.0


class LogFollowerTests(unittest.TestCase):
    def test_an_empty_stream_is_reported_without_waiting(self):
        with Launcher() as launcher:
            log = launcher.fake("log_service")
            posted = queue.SimpleQueue()
            follower = LogFollower(
                client=LogClient(address=log.address, timeout_ms=1000),
                stream="configuration",
                post=posted.put,
                poll_wait_ms=60_000,
            )
            follower.start()
            message = posted.get(timeout=FIRST_PAGE_TIMEOUT_S)
            follower.stop()
            self.assertIsInstance(message, PageRead)
            self.assertTrue(message.is_end)
