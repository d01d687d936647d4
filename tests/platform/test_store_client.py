"""Tests of the client of the platform's store: its era and malformed headers."""

from __future__ import annotations

import unittest

from crocuswick.platform.store_client import StoreClient
from crocuswick.records.position import MAX_OFFSET, to_position
from crocuswick.records.store_era import StoreEra
from tests.platform.metadata_store import MetadataStore

TOPIC = "keyed.op"


class StoreClientTests(unittest.TestCase):
    def setUp(self):
        self.store = MetadataStore()
        self.addCleanup(self.store.stop)
        self.era = StoreEra()
        self.client = StoreClient(address=self.store.address, era=self.era)
        self.store.put(TOPIC, "a", 1)
        self.store.put(TOPIC, "b", 2)

    def end(self):
        return self.client.list_newest(TOPIC).ok_value.end

    def test_positions_rise_over_a_return_from_an_older_copy(self):
        copy = self.store.copy()
        self.store.put(TOPIC, "c", 3)
        self.assertEqual(self.end(), 3)
        self.store.return_from(copy)
        self.assertEqual(self.end(), to_position(1, 2))

    def test_a_read_from_before_the_return_asks_for_a_listing(self):
        """Offsets are given out again, so that a read from the old end would skip what
        was written since."""
        end = self.end()
        self.store.return_from(self.store.copy())
        read = self.client.read_keyed(TOPIC, start=end, wait_ms=10)
        self.assertIsNone(read.ok_value)
        self.assertEqual(self.era.current, 1)

    def test_a_read_past_the_end_of_the_copy_asks_for_a_listing(self):
        copy = self.store.copy()
        self.store.put(TOPIC, "c", 3)
        end = self.end()
        self.store.return_from(copy)
        self.assertIsNone(self.client.read_keyed(TOPIC, start=end, wait_ms=10).ok_value)

    def test_a_condition_from_before_the_return_fails_and_names_the_new_end(self):
        """The offset may fit by chance, but other records lie before it now."""
        self.store.return_from(self.store.copy())
        self.end()
        ack = self.client.append(TOPIC, b"\x01kv", at=2).ok_value
        self.assertEqual((ack.is_appended, ack.offset), (False, to_position(1, 2)))

    def test_a_condition_in_the_current_era_holds(self):
        self.store.return_from(self.store.copy())
        end = self.end()
        ack = self.client.append(TOPIC, b"\x01kv", at=end).ok_value
        self.assertEqual((ack.is_appended, ack.offset), (True, end))

    def test_an_answer_of_an_earlier_era_is_an_error(self):
        self.store.era_header = "5"
        self.end()
        self.store.era_header = "4"
        read = self.client.list_newest(TOPIC)
        self.assertIn("earlier era", str(read.err_value))
        self.store.era_header = "5"
        self.assertEqual(self.end(), to_position(5, 2))

    def test_malformed_eras_change_nothing(self):
        self.store.era_header = "5"
        self.end()
        for header in (None, "", "x", "-1", "5.5", "1e3", "9" * 400, "\xb2"):
            with self.subTest(header=header):
                self.store.era_header = header
                self.assertEqual(self.end(), to_position(5, 2))
        self.assertEqual(self.era.current, 5)

    def test_no_topic_ends_at_the_offset_that_always_fails(self):
        ack = self.client.append(TOPIC, b"\x01kv", at=MAX_OFFSET).ok_value
        self.assertFalse(ack.is_appended)
