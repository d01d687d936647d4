"""Copy of keyed topics, merged from the store and from other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.records.position import era_of

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

__all__ = ["KeyedRecord", "RecordMirror", "TopicUpdate"]


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """Record of a key."""

    key: str
    position: int
    """Position of the record; newer records of a key have higher ones."""

    value: bytes | None
    """Content, None if the key was removed."""


@attrs.frozen(kw_only=True)
class TopicUpdate:
    """Records of a topic, from the store or from another node."""

    topic: str
    records: tuple[KeyedRecord, ...]
    end: int
    """Position after the last record that the source knows of."""

    start: int = 0
    """Position from which on the newest record of every key is included."""

    is_listing: bool = False
    """Whether the update lists all keys, so that unlisted keys don't exist."""


@attrs.define(kw_only=True)
class _Topic:
    end: int = -1
    records_by_key: dict[str, KeyedRecord] = attrs.Factory(dict)
    kept_keys: set[str] = attrs.Factory(set)
    """Keys whose content is newer than that of the store, which returned from an older
    copy."""


def _no_version(_topic: str, _record: KeyedRecord) -> int | None:
    return None


class RecordMirror:
    """Keeps the newest record of each key, by position and not by time of arrival.

    A store that returns from an older copy may hold an older version of a record at a
    higher position. The content with the higher version is kept then.

    Args:
        version_of: Returns the version that a record's content names, None if it names
            none.
    """

    def __init__(
        self, *, version_of: Callable[[str, KeyedRecord], int | None] = _no_version
    ):
        self._version_of = version_of
        self._topics_by_name: dict[str, _Topic] = {}

    def end(self, topic: str) -> int:
        """Return the position after the last known record, -1 for an unknown topic."""
        known = self._topics_by_name.get(topic)
        return known.end if known else -1

    def ends(self) -> Mapping[str, int]:
        """Return the end position of each topic."""
        return {name: topic.end for name, topic in self._topics_by_name.items()}

    def records(self, topic: str) -> Mapping[str, KeyedRecord]:
        """Return the newest record of each key, including removed keys."""
        known = self._topics_by_name.get(topic)
        return known.records_by_key if known else {}

    def merge(self, update: TopicUpdate) -> tuple[KeyedRecord, ...]:
        """Merge the records that a reader or another node sent.

        Args:
            update: Records in any order, possibly old ones.

        Returns:
            The records that are new to this mirror.
        """
        topic = self._topics_by_name.setdefault(update.topic, _Topic())
        newer = [
            record
            for record in update.records
            if _is_newer(topic, record, is_listed=update.is_listing)
        ]
        if update.is_listing:
            newer += _missing(topic, update)
        changed = [self._replace(update.topic, topic, record) for record in newer]
        # If the update skips records that this mirror lacks, the end stays, so that
        # they are still requested.
        if update.start <= max(topic.end, 0):
            topic.end = max(topic.end, update.end)
        return tuple(changed)

    def merge_kept(
        self, topic_name: str, records: Iterable[KeyedRecord]
    ) -> tuple[KeyedRecord, ...]:
        """Merge records of `kept` at another node.

        Args:
            topic_name: Name of the topic.
            records: Records whose version counts and not their position.

        Returns:
            The records that are new to this mirror.
        """
        topic = self._topics_by_name.setdefault(topic_name, _Topic())
        changed = []
        for record in records:
            known = topic.records_by_key.get(record.key)
            if not self._has_higher_version(topic_name, record, known):
                continue
            if known is not None:
                record = attrs.evolve(
                    record, position=max(known.position, record.position)
                )
            topic.records_by_key[record.key] = record
            topic.kept_keys.add(record.key)
            changed.append(record)
        return tuple(changed)

    def kept(self, topic: str) -> tuple[KeyedRecord, ...]:
        """Return the records whose content the store has lost."""
        known = self._topics_by_name.get(topic, _Topic())
        return tuple(known.records_by_key[key] for key in sorted(known.kept_keys))

    def _replace(
        self, topic_name: str, topic: _Topic, record: KeyedRecord
    ) -> KeyedRecord:
        """Store a record at a higher position, with the content of higher version."""
        known = topic.records_by_key.get(record.key)
        is_other_era = known is not None and era_of(known.position) != era_of(
            record.position
        )
        is_kept = record.key in topic.kept_keys
        topic.kept_keys.discard(record.key)
        if (is_other_era or is_kept) and self._has_higher_version(
            topic_name, known, record
        ):
            record = attrs.evolve(known, position=record.position)
            topic.kept_keys.add(record.key)
        topic.records_by_key[record.key] = record
        return record

    def _has_higher_version(
        self, topic: str, record: KeyedRecord, than: KeyedRecord | None
    ) -> bool:
        version = self._version_of(topic, record)
        if version is None:
            return False
        other = None if than is None else self._version_of(topic, than)
        return other is None or version > other

    def since(self, topic: str, position: int) -> TopicUpdate:
        """Return the newest records at or after a position.

        Args:
            topic: Name of the topic.
            position: End of the topic at the node that requests the records.
        """
        known = self._topics_by_name.get(topic, _Topic())
        newer = [
            record
            for record in known.records_by_key.values()
            if record.position >= position
        ]
        return TopicUpdate(
            topic=topic, records=tuple(newer), end=known.end, start=max(0, position)
        )


def _is_newer(topic: _Topic, record: KeyedRecord, *, is_listed: bool) -> bool:
    known = topic.records_by_key.get(record.key)
    if known is None:
        # The mirror has the newest record of each key before its end. A key without one
        # was removed, and the record is an older copy.
        return is_listed or record.position >= topic.end
    return record.position > known.position


def _missing(topic: _Topic, update: TopicUpdate) -> Iterable[KeyedRecord]:
    """Return removals of known keys that a listing no longer contains."""
    listed = {record.key for record in update.records}
    return [
        KeyedRecord(key=record.key, position=update.end - 1, value=None)
        for record in topic.records_by_key.values()
        if record.value is not None
        and record.key not in listed
        and record.position < update.end
    ]
