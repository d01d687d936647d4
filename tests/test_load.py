from __future__ import annotations

import unittest

import attrs

from crocuswick.load import EndpointLoad, LoadReport

IDLE = LoadReport(
    incarnation="i1",
    weights_versions_by_model={"m": "v1"},
    state="ready",
    running=0,
    queued=0,
    queued_tokens=0,
    prefill_tokens_per_s=1000,
    decode_tokens_per_s=100,
    capacity_blocks=100,
    cached_blocks=0,
    age_ms=0,
)


class EndpointLoadTests(unittest.TestCase):
    def setUp(self):
        self.load = EndpointLoad()

    def report(self, now_s, **changes):
        self.load.record_report(attrs.evolve(IDLE, **changes), now_s)

    def test_reported_queue_drains_with_time(self):
        self.report(0.0, queued_tokens=1000)
        self.assertAlmostEqual(self.load.wait_s(0.0), 1.0)
        self.assertAlmostEqual(self.load.wait_s(0.4), 0.6)
        self.assertAlmostEqual(self.load.wait_s(1.0), 0.0)

    def test_delayed_report_is_corrected_by_its_age(self):
        self.report(10.0, queued_tokens=1000, age_ms=400)
        self.assertAlmostEqual(self.load.wait_s(10.0), 0.6)

    def test_requests_sent_after_the_reported_time_are_added(self):
        self.report(0.0)
        self.load.record_sent("before", 500, 1.0)
        self.load.record_sent("after", 700, 1.3)
        self.report(1.4, queued_tokens=500, age_ms=300)
        self.assertAlmostEqual(self.load.wait_s(1.4), 0.5 - 0.3 + 0.7)

    def test_idle_time_is_not_credited_to_later_requests(self):
        self.report(0.0)
        self.load.record_sent("r", 500, 0.5)
        self.assertAlmostEqual(self.load.wait_s(0.5), 0.5)

    def test_early_first_token_shortens_the_queue(self):
        self.report(0.0)
        self.load.record_sent("a", 500, 0.0)
        self.load.record_sent("b", 500, 0.0)
        self.load.record_first_token("a", 0.1)
        self.assertAlmostEqual(self.load.wait_s(0.1), 0.5)

    def test_stale_report_adds_to_the_wait(self):
        self.report(0.0)
        self.assertAlmostEqual(self.load.wait_s(4.0), 3.0)

    def test_clear_discards_report_and_requests(self):
        self.report(0.0, queued_tokens=1000)
        self.load.record_sent("a", 500, 0.0)
        self.load.clear()
        self.report(0.0)
        self.assertAlmostEqual(self.load.wait_s(0.0), 0.0)


if __name__ == "__main__":
    unittest.main()
