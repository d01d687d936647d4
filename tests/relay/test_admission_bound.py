"""Tests of the limit on the expected wait of a request."""

from __future__ import annotations

import unittest

from crocuswick.relay.admission_bound import longest_wait_ms
from tests.relay.samples import caller, routed

TARGET_MS = 800


class LongestWaitTests(unittest.TestCase):
    def test_a_request_may_wait_slightly_beyond_the_target_latency(self):
        bound_ms = longest_wait_ms(routed(), 100.0, 0.0)
        self.assertGreater(bound_ms, TARGET_MS)
        self.assertLess(bound_ms, 1.5 * TARGET_MS)

    def test_a_large_prompt_is_not_refused_for_its_own_size(self):
        """Guards against starvation of large prompts: one whose own prefill exceeds
        the target latency was refused even at idle engines."""
        service_ms = 2 * TARGET_MS
        self.assertGreater(longest_wait_ms(routed(), service_ms, 0.0), service_ms + 100)

    def test_a_retry_by_the_caller_may_wait_longer(self):
        """Guards against endless retries: a request that was refused before is accepted
        more readily."""
        retried = routed(caller=caller(time_budget_ms=4_000), deadline_s=4.0)
        self.assertGreater(
            longest_wait_ms(retried, 100.0, 0.0), longest_wait_ms(routed(), 100.0, 0.0)
        )

    def test_no_request_waits_beyond_the_deadline(self):
        late = routed(deadline_s=0.3)
        self.assertLessEqual(longest_wait_ms(late, 5_000.0, 0.0), 300.0)
