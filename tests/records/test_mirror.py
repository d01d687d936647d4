"""Tests of the mirror of keyed topics."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from crocuswick.records.mirror import KeyedRecord, RecordMirror, TopicUpdate
from crocuswick.records.position import to_position

TOPIC = "t"


def record(offset, key="k", value=b"v"):
    return KeyedRecord(key=key, position=offset, value=value)


def update(*records, start=0, end=None, is_listing=False):
    last = max((each.position for each in records), default=-1) + 1
    return TopicUpdate(
        topic=TOPIC,
        records=records,
        start=start,
        end=last if end is None else end,
        is_listing=is_listing,
    )


def versioned_mirror():
    """Return a mirror of records whose content is their version."""
    return RecordMirror(
        version_of=lambda _topic, each: int(each.value) if each.value else None
    )


class RecordMirrorTests(unittest.TestCase):
    @given(st.lists(st.sampled_from("abc"), max_size=20), st.randoms())
    def test_the_merged_records_do_not_depend_on_their_order(self, keys, rng):
        log = [record(n, key, b"%d" % n) for n, key in enumerate(keys)]
        newest = {each.key: each for each in log}
        shuffled = log[:]
        rng.shuffle(shuffled)
        mirror = RecordMirror()
        for each in shuffled:
            mirror.merge(update(each, start=each.position))
        self.assertEqual(dict(mirror.records(TOPIC)), newest)

    def test_an_older_record_changes_nothing(self):
        mirror = RecordMirror()
        mirror.merge(update(record(5, value=b"new")))
        self.assertEqual(mirror.merge(update(record(4, value=b"old"))), ())

    def test_a_copy_from_before_a_listing_does_not_bring_a_removed_key_back(self):
        """Guards against nodes that start, list the store and then get a lagging peer's
        copy, and send requests to a removed replica for good: its removal lies before
        the end of the listing and is never sent again."""
        mirror = RecordMirror()
        mirror.merge(update(record(4, "b"), end=9, is_listing=True))
        copy = update(record(3, "a"), record(4, "b"), start=0, end=6)
        self.assertEqual(mirror.merge(copy), ())
        self.assertNotIn("a", mirror.records(TOPIC))

    def test_a_listing_drops_keys_that_it_does_not_name(self):
        mirror = RecordMirror()
        mirror.merge(update(record(1, "a"), record(2, "b")))
        changed = mirror.merge(update(record(2, "b"), end=9, is_listing=True))
        self.assertEqual([(each.key, each.value) for each in changed], [("a", None)])

    def test_a_listing_does_not_drop_what_was_written_after_it(self):
        mirror = RecordMirror()
        mirror.merge(update(record(12, "a")))
        self.assertEqual(mirror.merge(update(end=9, is_listing=True)), ())

    def test_a_record_of_a_later_era_is_newer_whatever_its_offset(self):
        """After the store has returned from an older copy, operators write again at
        offsets that were in use before."""
        mirror = RecordMirror()
        mirror.merge(update(record(9, value=b"old")))
        changed = mirror.merge(update(record(to_position(1, 3), value=b"new")))
        self.assertEqual([each.value for each in changed], [b"new"])

    def test_an_older_version_at_a_higher_position_does_not_replace_the_content(self):
        """The store's copy is older than what it has acknowledged."""
        mirror = versioned_mirror()
        mirror.merge(update(record(9, value=b"7")))
        listed = record(to_position(1, 3), value=b"5")
        mirror.merge(update(listed, end=to_position(1, 4), is_listing=True))
        kept = mirror.records(TOPIC)["k"]
        self.assertEqual((kept.value, kept.position), (b"7", to_position(1, 3)))
        self.assertEqual(mirror.kept(TOPIC), (kept,))
        mirror.merge(update(record(to_position(1, 6), value=b"7")))
        self.assertEqual(mirror.kept(TOPIC), ())

    def test_a_key_that_the_copy_lacks_keeps_its_versioned_content(self):
        mirror = versioned_mirror()
        mirror.merge(update(record(9, value=b"7")))
        mirror.merge(update(end=to_position(1, 4), is_listing=True))
        self.assertEqual(mirror.records(TOPIC)["k"].value, b"7")

    def test_a_node_takes_what_its_peers_have_kept(self):
        """A node that restarts after the return finds only the older copy."""
        mirror = versioned_mirror()
        listed = record(to_position(1, 3), value=b"5")
        mirror.merge(update(listed, end=to_position(1, 4), is_listing=True))
        kept = record(to_position(1, 3), value=b"7")
        self.assertEqual(mirror.merge_kept(TOPIC, [kept]), (kept,))
        self.assertEqual(mirror.merge_kept(TOPIC, [kept]), ())
        self.assertEqual(mirror.records(TOPIC)["k"].value, b"7")

    def test_updates_that_skip_records_do_not_move_the_end(self):
        mirror = RecordMirror()
        mirror.merge(update(record(3)))
        mirror.merge(update(record(9), start=8))
        self.assertEqual(mirror.end(TOPIC), 4)

    def test_a_node_is_sent_the_records_that_it_lacks(self):
        mirror = RecordMirror()
        mirror.merge(update(record(1, "a"), record(7, "b")))
        missing = mirror.since(TOPIC, 5)
        other = RecordMirror()
        other.merge(update(record(1, "a"), end=5))
        other.merge(missing)
        self.assertEqual(other.records(TOPIC), mirror.records(TOPIC))
        self.assertEqual(other.end(TOPIC), mirror.end(TOPIC))
