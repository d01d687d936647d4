"""Actor that caches the records of keyed topics."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import logbook

from crocuswick.actor import Actor, Message
from crocuswick.records.mirror import KeyedRecord, RecordMirror, TopicUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["RecordCache"]

logger = logbook.Logger(__name__)


class RecordCache(Actor):
    """Merges the updates of readers and peers and passes on new records.

    Args:
        on_record: Called with the topic, each record that is new at this node, and
            whether it may have been written at any time before: nothing was known of
            the topic, or a peer kept the record.
        on_update: Called with the new records of each update that contains any, to be
            passed on to other nodes.
        version_of: Returns the version that a record's content names, None if it names
            none.
    """

    @attrs.frozen(kw_only=True)
    class Merge(Message):
        """Merges an update from a reader or another node.

        Returns the end position of the topic after the merge.
        """

        update: TopicUpdate

    @attrs.frozen(kw_only=True)
    class End(Message):
        """Requests the end position of a topic, -1 if unknown."""

        topic: str

    @attrs.frozen(kw_only=True)
    class Ends(Message):
        """Requests the end positions of all topics."""

    @attrs.frozen(kw_only=True)
    class Since(Message):
        """Requests the newest records from a position on, to send to another node."""

        topic: str
        position: int

    @attrs.frozen(kw_only=True)
    class MergeKept(Message):
        """Merges records that another node has and the store has lost."""

        topic: str
        records: tuple[KeyedRecord, ...]

    @attrs.frozen(kw_only=True)
    class Kept(Message):
        """Requests the records of a topic that the store has lost."""

        topic: str

    def __init__(
        self,
        *,
        on_record: Callable[[str, KeyedRecord, bool], None],
        on_update: Callable[[TopicUpdate], None],
        version_of: Callable[[str, KeyedRecord], int | None],
    ):
        super().__init__()
        self._mirror = RecordMirror(version_of=version_of)
        self._on_record = on_record
        self._on_update = on_update

    def on_merge(self, message: Merge) -> int:
        """Merge an update and return the end position of its topic."""
        update = message.update
        end_before = self._mirror.end(update.topic)
        changed = self._mirror.merge(update)
        for record in sorted(changed, key=lambda record: record.position):
            self._apply(update.topic, record, is_of_unknown_age=end_before < 0)
        if changed:
            self._on_update(self._to_pass_on(update, changed, end_before))
        return self._mirror.end(update.topic)

    def _to_pass_on(
        self, update: TopicUpdate, changed: Iterable[KeyedRecord], end_before: int
    ) -> TopicUpdate:
        """Return the new records of an update, as an update for other nodes.

        A receiver takes an update as complete from its start to its end. Before
        `end_before` only new records are included, so it must not start there. From
        there on, records that this node knew already are included, because a receiver
        may lack them.
        """
        start = max(update.start, end_before)
        records_by_key = {record.key: record for record in changed}
        for record in self._mirror.since(update.topic, start).records:
            if record.position < update.end:
                records_by_key[record.key] = record
        return TopicUpdate(
            topic=update.topic,
            records=tuple(records_by_key.values()),
            end=update.end,
            start=start,
        )

    def on_merge_kept(self, message: MergeKept) -> None:
        """Merge records that another node has kept."""
        for record in self._mirror.merge_kept(message.topic, message.records):
            self._apply(message.topic, record, is_of_unknown_age=True)

    def _apply(
        self, topic: str, record: KeyedRecord, *, is_of_unknown_age: bool
    ) -> None:
        """Pass a record on; one that can't be applied does not affect the others."""
        try:
            self._on_record(topic, record, is_of_unknown_age)
        except Exception:  # noqa: BLE001 - the content comes from other writers
            logger.exception("applying record {} of {} failed", record.key, topic)

    def on_kept(self, message: Kept) -> tuple[KeyedRecord, ...]:
        """Return the records of a topic that the store has lost."""
        return self._mirror.kept(message.topic)

    def on_end(self, message: End) -> int:
        """Return the end position of a topic."""
        return self._mirror.end(message.topic)

    def on_ends(self, _message: Ends) -> dict[str, int]:
        """Return the end positions of all topics."""
        return dict(self._mirror.ends())

    def on_since(self, message: Since) -> TopicUpdate:
        """Return the newest records from a position on."""
        return self._mirror.since(message.topic, message.position)
