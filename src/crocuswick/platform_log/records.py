"""What the platform's log service returns."""

from __future__ import annotations

from typing import Any

import attrs

__all__ = ["AppendReceipt", "LogPage", "LogRecord", "RetentionGap"]


@attrs.frozen(kw_only=True)
class AppendReceipt:
    """The log's answer to an append."""

    first_offset: int
    """Offset of the first record appended."""

    next_offset: int
    """Offset after the last record appended."""


@attrs.frozen(kw_only=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    """Place in the stream, from 0; never used twice."""

    time_ms: int
    """Wall clock of the log service when the record was appended."""

    value: Any
    """The plain JSON value."""


@attrs.frozen(kw_only=True)
class LogPage:
    """A run of records read from a stream."""

    first_retained: int
    """Offset of the oldest record that the log still keeps."""

    next_offset: int
    """Offset that the next record appended to the stream will get."""

    records: tuple[LogRecord, ...]
    """The records, oldest first."""


@attrs.frozen(kw_only=True)
class RetentionGap:
    """The records asked for are no longer kept."""

    first_retained: int
    """Offset of the oldest record that the log still keeps."""

    next_offset: int
    """Offset that the next record appended to the stream will get."""
