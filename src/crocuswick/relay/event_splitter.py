"""Splitting of a server-sent event stream into events."""

from __future__ import annotations

import re
from typing import NamedTuple

import attrs

__all__ = ["EventSplitter", "StreamEvent"]

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_LINE_END = rb"(?:\r?\n|\r)"
_WELL_FORMED = re.compile(
    rb"(?:(?:[A-Za-z][A-Za-z0-9_-]*)?(?::[^\r\n]*)?" + _LINE_END + rb")+"
)
"""Comments, fields with a value, and fields without one."""

_COMMON = re.compile(rb"id: (\d{1,15})\ndata:[^\r\n]*\n\n")
"""The usual form of an event, which needs no further checks."""

_LINE = re.compile(rb"([^:\r\n]*)(:?)[ ]?([^\r\n]*)" + _LINE_END)
_NUMBER = re.compile(rb"\d{1,15}")
_KNOWN_NAMES = (b"data", b"id", b"event", b"retry")
_END_MARKS = (b"[DONE]",)
"""Data of events that end a stream and are no part of its content."""

MAX_EVENT_BYTES = 1 << 18
"""Limit on an unfinished event; a sender that exceeds it is faulty."""


@attrs.frozen(kw_only=True)
class StreamEvent:
    """One event, unchanged as received."""

    data: bytes
    """The event including its final blank line."""

    number: int | None
    """Id of the event, None if it has none."""

    is_well_formed: bool
    """Whether it consists of fields and comments, among them one that streams have, and is
    one event. Text, the head of another answer and two events whose boundary is spoiled are
    not.
    """

    is_piece: bool = True
    """Whether it has content of the stream. Comments and the mark at the end have none."""


class EventSplitter:
    """Buffers received bytes and returns complete events."""

    def __init__(self):
        self._pending = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._pending)

    @property
    def is_oversized(self) -> bool:
        """Whether the unfinished event exceeds `MAX_EVENT_BYTES`."""
        return len(self._pending) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes.

        Args:
            data: The bytes.

        Returns:
            The events that are now complete.
        """
        if not self._pending and _is_one_event(data):
            return [_event(data)]
        self._pending += data
        events = []
        start = 0
        for boundary in _BOUNDARY.finditer(self._pending):
            events.append(_event(bytes(self._pending[start : boundary.end()])))
            start = boundary.end()
        del self._pending[:start]
        return events


def _is_one_event(data: bytes) -> bool:
    """Whether received bytes are exactly one event, the most common case."""
    return data.find(b"\n\n") == len(data) - 2 > 0 and b"\r" not in data


def _event(data: bytes) -> StreamEvent:
    common = _COMMON.fullmatch(data)
    if common is not None:
        return StreamEvent(data=data, number=int(common[1]), is_well_formed=True)
    content = data.lstrip(b"\r\n").removeprefix(_BYTE_ORDER_MARK)
    fields = [_Field(*found.groups()) for found in _LINE.finditer(content)][:-1]
    numbers = [
        int(field.value)
        for field in fields
        if field.name == b"id" and _NUMBER.fullmatch(field.value)
    ]
    contents = [field.value for field in fields if field.name == b"data"]
    return StreamEvent(
        data=data,
        number=numbers[0] if numbers else None,
        is_well_formed=bool(_WELL_FORMED.fullmatch(content)) and _is_one(fields),
        is_piece=bool(numbers) or (any(contents) and contents[0] not in _END_MARKS),
    )


class _Field(NamedTuple):
    """A line of an event."""

    name: bytes
    colon: bytes
    value: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it is a comment, which has no name."""
        return not self.name and bool(self.colon)


def _is_one(fields: list[_Field]) -> bool:
    """Whether fields can be those of one event, with no byte of a name spoiled."""
    names = [field.name for field in fields]
    has_known = any(field.name in _KNOWN_NAMES or field.is_comment for field in fields)
    is_sound = all(
        field.name in _KNOWN_NAMES or field.is_comment or _is_extension(field, names)
        for field in fields
    )
    has_id = any(field.name == b"id" and field.value for field in fields)
    has_content = not has_id or any(
        field.name == b"data" and field.colon for field in fields
    )
    return (
        has_known
        and is_sound
        and has_content
        and names.count(b"id") <= 1
        and _are_contiguous(names, b"data")
    )


def _is_extension(field: _Field, names: list[bytes]) -> bool:
    """Whether an unknown field is one of its own and no known one that is spoiled."""
    is_spoiled = any(
        known not in names and _differs_by_one(field.name, known)
        for known in (b"id", b"data")
    )
    return bool(field.name) and bool(field.colon) and not is_spoiled


def _differs_by_one(name: bytes, known: bytes) -> bool:
    if len(name) == len(known):
        return sum(a != b for a, b in zip(name, known, strict=True)) == 1
    return name[1:] == known


def _are_contiguous(names: list[bytes], name: bytes) -> bool:
    """Whether no other line stands between those with a name."""
    if name not in names:
        return True
    first = names.index(name)
    count = names.count(name)
    return names[first : first + count] == [name] * count
