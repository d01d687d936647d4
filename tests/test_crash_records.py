"""Tests of the crashes that nodes keep in the store."""

from __future__ import annotations

import time
import unittest
from unittest import mock

from crocuswick.crash_records import CrashRecords, decode_crashes, encode_crashes
from crocuswick.gossip.messages import ReplicaCrashed
from crocuswick.platform.store_client import StoreClient
from crocuswick.records.mirror import KeyedRecord
from tests.gossip.in_memory_fleet import RecordingActor
from tests.platform.metadata_store import MetadataStore

TOPIC = "keyed.crashes"
CRASHED = ReplicaCrashed(
    fingerprint="f1", incarnation="engine-1@5", age_ms=40, segments=["m/a"], run_ms=90
)
WAIT_S = 5.0


def record(value):
    return KeyedRecord(key="k", position=0, value=value)


class CrashCodecTests(unittest.TestCase):
    def test_ages_grow_with_the_age_of_the_record(self):
        value = encode_crashes([CRASHED], unix_s=100.0)
        (decoded,) = decode_crashes(record(value), unix_s=102.5)
        self.assertEqual(decoded.age_ms, 2_540)
        self.assertEqual(decoded.segments, ["m/a"])

    def test_a_clock_that_is_behind_makes_no_crash_younger(self):
        value = encode_crashes([CRASHED], unix_s=100.0)
        (decoded,) = decode_crashes(record(value), unix_s=99.0)
        self.assertEqual(decoded.age_ms, 40)

    def test_expired_and_malformed_records_name_no_crashes(self):
        """Guards against one malformed record that ends the reading of all others."""
        expired = encode_crashes([CRASHED], unix_s=100.0)
        self.assertEqual(decode_crashes(record(expired), unix_s=900.0), [])
        for value in (
            None,
            b"",
            b"\xff",
            b"[]",
            b'{"t": 1e999, "crashes": []}',
            b'{"t": 1, "crashes": [{"fingerprint": 1, "incarnation": "x"}]}',
            b'{"t": 1, "crashes": [{"incarnation": "x"}]}',
            b'{"t": 1, "crashes": [{"fingerprint": "f", "incarnation": "x", "y": 1}]}',
            b'{"t": 1, "crashes": [{"fingerprint": "f", "incarnation": "x",'
            b' "segments": 5}]}',
        ):
            with self.subTest(value=value):
                self.assertEqual(decode_crashes(record(value), unix_s=2.0), [])


class CrashRecordsTests(unittest.TestCase):
    def setUp(self):
        self.store = MetadataStore()
        self.addCleanup(self.store.stop)

    def open(self, *, hears_peers=True):
        dispatcher = RecordingActor()
        records = CrashRecords(
            topic=TOPIC,
            store=StoreClient(address=self.store.address),
            dispatcher=dispatcher,
            hears_peers=lambda: hears_peers,
            log=mock.Mock(),
        )
        records.start()
        self.addCleanup(records.stop)
        return records, dispatcher

    def wait_until(self, condition):
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, "the condition is not true")
            time.sleep(0.02)

    def test_a_node_that_starts_reads_what_others_wrote(self):
        """Guards against evidence that is lost when all nodes of a fleet restart."""
        writer, _ = self.open()
        writer.write("f1", [CRASHED])
        self.wait_until(lambda: any("append" in call for call in self.store.calls))
        _, dispatcher = self.open()
        self.wait_until(lambda: dispatcher.messages)
        self.assertEqual(dispatcher.messages[0].crashed.fingerprint, "f1")

    def test_a_node_that_hears_no_peer_goes_on_reading(self):
        """Guards against a node that has to see each crash itself."""
        _, dispatcher = self.open(hears_peers=False)
        time.sleep(1.2)
        self.store.put(TOPIC, "f1", encode_crashes([CRASHED], unix_s=time.time()))
        self.wait_until(lambda: dispatcher.messages)

    def test_a_node_that_hears_peers_reads_once(self):
        self.open()
        self.wait_until(lambda: self.store.calls)
        time.sleep(2.2)
        reads = [call for call in self.store.calls if "newest" in call]
        self.assertEqual(len(reads), 1)
