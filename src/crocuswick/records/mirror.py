"""A copy of keyed topics, merged from the store and from other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ["KeyedRecord", "RecordMirror", "TopicUpdate"]


@attrs.frozen(kw_only=True)
class KeyedRecord:
    """The newest record of a key; a later one has a higher offset."""

    key: str
    offset: int
    value: bytes | None
    """Content, None where the key was dropped."""


@attrs.frozen(kw_only=True)
class TopicUpdate:
    """What a reader of a topic learned."""

    topic: str
    records: tuple[KeyedRecord, ...]
    end: int
    """Offset after the last record that the sender knows of."""

    start: int = 0
    """Offset from which on every newest record is among these."""

    is_listing: bool = False
    """Whether keys that are not named don't exist."""


@attrs.define(kw_only=True)
class _Topic:
    end: int = -1
    records_by_key: dict[str, KeyedRecord] = attrs.Factory(dict)


class RecordMirror:
    """Keeps the newest record of each key; offsets decide, not times of arrival."""

    def __init__(self):
        self._topics_by_name: dict[str, _Topic] = {}

    def end(self, topic: str) -> int:
        """Return the offset after the last known record, -1 for an unknown topic."""
        known = self._topics_by_name.get(topic)
        return known.end if known else -1

    def ends(self) -> Mapping[str, int]:
        """Return the end of each topic."""
        return {name: topic.end for name, topic in self._topics_by_name.items()}

    def records(self, topic: str) -> Mapping[str, KeyedRecord]:
        """Return the newest record of each key, dropped ones included."""
        known = self._topics_by_name.get(topic)
        return known.records_by_key if known else {}

    def merge(self, update: TopicUpdate) -> tuple[KeyedRecord, ...]:
        """Take what a reader or another node learned.

        Args:
            update: Records in any order, old ones among them.

        Returns:
            The records that are new here.
        """
        topic = self._topics_by_name.setdefault(update.topic, _Topic())
        changed = [record for record in update.records if self._is_newer(topic, record)]
        if update.is_listing:
            changed += _missing(topic, update)
        for record in changed:
            topic.records_by_key[record.key] = record
        # A sender that skips records that are missing here doesn't move the end, so
        # that they are still asked for.
        if update.start <= max(topic.end, 0):
            topic.end = max(topic.end, update.end)
        return tuple(changed)

    def since(self, topic: str, offset: int) -> TopicUpdate:
        """Return the newest records at or after an offset.

        Args:
            topic: Name of the topic.
            offset: End of the topic as another node knows it.
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
    """Return drops for known keys that a listing no longer has."""
    listed = {record.key for record in update.records}
    return [
        KeyedRecord(key=record.key, offset=update.end - 1, value=None)
        for record in topic.records_by_key.values()
        if record.value is not None
        and record.key not in listed
        and record.offset < update.end
    ]
