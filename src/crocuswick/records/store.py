"""Interface of a client of the platform's store."""

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
    """Result of an append."""

    is_appended: bool
    position: int
    """Position of the appended record, or the topic's end if `at` did not match it."""


@attrs.frozen(kw_only=True)
class LogTail:
    """Records of an unkeyed topic."""

    end: int
    """Position after the last record of the topic."""

    first: int
    """Position of the oldest retained record."""

    records: tuple[bytes, ...]


class RecordStore(Protocol):
    """Client of the store, used by one thread."""

    def list_newest(self, topic: str) -> Result[TopicUpdate, PeerError]:
        """Read the newest record of each key of a topic."""

    def read_keyed(
        self, topic: str, *, start: int, wait_ms: int
    ) -> Result[TopicUpdate | None, PeerError]:
        """Read keyed records from a position on; None if they aren't retained."""

    def read_tail(self, topic: str, *, start: int) -> Result[LogTail | None, PeerError]:
        """Read records of an unkeyed topic; None if they are no longer retained."""

    def append(
        self, topic: str, record: bytes, *, at: int | None = None
    ) -> Result[AppendAck, PeerError]:
        """Append one record; with `at`, only if the topic ends at that position."""

    def append_keyed(
        self, topic: str, key: str, value: bytes
    ) -> Result[AppendAck, PeerError]:
        """Append a record of a key."""
