"""Tests of the actor that caches records: malformed content and failing handlers."""

from __future__ import annotations

import unittest

from crocuswick.records.mirror import KeyedRecord, TopicUpdate
from crocuswick.records.record_cache import RecordCache

TOPIC = "t"


def record(offset, value):
    return KeyedRecord(key=f"k{offset}", position=offset, value=value)


class RecordCacheTests(unittest.TestCase):
    def setUp(self):
        self.applied = []
        self.updates = []
        cache = RecordCache.start(
            on_record=self.apply,
            on_update=self.updates.append,
            version_of=lambda _topic, _record: None,
        )
        self.addCleanup(cache.stop)
        self.cache = cache

    def apply(self, _topic, each):
        if each.value == b"bad":
            raise RuntimeError("can't be applied")
        self.applied.append(each.value)

    def test_a_record_that_can_not_be_applied_does_not_hide_the_others(self):
        """The records that were read with it are never read again."""
        records = (record(0, b"a"), record(1, b"bad"), record(2, b"b"))
        update = TopicUpdate(topic=TOPIC, records=records, end=3)
        end = self.cache.ask(RecordCache.Merge(update=update))
        self.assertEqual((self.applied, end), ([b"a", b"b"], 3))
        self.assertEqual(len(self.updates), 1)
