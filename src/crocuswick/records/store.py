"""What the product asks of a client of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from result import Result

    from crocuswick.errors import PeerError
    from crocuswick.records.mirror import TopicUpdate

__all__ = ["AppendAck", "LogTail", "RecordStore"]


@attrs.frozen(kw_only=True)
class AppendAck:
    """Whether a conditional append was carried out."""

    is_appended: bool
    offset: int
    """Offset of the appended record, or the end that the topic had instead."""


@attrs.frozen(kw_only=True)
class LogTail:
    """Records of an unkeyed topic."""

    end: int
    """Offset after the last record of the topic."""

    first: int
    """Offset of the oldest record that is kept."""

    records: tuple[bytes, ...]


class RecordStore(Protocol):
    """A client of the store, used by one thread."""

    def list_newest(self, topic: str) -> Result[TopicUpdate, PeerError]:
        """Read the newest record of each key of a topic."""

    def read_keyed(
        self, topic: str, *, start: int, wait_ms: int
    ) -> Result[TopicUpdate | None, PeerError]:
        """Read keyed records from an offset on, None where they were dropped."""

    def read_tail(self, topic: str, *, start: int) -> Result[LogTail | None, PeerError]:
        """Read records of an unkeyed topic, None where they were dropped."""

    def append(
        self, topic: str, record: bytes, *, at: int | None = None
    ) -> Result[AppendAck, PeerError]:
        """Append one record, on condition of its offset where that is given."""

    def append_keyed(
        self, topic: str, key: str, value: bytes
    ) -> Result[AppendAck, PeerError]:
        """Append the newest record of a key."""
