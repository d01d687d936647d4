"""Tests of the quarantine of requests that crash endpoints."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from crocuswick.outcome import Outcome
from crocuswick.quarantine import (
    REPORT_LIFETIME_S,
    CrashReport,
    Quarantine,
    request_fingerprint,
)


def report(endpoint_id, *, fingerprint="f1", age_ms=0):
    """Return a crash report."""
    return CrashReport(fingerprint=fingerprint, endpoint_id=endpoint_id, age_ms=age_ms)


class QuarantineTests(unittest.TestCase):
    def test_request_is_refused_after_crashes_of_two_different_endpoints(self):
        quarantine = Quarantine()
        quarantine.add([report("e1"), report("e1")], now_s=0)
        self.assertTrue(quarantine.check("f1", now_s=1).is_ok())
        quarantine.add([report("e2")], now_s=2)
        refusal = quarantine.check("f1", now_s=3).unwrap_err()
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.assertIn("e1, e2", refusal.detail)
        self.assertTrue(quarantine.check("f2", now_s=3).is_ok())

    def test_quarantine_expires(self):
        quarantine = Quarantine()
        quarantine.add([report("e1"), report("e2")], now_s=0)
        self.assertTrue(quarantine.check("f1", now_s=REPORT_LIFETIME_S - 1).is_err())
        self.assertTrue(quarantine.check("f1", now_s=REPORT_LIFETIME_S).is_ok())

    def test_size_is_bounded_and_the_latest_are_kept(self):
        quarantine = Quarantine(max_fingerprints=10)
        for number in range(100):
            crash = report("e1", fingerprint=str(number))
            quarantine.add([crash], now_s=float(number))
        kept = {item.fingerprint for item in quarantine.all(now_s=100)}
        self.assertEqual(kept, {str(number) for number in range(90, 100)})

    def test_fingerprint_separates_organisations_and_models(self):
        fingerprints = {
            request_fingerprint(organisation=organisation, model=model, body=b"x")
            for organisation in ("a", "ab")
            for model in ("c", "bc")
        }
        self.assertEqual(len(fingerprints), 4)

    @settings(max_examples=50, deadline=None)
    @given(
        endpoints=st.lists(st.sampled_from(["e1", "e2", "e3"]), max_size=6),
        seed=st.integers(0, 2**16),
    )
    def test_order_and_repeats_of_reports_do_not_matter(self, endpoints, seed):
        reports = [report(endpoint) for endpoint in endpoints]
        shuffled = reports * 2
        random.Random(seed).shuffle(shuffled)
        verdicts = []
        for order in (reports, shuffled):
            quarantine = Quarantine()
            for item in order:
                quarantine.add([item], now_s=0)
            verdicts.append(quarantine.check("f1", now_s=1).is_err())
        self.assertEqual(verdicts, [len(set(endpoints)) >= 2] * 2)
