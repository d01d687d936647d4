"""Renderings of a merged time line as text, JSON and a self-contained HTML page."""

from __future__ import annotations

import datetime
import html
import json
from typing import TYPE_CHECKING

from crocuswick.time_line import encode_event
from crocuswick.time_line_svg import render_svg

if TYPE_CHECKING:
    from crocuswick.time_line_merge import MergedEvent, MergedTimeLine

__all__ = ["render_json", "render_page", "render_text"]

CERTAIN_MARK = " "
"""Mark of an event that certainly happened after the previous one."""

UNCERTAIN_MARK = "~"
"""Mark of an event whose order relative to the previous one is not known."""

_US_PER_S = 1_000_000
_US_PER_MS = 1_000


def render_text(time_line: MergedTimeLine) -> str:
    """Return the time line as text.

    Args:
        time_line: Merged events.

    Returns:
        One line per event; ``~`` marks an event that may have happened before the
        previous one.
    """
    lines = [_text_line(merged) for merged in time_line.events]
    for broken in time_line.broken_clocks:
        lines.append(
            f"! clocks contradict causes: {broken.effect} follows {broken.cause}, "
            f"but its interval ends {broken.excess_us} us before the cause's begins"
        )
    if time_line.distrusted_nodes:
        names = ", ".join(time_line.distrusted_nodes)
        lines.append(f"! clock intervals not used, only causes: {names}")
    return "\n".join(lines)


def render_json(time_line: MergedTimeLine) -> str:
    """Return the time line as JSON.

    Args:
        time_line: Merged events.
    """
    value = {
        "events": [
            {
                **encode_event(merged.event),
                "narrowed_earliest_us": merged.earliest_us,
                "narrowed_latest_us": merged.latest_us,
                "order_with_previous": (
                    "certain" if merged.is_after_previous else "uncertain"
                ),
            }
            for merged in time_line.events
        ],
        "broken_clocks": [
            {
                "cause": str(broken.cause),
                "effect": str(broken.effect),
                "excess_us": broken.excess_us,
            }
            for broken in time_line.broken_clocks
        ],
        "distrusted_nodes": list(time_line.distrusted_nodes),
    }
    return json.dumps(value, indent=1, sort_keys=True)


def render_page(time_line: MergedTimeLine, *, title: str = "Time line") -> str:
    """Return the time line as an HTML page without external resources.

    Args:
        time_line: Merged events.
        title: Title of the page.
    """
    heading = html.escape(title)
    text = html.escape(render_text(time_line))
    return (
        "<!DOCTYPE html>\n"
        f'<html lang="en"><head><meta charset="utf-8"><title>{heading}</title>\n'
        "<style>body{font-family:sans-serif;margin:1em}"
        "pre{font-size:12px;overflow-x:auto}</style></head>\n"
        f"<body><h1>{heading}</h1>\n"
        "<p>One row per node, time to the right. A bar is the interval in which an "
        "event happened; an arrow leads from a cause to its effect. An event with a "
        "pale bar may have happened before the previous event.</p>\n"
        f"{render_svg(time_line)}\n<pre>{text}</pre></body></html>\n"
    )


def _text_line(merged: MergedEvent) -> str:
    event = merged.event
    mark = CERTAIN_MARK if merged.is_after_previous else UNCERTAIN_MARK
    middle_us = (merged.earliest_us + merged.latest_us) // 2
    error_ms = (merged.latest_us - merged.earliest_us) / 2 / _US_PER_MS
    columns = [
        f"{mark} {_clock_time(middle_us)} ±{error_ms:.1f}ms",
        f"{event.id.node_id:<12} {event.kind}",
        event.subject,
        event.detail,
    ]
    if event.cause is not None:
        columns.append(f"[after {event.cause}]")
    return " ".join(column for column in columns if column)


def _clock_time(time_us: int) -> str:
    time = datetime.datetime.fromtimestamp(time_us / _US_PER_S, tz=datetime.UTC)
    return time.strftime("%H:%M:%S.%f")[:-3]
