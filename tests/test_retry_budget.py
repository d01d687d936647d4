"""Tests of the retry budget and the circuit breakers."""

from __future__ import annotations

import unittest

from crocuswick.circuit_breaker import (
    FAILURES_TO_OPEN,
    OPEN_S,
    CircuitBreakers,
)
from crocuswick.retry_budget import RetryBudget


class RetryBudgetTests(unittest.TestCase):
    def test_retries_stay_below_a_fraction_of_requests(self):
        budget = RetryBudget(ratio=0.2, reserve=5)
        taken = 0
        for _ in range(1000):
            budget.record_request()
            taken += budget.take()
        self.assertLessEqual(taken, 1000 * 0.2 + 5)


class CircuitBreakerTests(unittest.TestCase):
    def test_opens_after_consecutive_failures_and_lets_a_probe_pass(self):
        breakers = CircuitBreakers()
        for _ in range(FAILURES_TO_OPEN):
            breakers.of("a").record_failure(10.0)
        self.assertEqual(breakers.open_ids(10.1), {"a"})
        self.assertEqual(breakers.open_ids(10.0 + OPEN_S), set())
        breakers.of("a").record_success()
        self.assertEqual(breakers.open_ids(10.1), set())
