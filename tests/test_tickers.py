"""Tests of periodic calls."""

from __future__ import annotations

import threading
import time
import unittest

from crocuswick.actor import Ticker, Tickers

TIMEOUT_S = 5.0


class TickersTests(unittest.TestCase):
    def setUp(self):
        self.calls = []
        self.enough = threading.Event()

    def failing(self):
        self.calls.append("failing")
        if self.calls.count("failing") > 3:
            self.enough.set()
        raise RuntimeError("unexpected")

    def test_a_call_that_fails_is_repeated(self):
        """Otherwise one unexpected error ends the gossip or the watch for stalls."""
        ticker = Ticker(name="t", interval_s=0.01, callback=self.failing)
        ticker.start()
        self.addCleanup(ticker.stop)
        self.assertTrue(self.enough.wait(TIMEOUT_S))

    def test_a_call_that_fails_does_not_end_the_others(self):
        done = threading.Event()
        tickers = Tickers()
        tickers.add("failing", 0.01, self.failing)
        tickers.add("sound", 0.02, lambda: self.enough.is_set() and done.set())
        tickers.start()
        self.addCleanup(tickers.stop)
        self.assertTrue(done.wait(TIMEOUT_S))

    def test_each_call_has_its_own_interval(self):
        tickers = Tickers()
        tickers.add("often", 0.02, lambda: self.calls.append("often"))
        tickers.add("seldom", 0.2, lambda: self.calls.append("seldom"))
        tickers.start()
        time.sleep(1.05)
        tickers.stop()
        self.assertLessEqual(self.calls.count("seldom"), 5)
        self.assertGreater(self.calls.count("often"), 3 * self.calls.count("seldom"))
