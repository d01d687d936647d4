"""Renders merged events as lines of text."""

from __future__ import annotations

import datetime
from typing import Any

__all__ = ["event_lines"]


def event_lines(events: list[dict[str, Any]]) -> list[str]:
    """Return a line for each event, in the order of the list given.

    A ``~`` marks an event whose order after the line above is not certain: their
    intervals overlap, they are of different nodes, and neither caused the other.

    Args:
        events: Plain events, merged.
    """
    lines = []
    previous = None
    for event in events:
        mark = " " if previous is None or _is_after(event, previous) else "~"
        lines.append(f"{mark} {_text(event)}")
        previous = event
    return lines


def _is_after(event: dict[str, Any], previous: dict[str, Any]) -> bool:
    is_later = event["earliest_us"] > previous["latest_us"]
    is_caused = event["cause"] == previous["id"]
    is_of_one_process = _process(event) == _process(previous)
    return is_later or is_caused or is_of_one_process


def _process(event: dict[str, Any]) -> list[Any]:
    return [event["id"]["node_id"], event["id"]["incarnation"]]


def _text(event: dict[str, Any]) -> str:
    middle_us = (event["earliest_us"] + event["latest_us"]) // 2
    half_ms = (event["latest_us"] - event["earliest_us"]) / 2000
    moment = datetime.datetime.fromtimestamp(middle_us / 1e6, tz=datetime.UTC)
    time = f"{moment:%H:%M:%S.%f}"[:-3]
    parts = [
        f"{time} ±{half_ms:.0f}ms",
        f"{event['id']['node_id']}/{event['id']['sequence']}",
        event["kind"],
        event["subject"],
        event["detail"],
    ]
    if event["cause"]:
        cause = event["cause"]
        parts.append(f"(after {cause['node_id']}/{cause['sequence']})")
    return "  ".join(part for part in parts if part)
