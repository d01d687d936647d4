"""Tests of the interval at which engines are read."""

from __future__ import annotations

import unittest

from crocuswick.endpoints.watcher import MAX_INTERVAL_S, read_interval_s


class ReadIntervalTests(unittest.TestCase):
    def test_read_rate_is_bounded_for_up_to_32_engines(self):
        rates = [engines / read_interval_s(engines) for engines in range(1, 33)]
        # 17 reads per second: 1 / INTERVAL_PER_ENGINE_S, rounded up.
        self.assertLessEqual(max(rates), 17)

    def test_interval_is_bounded(self):
        self.assertEqual(read_interval_s(1), 0.2)
        self.assertEqual(read_interval_s(207), MAX_INTERVAL_S)
