"""Tests of the retry budget and the circuit breakers."""

from __future__ import annotations

import unittest

from crocuswick.circuit_breaker import (
    FAILURES_TO_OPEN,
    OPEN_S,
    CircuitBreakers,
)
from crocuswick.retry_budget import FLEET_RESERVE, RetryBudget


class RetryBudgetTests(unittest.TestCase):
    def test_retries_stay_below_a_fraction_of_requests(self):
        budget = RetryBudget(ratio=0.2, reserve=5)
        taken = 0
        for _ in range(1000):
            budget.record_request()
            taken += budget.take()
        self.assertLessEqual(taken, 1000 * 0.2 + 5)

    def test_a_large_fleet_sends_no_more_retries_at_once_than_a_small_one(self):
        """Guards against a reserve of each node that grows with the fleet: 7,200 retries
        at once, beyond the ratio, of 360 nodes."""
        for nodes in (1, 7, 30, 140, 360):
            with self.subTest(nodes=nodes):
                budgets = [RetryBudget() for _ in range(nodes)]
                for budget in budgets:
                    budget.set_fleet_nodes(nodes)
                taken = sum(budget.take() for budget in budgets for _ in range(30))
                self.assertLessEqual(taken, max(nodes, FLEET_RESERVE))
                self.assertGreaterEqual(taken, nodes)

    def test_a_reserve_that_shrinks_takes_retries_away_once(self):
        budget = RetryBudget()
        budget.set_fleet_nodes(70)
        budget.take()
        budget.set_fleet_nodes(70)
        self.assertEqual([budget.take() for _ in range(2)], [True, False])


class CircuitBreakerTests(unittest.TestCase):
    def test_opens_after_consecutive_failures_and_lets_a_probe_pass(self):
        breakers = CircuitBreakers()
        for _ in range(FAILURES_TO_OPEN):
            breakers.of("a").record_failure(10.0)
        self.assertEqual(breakers.open_ids(10.1), {"a"})
        self.assertEqual(breakers.open_ids(10.0 + OPEN_S), set())
        breakers.of("a").record_success()
        self.assertEqual(breakers.open_ids(10.1), set())
