"""Tests of the exponential back-off."""

from __future__ import annotations

import unittest

from crocuswick.backoff import backoff_s, with_jitter_s
from crocuswick.relay.replica_health import AttemptResult, ReplicaHealth
from crocuswick.rollouts.lease_takeover import LeaseTakeover

FAILURES_IN_A_LONG_OUTAGE = 5_000


class BackoffTests(unittest.TestCase):
    def test_pause_doubles_up_to_the_maximum(self):
        pauses_s = [backoff_s(n, initial_s=0.1, max_s=1.0) for n in range(6)]
        self.assertEqual(pauses_s, [0.1, 0.2, 0.4, 0.8, 1.0, 1.0])

    def test_jitter_keeps_at_least_half(self):
        for _ in range(100):
            self.assertTrue(1.0 <= with_jitter_s(2.0) <= 2.0)

    def test_long_outage_does_not_overflow(self):
        """Without a bound, the power of two overflows a float after some thousand
        failures, and the exception ends the thread or actor. A store or an engine
        that is down for hours causes that many failures."""
        pause_s = backoff_s(FAILURES_IN_A_LONG_OUTAGE, initial_s=0.1, max_s=1.0)
        self.assertEqual(pause_s, 1.0)

    def test_replica_unreachable_for_hours_does_not_overflow(self):
        health = ReplicaHealth()
        for number in range(FAILURES_IN_A_LONG_OUTAGE):
            health.record(AttemptResult.UNREACHABLE, float(number))
        self.assertGreater(health.paused_for_s(FAILURES_IN_A_LONG_OUTAGE - 1.0), 0)

    def test_lease_unclaimed_for_hours_does_not_overflow(self):
        takeover = LeaseTakeover(started_s=0.0)
        for number in range(FAILURES_IN_A_LONG_OUTAGE):
            takeover.claim_failed(float(number))
