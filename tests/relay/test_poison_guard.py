"""Tests of the attribution of crashes in a fleet, where a node seldom sends the same
replica another request soon."""

from __future__ import annotations

import unittest

from crocuswick.relay.poison_guard import PoisonGuard
from crocuswick.relay.replica_health import AttemptResult
from tests.relay.samples import caller, routed


def request(number: int):
    return routed(caller=caller(request_id=f"r{number}", target=f"/digest/{number}"))


class PoisonGuardTests(unittest.TestCase):
    def setUp(self):
        self.guard = PoisonGuard()
        self.poison = request(1)

    def lose(self, incarnation, now_s, *, result=AttemptResult.FAILED):
        """Let the poison request be lost before any part of its answer arrived."""
        self.guard.attempt_ended(
            self.poison, incarnation, result, is_lost_before_answer=True, now_s=now_s
        )

    def end(self, incarnation, now_s):
        return self.guard.replica_ended(incarnation, now_s)

    def answer(self, incarnation, now_s):
        self.guard.attempt_ended(
            request(2),
            incarnation,
            AttemptResult.ANSWERED,
            is_lost_before_answer=False,
            now_s=now_s,
        )

    def test_a_replica_that_is_gone_some_seconds_later_had_crashed(self):
        """Guards against a request that goes on crashing replicas since no node tries
        them again soon; they are back, or gone, after some seconds."""
        self.lose("x@1", 0.0)
        self.assertEqual(len(self.end("x@1", 8.0)), 1)
        self.lose("y@1", 9.0)
        self.assertEqual(len(self.end("y@1", 14.0)), 1)
        self.assertIsNotNone(self.guard.check(self.poison, 15.0))
        self.assertIsNone(self.guard.check(request(2), 15.0))

    def test_a_replica_that_answered_meanwhile_had_not_crashed(self):
        self.lose("x@1", 0.0)
        self.answer("x@1", 1.0)
        self.assertEqual(self.end("x@1", 8.0), [])

    def test_a_replica_that_answered_a_peer_meanwhile_had_not_crashed(self):
        self.lose("x@1", 0.0)
        self.guard.replica_answered("x@1", 1.0)
        self.assertEqual(self.end("x@1", 8.0), [])

    def test_a_silent_replica_is_not_taken_for_a_crashed_one(self):
        """Guards against the refusal of requests that were at replicas of a zone when it
        was cut off."""
        for name in ("x@1", "y@1"):
            self.lose(name, 0.0, result=AttemptResult.SILENT)
            self.assertEqual(self.end(name, 0.4), [])
        self.assertIsNone(self.guard.check(self.poison, 1.0))

    def end_unframed(self, number, incarnation, now_s, *, sent_s=None):
        """Let an answer without length or chunks end with its connection."""
        self.guard.attempt_ended(
            request(number),
            incarnation,
            AttemptResult.ANSWERED,
            is_lost_before_answer=False,
            is_framed=False,
            sent_s=now_s - 0.1 if sent_s is None else sent_s,
            now_s=now_s,
        )

    def test_an_unframed_answer_that_ends_with_its_replica_was_broken_off(self):
        """Guards against crashes that look like the end of a complete answer, which would
        clear the request that causes them."""
        for number, name in enumerate(("x@1", "y@1", "z@1")):
            self.end_unframed(1, name, 10.0 * number)
            self.end(name, 10.0 * number + 3.6)
        self.assertIsNotNone(self.guard.check(self.poison, 40.0))

    def test_an_unframed_answer_counts_once_its_replica_has_answered_again(self):
        """Guards against the refusal of sound requests where no answer is framed."""
        for number, name in enumerate(("x@1", "y@1", "z@1")):
            self.end_unframed(1, name, 10.0 * number)
            self.end_unframed(2, name, 10.0 * number + 0.3)
            self.end(name, 10.0 * number + 3.6)
        self.assertIsNone(self.guard.check(self.poison, 40.0))

    def test_an_answer_at_a_peer_clears_a_request(self):
        """Guards against the refusal of a request that many callers send, and that was in
        flight at two crashes which it did not cause."""
        peer = PoisonGuard()
        self.lose("x@1", 0.0)
        for crashed in self.end("x@1", 0.1):
            peer.record_peer_crash(crashed, 0.2)
        answers = peer.attempt_ended(
            self.poison,
            "y@1",
            AttemptResult.ANSWERED,
            is_lost_before_answer=False,
            now_s=5.0,
        )
        for answered in answers:
            self.guard.record_peer_answers(answered, 5.1)
        self.lose("z@1", 9.0)
        self.end("z@1", 9.1)
        self.assertIsNone(self.guard.check(self.poison, 10.0))
        self.assertEqual(len(self.guard.crashes(10.0)), 1)

    def lose_with(self, guard, number, incarnation, now_s):
        """Let a replica crash under a request that shares a segment with others."""
        guard.attempt_ended(
            routed(caller=caller(request_id=f"r{number}", body=b"%d" % number)),
            incarnation,
            AttemptResult.FAILED,
            is_lost_before_answer=True,
            now_s=now_s,
        )
        guard.replica_ended(incarnation, now_s)

    def test_what_is_stored_refuses_no_segment_without_a_further_crash(self):
        """Guards against the refusal of a sound segment by all nodes of a fleet that have
        restarted: the crashes are in the store, and the answers since are forgotten."""
        sound = routed(caller=caller(body=b"another"))
        for number in range(4):
            self.lose_with(self.guard, number, f"x{number}@1", float(number))
        self.assertIsNotNone(self.guard.check(sound, 5.0))
        stored = self.guard.take_unstored(5.0)
        self.assertTrue(stored)
        started = PoisonGuard()
        for crashes in stored.values():
            for crashed in crashes:
                started.record_peer_crash(crashed, 6.0)
        self.assertIsNone(started.check(sound, 6.0))
        self.lose_with(started, 9, "x9@1", 7.0)
        self.assertIsNotNone(started.check(sound, 8.0))

    def test_a_node_that_starts_is_told_of_earlier_crashes(self):
        """Guards against a request that crashes replicas again by way of each node that
        has started since."""
        for name, lost_s in (("x@1", 0.0), ("y@1", 5.0)):
            self.lose(name, lost_s)
            self.end(name, lost_s + 0.1)
        started = PoisonGuard()
        for crashed in self.guard.crashes(20.0):
            started.record_peer_crash(crashed, 100.0)
        self.assertIsNotNone(started.check(self.poison, 100.0))
        self.assertEqual(
            sorted(each.age_ms for each in started.crashes(100.0)), [14_900, 19_900]
        )
