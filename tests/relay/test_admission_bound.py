"""Tests of how long a request may be expected to wait."""

from __future__ import annotations

import unittest

from crocuswick.relay.admission_bound import longest_wait_ms
from tests.relay.samples import caller, routed

TARGET_MS = 800


class LongestWaitTests(unittest.TestCase):
    def test_a_request_may_wait_little_beyond_its_goal(self):
        bound_ms = longest_wait_ms(routed(), 100.0, 0.0)
        self.assertGreater(bound_ms, TARGET_MS)
        self.assertLess(bound_ms, 1.5 * TARGET_MS)

    def test_a_large_prompt_is_not_refused_for_its_own_size(self):
        """Large prompts starved: one that takes longer than the goal by itself was
        refused at idle engines."""
        service_ms = 2 * TARGET_MS
        self.assertGreater(longest_wait_ms(routed(), service_ms, 0.0), service_ms + 100)

    def test_a_caller_that_comes_back_may_wait_longer(self):
        """Repeated retries: whoever was refused before is taken rather."""
        back = routed(caller=caller(time_budget_ms=4_000), deadline_s=4.0)
        self.assertGreater(
            longest_wait_ms(back, 100.0, 0.0), longest_wait_ms(routed(), 100.0, 0.0)
        )

    def test_nobody_waits_beyond_the_deadline(self):
        late = routed(deadline_s=0.3)
        self.assertLessEqual(longest_wait_ms(late, 5_000.0, 0.0), 300.0)
