"""Tests of the faults of the fake log service."""

from __future__ import annotations

import unittest
from typing import Any

import urllib3

from tests.fakes.launcher import Launcher, Process

RECORDS = "/v1/streams/claims/records"


class LogServiceTest(unittest.TestCase):
    launcher: Launcher
    log: Process

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher()
        cls.addClassCleanup(cls.launcher.close)
        store = cls.launcher.directory / "store"
        cls.log = cls.launcher.fake("log_service", store=store)

    def setUp(self) -> None:
        self.log.clear_faults()

    def append(self, *values: Any) -> int:
        body = {"records": list(values)}
        return self.log.call("POST", RECORDS, body)["first_offset"]

    def read(self, start: int) -> Any:
        return self.log.call("GET", f"{RECORDS}?from={start}")

    def test_append_with_a_lost_response_takes_effect(self):
        first = self.append("before")
        self.log.set_faults(lose_next_answers=1)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.append("unanswered")
        self.assertEqual(self.append("after"), first + 2)
        values = [record["value"] for record in self.read(first)["records"]]
        self.assertEqual(values, ["before", "unanswered", "after"])

    def test_read_before_the_first_retained_offset_fails(self):
        first = self.append("a", "b", "c")
        self.log.set_faults(retention_records=1)
        with self.assertRaisesRegex(RuntimeError, "410") as caught:
            self.read(first)
        self.assertIn(f'"first_retained": {first + 2}', str(caught.exception))
        self.assertEqual(self.read(first + 2)["records"][0]["value"], "c")

    def test_outage_of_reads_on_one_stream(self):
        first = self.append("a")
        self.log.set_faults(reads="unavailable", streams=["claims"])
        with self.assertRaisesRegex(RuntimeError, "503"):
            self.read(first)
        self.assertEqual(self.append("b"), first + 1)
        other = self.log.call("GET", "/v1/streams/leases/records?from=0")
        self.assertEqual(other["records"], [])

    def test_records_survive_a_restart(self):
        first = self.append("kept")
        self.log.kill()
        self.log.restart()
        self.assertEqual(self.read(first)["records"][0]["value"], "kept")
