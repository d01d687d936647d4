"""Tests of the actor that caches records: malformed content and failing handlers."""

from __future__ import annotations

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from crocuswick.records.mirror import KeyedRecord, TopicUpdate
from crocuswick.records.record_cache import RecordCache

TOPIC = "t"


def record(offset, value):
    return KeyedRecord(key=f"k{offset}", position=offset, value=value)


class RecordCacheTests(unittest.TestCase):
    def setUp(self):
        self.applied = []
        self.ages_unknown = []
        self.updates = []
        cache = RecordCache.start(
            on_record=self.apply,
            on_update=self.updates.append,
            version_of=lambda _topic, _record: None,
        )
        self.addCleanup(cache.stop)
        self.cache = cache

    def apply(self, _topic, each, is_of_unknown_age):
        self.ages_unknown.append(is_of_unknown_age)
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

    def test_only_records_after_the_first_read_are_known_to_be_new(self):
        """Guards against a record whose age counts from its reading: a node that starts
        reads records that may have been written at any time before."""
        for start, end in ((0, 2), (2, 3)):
            records = tuple(record(offset, b"v") for offset in range(start, end))
            update = TopicUpdate(topic=TOPIC, records=records, end=end, start=start)
            self.cache.ask(RecordCache.Merge(update=update))
        self.assertEqual(self.ages_unknown, [True, True, False])

    def test_the_age_of_a_record_that_a_peer_has_kept_is_unknown(self):
        """Guards against a record whose age counts from the store's return."""
        cache = RecordCache.start(
            on_record=self.apply,
            on_update=self.updates.append,
            version_of=lambda _topic, _record: 1,
        )
        self.addCleanup(cache.stop)
        update = TopicUpdate(topic=TOPIC, records=(), end=0)
        cache.ask(RecordCache.Merge(update=update))
        cache.ask(RecordCache.MergeKept(topic=TOPIC, records=(record(0, b"v"),)))
        self.assertEqual(self.ages_unknown, [True])


KEYS = "abcd"


class LossyPair:
    """Two caches that send each other what is new to them, over a link that loses it."""

    def __init__(self):
        self.log = []
        self.sent = []
        self.caches = [
            RecordCache(
                on_record=lambda _topic, _record, _is_of_unknown_age: None,
                on_update=self.sent.append,
                version_of=lambda _topic, _record: None,
            )
            for _ in range(2)
        ]

    def newest(self, start, end):
        """Return the newest record of each key of a part of the log."""
        by_key = {each.key: each for each in self.log[start:end]}
        return tuple(by_key.values())

    def write(self, key, *, is_removal):
        value = None if is_removal else b"v"
        self.log.append(KeyedRecord(key=key, position=len(self.log), value=value))

    def read(self, number):
        """Let a cache read from the store what it lacks."""
        start = self.end(number)
        if start < 0:
            listed = [each for each in self.newest(0, None) if each.value is not None]
            update = TopicUpdate(
                topic=TOPIC, records=tuple(listed), end=len(self.log), is_listing=True
            )
        else:
            records = tuple(self.log[start:])
            update = TopicUpdate(
                topic=TOPIC, records=records, start=start, end=len(self.log)
            )
        self.merge(number, update)

    def merge(self, number, update):
        self.caches[number].on_merge(RecordCache.Merge(update=update))

    def send_new(self, number, *, is_lost):
        """Send the other cache what was new to one."""
        sent, self.sent[:] = list(self.sent), []
        for update in [] if is_lost else sent:
            self.merge(1 - number, update)
        self.sent.clear()

    def end(self, number):
        return self.caches[number].on_end(RecordCache.End(topic=TOPIC))

    def outdated(self, number):
        """Return the keys of which a cache lacks the newest record before its end."""
        known = self.caches[number]._mirror.records(TOPIC)
        return [
            newest.key
            for newest in self.newest(0, max(0, self.end(number)))
            if _is_outdated(known.get(newest.key), newest)
        ]


def _is_outdated(known, newest):
    # A cache need not know of a key that was removed.
    is_known = known is not None and known.value is not None
    if not is_known and newest.value is None:
        return False
    return known is None or known.position < newest.position


class RecordExchangeTests(unittest.TestCase):
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("write"), st.sampled_from(KEYS), st.booleans()),
                st.tuples(st.just("read"), st.integers(0, 1), st.booleans()),
                st.tuples(
                    st.just("copy"),
                    st.integers(0, 1),
                    st.booleans(),
                    st.integers(0, 12),
                    st.integers(1, 4),
                ),
            ),
            max_size=30,
        )
    )
    @example(
        [
            ("write", "a", False),
            ("read", 0, False),
            ("write", "b", False),
            ("write", "c", False),
            ("copy", 0, True, 2, 1),
            ("read", 0, False),
        ]
    )
    @settings(max_examples=500, deadline=None)
    def test_a_lost_update_does_not_hide_its_records_for_good(self, steps):
        """Guards against updates that name a range and leave out the records of it that
        were known to their sender. A receiver that had missed these would skip them; the
        removal of a replica is never written again."""
        pair = LossyPair()
        for kind, *arguments in steps:
            if kind == "write":
                key, is_removal = arguments
                pair.write(key, is_removal=is_removal)
                continue
            number, is_lost, *part = arguments
            if kind == "read":
                pair.read(number)
            else:
                # A copy from a node of another zone.
                start, end = part[0], min(sum(part), len(pair.log))
                if start < end:
                    records = pair.newest(start, end)
                    pair.merge(
                        number,
                        TopicUpdate(topic=TOPIC, records=records, start=start, end=end),
                    )
            pair.send_new(number, is_lost=is_lost)
            self.assertEqual((pair.outdated(0), pair.outdated(1)), ([], []))
