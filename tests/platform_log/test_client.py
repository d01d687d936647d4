"""Tests for the outcomes that the log client reports."""

from __future__ import annotations

import unittest

from crocuswick.outcome import Outcome
from crocuswick.platform_log import LogClient, RetentionGap
from tests.fakes.launcher import Launcher


class LogClientTests(unittest.TestCase):
    def setUp(self):
        self.launcher = Launcher()
        self.addCleanup(self.launcher.close)
        self.log = self.launcher.fake("log_service")
        self.client = LogClient(address=self.log.address, timeout_ms=300)
        self.addCleanup(self.client.close)

    def append(self):
        return self.client.append("s", [{"n": 1}])

    def test_append_and_read(self):
        receipt = self.append().unwrap()
        self.assertEqual((receipt.first_offset, receipt.next_offset), (0, 1))
        page = self.client.read("s", 0, 10, 0).unwrap()
        self.assertEqual([record.value for record in page.records], [{"n": 1}])

    def test_outcome_of_each_kind_of_outage(self):
        expected = {
            "unavailable": Outcome.NOT_RUN,
            "silent": Outcome.UNKNOWN,
            "drop": Outcome.UNKNOWN,
        }
        for outage, outcome in expected.items():
            with self.subTest(outage=outage):
                self.log.set_faults(appends=outage)
                self.assertIs(self.append().unwrap_err().outcome, outcome)
        self.log.kill()
        self.assertIs(self.append().unwrap_err().outcome, Outcome.NOT_RUN)

    def test_lost_response_is_unknown_and_the_record_is_stored(self):
        self.log.set_faults(lose_next_answers=1)
        self.assertIs(self.append().unwrap_err().outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.client.read("s", 0, 10, 0).unwrap().records), 1)

    def test_dropped_records_are_a_gap(self):
        for _ in range(3):
            self.append().unwrap()
        self.log.set_faults(retention_records=1)
        gap = self.client.read("s", 0, 10, 0).unwrap()
        self.assertEqual(gap, RetentionGap(first_retained=2, next_offset=3))


if __name__ == "__main__":
    unittest.main()
