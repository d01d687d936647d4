"""Tests of the search for the prompt segment that crashes replicas."""

from __future__ import annotations

import unittest

from crocuswick.segment_quarantine import LostRequest, SegmentQuarantine

HARMFUL, HOT, RARE = "m/harmful", "m/hot", "m/rare"


def lost(number, *segments, lost_s, run_s=0.1):
    """Return a request that was lost."""
    return LostRequest(
        fingerprint=f"f{number}",
        segments=segments,
        sent_s=lost_s - run_s,
        lost_s=lost_s,
    )


class SegmentQuarantineTests(unittest.TestCase):
    def setUp(self):
        self.quarantine = SegmentQuarantine()

    def crash(self, number, *segments, at_s, run_s=0.1):
        """Add a crash of a replica under a request with some segments."""
        self.quarantine.add(
            f"r{number}@1",
            lost(number, *segments, lost_s=at_s, run_s=run_s),
            now_s=at_s,
        )

    def is_refused(self, *segments, now_s=100.0):
        return self.quarantine.check(segments, now_s=now_s) is not None

    def test_a_segment_is_refused_after_three_crashes_one_after_the_other(self):
        """Guards against requests with one segment in common that go on crashing replicas,
        as none of them is lost at more than one crash."""
        for number in range(3):
            self.assertFalse(self.is_refused(HARMFUL))
            self.crash(number, HOT, HARMFUL, at_s=2.0 * number)
            self.quarantine.record_answered([HOT], 2.0 * number + 0.5)
        self.assertTrue(self.is_refused(HARMFUL))
        self.assertTrue(self.is_refused(RARE, HARMFUL))
        self.assertFalse(self.is_refused(HOT, RARE))

    def test_the_last_shared_segment_is_refused_if_none_was_answered(self):
        """Guards against the refusal of a caller's first segment, which had no other
        request between three quick crashes."""
        for number in range(3):
            self.crash(number, RARE, HARMFUL, at_s=0.5 * number)
        self.assertTrue(self.is_refused(HARMFUL))
        self.assertFalse(self.is_refused(RARE))

    def test_a_wrong_verdict_ends_when_another_segment_explains_more(self):
        """Guards against the refusal of a segment that only occurs beside the harmful one
        at first."""
        for number in range(3):
            self.crash(number, HARMFUL, RARE, at_s=number)
        self.assertTrue(self.is_refused(RARE))
        self.crash(3, HARMFUL, HOT, at_s=3.0)
        self.assertTrue(self.is_refused(HARMFUL))
        self.assertFalse(self.is_refused(RARE))

    def test_the_segment_that_is_lost_at_each_crash_is_refused_though_runs_overlap(
        self,
    ):
        """Guards against the refusal of a segment whose requests ran beside the harmful
        ones, and were sent later than these."""
        for number, at_s in enumerate((1.0, 1.1, 1.2, 5.0)):
            self.crash(number, HARMFUL, at_s=at_s, run_s=0.5)
            if number > 0:
                beside = lost(f"x{number}", RARE, lost_s=at_s, run_s=0.05)
                self.quarantine.add(f"r{number}@1", beside, now_s=at_s)
        self.assertTrue(self.is_refused(HARMFUL))
        self.assertFalse(self.is_refused(RARE))

    def test_replicas_that_crash_together_blame_no_segment(self):
        """Guards against the refusal of what runs everywhere when a rack loses power."""
        for number in range(8):
            self.crash(number, HOT, at_s=1.0 + 0.01 * number)
        self.assertFalse(self.is_refused(HOT))

    def test_a_segment_that_was_answered_before_needs_more_crashes(self):
        """Guards against the refusal of a sound segment that is lost at three crashes, and
        against one that crashes replicas only since their weights have changed."""
        self.quarantine.record_answered([HARMFUL], 0.0)
        for number in range(1, 6):
            self.assertFalse(self.is_refused(HARMFUL))
            self.crash(number, HARMFUL, at_s=number)
        self.assertTrue(self.is_refused(HARMFUL))

    def test_an_answer_clears_a_segment(self):
        """Guards against a wrong verdict that lasts although answers contradict it."""
        for number in range(3):
            self.crash(number, RARE, at_s=number)
        self.assertTrue(self.is_refused(RARE))
        self.quarantine.record_answered([RARE], 2.5, is_from_peer=True)
        self.assertFalse(self.is_refused(RARE))

    def test_an_answer_between_loss_and_report_clears_a_segment(self):
        """Guards against reports that arrive seconds after the crash, when the entry of
        the replica is gone."""
        self.quarantine.record_answered([RARE], 2.5)
        for number in range(5):
            self.crash(number, RARE, at_s=0.5 * number)
        self.assertFalse(self.is_refused(RARE))

    def test_crashes_under_one_request_blame_no_segment(self):
        """Guards against the refusal of all requests that share a segment with one that
        is sent again and again."""
        for number in range(6):
            self.quarantine.add(
                f"r{number}@1", lost(0, RARE, lost_s=number), now_s=number
            )
        self.assertFalse(self.is_refused(RARE))

    def test_a_refusal_outlasts_many_other_crashes(self):
        """Guards against a harmful segment that is run again because the evidence against
        it has made room for later crashes."""
        for number in range(3):
            self.crash(number, HARMFUL, at_s=number)
        for number in range(10, 400):
            self.crash(number, f"m/{number}", at_s=0.5 * number)
        self.assertTrue(self.is_refused(HARMFUL, now_s=300.0))

    def test_stored_evidence_is_bounded(self):
        for number in range(2_000):
            self.crash(number, f"m/{number}", HOT, at_s=number)
        self.assertLessEqual(len(self.quarantine._losses_by_segment), 200)
