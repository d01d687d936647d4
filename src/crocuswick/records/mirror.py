"""Copy of keyed topics, merged from the store and from other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ["KeyedRecord", "RecordMirror", "TopicUpdate"]


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """Record of a key; newer records have higher offsets."""

    key: str
    offset: int
    value: bytes | None
    """Content, None if the key was removed."""


@attrs.frozen(kw_only=True)
class TopicUpdate:
    """Records of a topic, from the store or from another node."""

    topic: str
    records: tuple[KeyedRecord, ...]
    end: int
    """Offset after the last record that the source knows of."""

    start: int = 0
    """Offset from which on the newest record of every key is included."""

    is_listing: bool = False
    """Whether the update lists all keys, so that unlisted keys don't exist."""


@attrs.define(kw_only=True)
class _Topic:
    end: int = -1
    records_by_key: dict[str, KeyedRecord] = attrs.Factory(dict)


class RecordMirror:
    """Keeps the newest record of each key, by offset and not by time of arrival."""

    def __init__(self):
        self._topics_by_name: dict[str, _Topic] = {}

    def end(self, topic: str) -> int:
        """Return the offset after the last known record, -1 for an unknown topic."""
        known = self._topics_by_name.get(topic)
        return known.end if known else -1

    def ends(self) -> Mapping[str, int]:
        """Return the end offset of each topic."""
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
        changed = [record for record in update.records if self._is_newer(topic, record)]
        if update.is_listing:
            changed += _missing(topic, update)
        for record in changed:
            topic.records_by_key[record.key] = record
        # If the update skips records that this mirror lacks, the end offset stays, so
        # that they are still requested.
        if update.start <= max(topic.end, 0):
            topic.end = max(topic.end, update.end)
        return tuple(changed)

    def since(self, topic: str, offset: int) -> TopicUpdate:
        """Return the newest records at or after an offset.

        Args:
            topic: Name of the topic.
            offset: End offset of the topic at the node that requests the records.
        """
        known = self._topics_by_name.get(topic, _Topic())
        newer = [
            record
            for record in known.records_by_key.values()
            if record.offset >= offset
        ]
        return TopicUpdate(
            topic=topic, records=tuple(newer), end=known.end, start=max(0, offset)
        )

    def _is_newer(self, topic: _Topic, record: KeyedRecord) -> bool:
        known = topic.records_by_key.get(record.key)
        return known is None or record.offset > known.offset


def _missing(topic: _Topic, update: TopicUpdate) -> Iterable[KeyedRecord]:
    """Return removals of known keys that a listing no longer contains."""
    listed = {record.key for record in update.records}
    return [
        KeyedRecord(key=record.key, offset=update.end - 1, value=None)
        for record in topic.records_by_key.values()
        if record.value is not None
        and record.key not in listed
        and record.offset < update.end
    ]
