"""Tests of the health of replicas."""

from __future__ import annotations

import unittest

from crocuswick.relay.replica_health import (
    MAX_PAUSE_S,
    AttemptResult,
    ReplicaHealth,
)


class ReplicaHealthTests(unittest.TestCase):
    def test_the_pause_of_an_unreachable_replica_grows(self):
        health = ReplicaHealth()
        pauses = []
        now_s = 0.0
        for _ in range(6):
            health.record(AttemptResult.UNREACHABLE, now_s)
            pauses.append(health.paused_for_s(now_s))
            now_s += pauses[-1]
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(pauses[-1], MAX_PAUSE_S)

    def test_one_answer_ends_the_pause(self):
        health = ReplicaHealth()
        health.record(AttemptResult.UNREACHABLE, 0.0)
        health.record(AttemptResult.ANSWERED, 0.1)
        self.assertEqual(health.paused_for_s(0.1), 0.0)

    def test_the_failure_share_follows_the_results(self):
        health = ReplicaHealth()
        for number in range(20):
            result = AttemptResult.FAILED if number % 2 else AttemptResult.ANSWERED
            health.record(result, number * 0.1)
        self.assertAlmostEqual(health.failure_share(2.0), 0.5, delta=0.1)

    def test_a_single_failure_does_not_count(self):
        health = ReplicaHealth()
        health.record(AttemptResult.FAILED, 0.0)
        self.assertEqual(health.failure_share(0.0), 0.0)

    def test_failures_decay_with_time(self):
        health = ReplicaHealth()
        for _ in range(10):
            health.record(AttemptResult.SILENT, 0.0)
        self.assertEqual(health.failure_share(30.0), 0.0)

    def test_cancelled_attempts_do_not_count(self):
        health = ReplicaHealth()
        for _ in range(10):
            health.record(AttemptResult.CANCELLED, 0.0)
        self.assertEqual(health.failure_share(0.0), 0.0)
