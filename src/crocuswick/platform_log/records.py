"""Responses of the platform's log service."""

from __future__ import annotations

from typing import Any

import attrs

__all__ = ["AppendReceipt", "LogPage", "LogRecord", "RetentionGap"]


@attrs.frozen(kw_only=True)
class AppendReceipt:
    """The log's response to an append."""

    first_offset: int
    """Offset of the first appended record."""

    next_offset: int
    """Offset after the last appended record."""


@attrs.frozen(kw_only=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    """Position in the stream, counted from 0 and never reused."""

    time_ms: int
    """Log time: the log service's wall-clock time when the record was appended."""

    value: Any
    """The plain JSON value."""


@attrs.frozen(kw_only=True)
class LogPage:
    """Consecutive records read from a stream."""

    first_retained: int
    """Offset of the oldest retained record."""

    next_offset: int
    """Offset of the next record to be appended."""

    records: tuple[LogRecord, ...]
    """The records, oldest first."""


@attrs.frozen(kw_only=True)
class RetentionGap:
    """The requested records are no longer retained."""

    first_retained: int
    """Offset of the oldest retained record."""

    next_offset: int
    """Offset of the next record to be appended."""
