"""Tests of the windowed retry budget."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from crocuswick.relay.windowed_retry_budget import RetryBounds, WindowedRetryBudget

BOUNDS = RetryBounds(ratio=0.2, allowance=5, window_s=10)
NO_REQUESTS = RetryBounds(ratio=0, allowance=5, window_s=10)


def count(times, end_s):
    return sum(end_s - 10 <= at <= end_s for at in times)


class WindowedRetryBudgetTests(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.booleans(), st.floats(0, 0.5)), max_size=200),
        st.booleans(),
    )
    def test_no_window_has_more_retries_than_its_requests_allow(self, steps, is_full):
        """The bound on retries holds in every window, not only on average."""
        budget = WindowedRetryBudget(bounds=BOUNDS, started_s=0.0, is_full=is_full)
        now_s = 0.0
        requests, retries = [], []
        for is_request, pause_s in steps:
            now_s += pause_s
            if is_request:
                budget.record_request(now_s)
                requests.append(now_s)
            elif budget.take(now_s):
                retries.append(now_s)
        # Retries follow requests, so that those of the window before count as well.
        for end_s in [*retries, *(at + 10 for at in retries)]:
            recent = max(count(requests, end_s), count(requests, end_s - 10))
            self.assertLessEqual(count(retries, end_s), 0.2 * recent + 5)

    def test_retries_are_available_again_in_the_course_of_a_window(self):
        budget = WindowedRetryBudget(bounds=NO_REQUESTS, started_s=0.0, is_full=True)
        self.assertEqual([budget.take(0.0) for _ in range(4)], [True] * 3 + [False])
        self.assertFalse(budget.take(6.0))
        self.assertTrue(budget.take(7.0))
        self.assertFalse(budget.take(7.0))

    def test_a_node_that_starts_again_has_no_retries_yet(self):
        """Guards against a full allowance at each of a series of restarts."""
        budget = WindowedRetryBudget(bounds=NO_REQUESTS, started_s=0.0)
        self.assertFalse(budget.take(0.0))
        self.assertTrue(budget.take(7.0))

    def test_rejected_requests_leave_retries_to_those_that_may_have_run(self):
        """Guards against streams that are cut because rejected requests have used all
        retries up."""
        budget = WindowedRetryBudget(bounds=NO_REQUESTS, started_s=0.0, is_full=True)
        taken = [budget.take(0.0, is_rejected=True) for _ in range(3)]
        self.assertEqual(taken, [True, True, False])
        self.assertTrue(budget.take(0.0))
        self.assertFalse(budget.take(0.0))

    def test_a_small_budget_serves_rejected_requests_too(self):
        budget = WindowedRetryBudget(
            bounds=RetryBounds(ratio=0, allowance=2, window_s=10),
            started_s=0.0,
            is_full=True,
        )
        self.assertTrue(budget.take(0.0, is_rejected=True))
