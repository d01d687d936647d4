"""Parser of the nodes' structured logs."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import attrs

from crocuswick.malformed import MALFORMED

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LogLine", "LogLines", "read_log_lines"]

_STANDARD_FIELDS = ("t", "node", "event")


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of a node's structured log."""

    unix_s: float
    """Unix time, in seconds."""

    node: str
    """Id of the node that wrote the line."""

    event: str
    """What happened."""

    fields: Mapping[str, Any]
    """The other fields, by name."""

    def __getitem__(self, name: str) -> Any:
        """Return a field, or None if the line has no such field."""
        return self.fields.get(name)


@attrs.frozen(kw_only=True)
class LogLines:
    """Log lines of all nodes, ordered by time."""

    lines: tuple[LogLine, ...]
    unreadable: int
    """Number of lines whose JSON object is truncated or is not a log line."""

    dropped: int
    """Number of lines that the nodes report as dropped."""

    def between(self, start_s: float, end_s: float) -> list[LogLine]:
        """Return the lines of a time interval, both ends included."""
        return [line for line in self.lines if start_s <= line.unix_s <= end_s]


def read_log_lines(texts: Iterable[str]) -> LogLines:
    """Read the log lines of any number of nodes.

    Text before the JSON object, such as the time and host that a log collector adds, is
    ignored. So are lines without an object.

    Args:
        texts: Lines of text.
    """
    lines = []
    unreadable = 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        line = _parse_line(text[start:])
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    lines.sort(key=lambda line: line.unix_s)
    dropped = sum(int(line["dropped"] or 0) for line in lines)
    return LogLines(lines=tuple(lines), unreadable=unreadable, dropped=dropped)


def _parse_line(text: str) -> LogLine | None:
    try:
        value = json.loads(text)
        return LogLine(
            unix_s=float(value["t"]),
            node=str(value["node"]),
            event=str(value["event"]),
            fields={
                name: value[name] for name in value if name not in _STANDARD_FIELDS
            },
        )
    except MALFORMED:
        return None
