"""Lines of the nodes' structured logs."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LogLine", "LogLines", "read_log_lines"]

_NAMED = ("t", "node", "event")


@attrs.frozen(kw_only=True)
class LogLine:
    """One line of one node."""

    unix_s: float
    node: str
    event: str
    fields: Mapping[str, Any]
    """The other fields, by name."""

    def __getitem__(self, name: str) -> Any:
        """Return a field, None where the line has none of that name."""
        return self.fields.get(name)


@attrs.frozen(kw_only=True)
class LogLines:
    """The lines of all nodes in order of their time."""

    lines: tuple[LogLine, ...]
    unreadable: int
    """Lines with an object that is no line of a log, or is cut off."""

    dropped: int
    """Lines that the nodes themselves say they have dropped."""

    def between(self, start_s: float, end_s: float) -> list[LogLine]:
        """Return the lines of a time, both ends included."""
        return [line for line in self.lines if start_s <= line.unix_s <= end_s]


def read_log_lines(texts: Iterable[str]) -> LogLines:
    """Read the lines of any number of nodes.

    What stands before the object, such as a collector's time and host, is passed over;
    so are lines without an object.

    Args:
        texts: Lines of text.
    """
    lines = []
    unreadable = 0
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        line = _line(text[start:])
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    lines.sort(key=lambda line: line.unix_s)
    dropped = sum(int(line["dropped"] or 0) for line in lines)
    return LogLines(lines=tuple(lines), unreadable=unreadable, dropped=dropped)


def _line(text: str) -> LogLine | None:
    try:
        value = json.loads(text)
        return LogLine(
            unix_s=float(value["t"]),
            node=str(value["node"]),
            event=str(value["event"]),
            fields={name: value[name] for name in value if name not in _NAMED},
        )
    except (KeyError, TypeError, ValueError):
        return None
