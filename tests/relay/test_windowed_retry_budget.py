"""Tests of the windowed retry budget."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from crocuswick.relay.windowed_retry_budget import RetryBounds, WindowedRetryBudget


class WindowedRetryBudgetTests(unittest.TestCase):
    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 0.5)), max_size=200))
    def test_no_window_has_more_retries_than_its_requests_allow(self, steps):
        """The bound on retries holds in every window, not only on average."""
        budget = WindowedRetryBudget(
            bounds=RetryBounds(ratio=0.2, allowance=5, window_s=10)
        )
        now_s = 0.0
        requests, retries = [], []
        for is_request, pause_s in steps:
            now_s += pause_s
            if is_request:
                budget.record_request(now_s)
                requests.append(now_s)
            elif budget.take(now_s):
                retries.append(now_s)
                recent = sum(at >= now_s - 10 for at in retries)
                allowed = 0.2 * sum(at >= now_s - 10 for at in requests) + 5
                self.assertLessEqual(recent, allowed)

    def test_retries_are_allowed_again_after_the_window(self):
        budget = WindowedRetryBudget(
            bounds=RetryBounds(ratio=0, allowance=1, window_s=10)
        )
        self.assertTrue(budget.take(0.0))
        self.assertFalse(budget.take(9.9))
        self.assertTrue(budget.take(10.1))
