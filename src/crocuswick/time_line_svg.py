"""SVG rendering of a merged time line."""

from __future__ import annotations

from typing import TYPE_CHECKING
from xml.sax.saxutils import escape, quoteattr

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crocuswick.time_line import EventId
    from crocuswick.time_line_merge import MergedEvent, MergedTimeLine

__all__ = ["render_svg"]

LABEL_WIDTH_PX = 130
ROW_HEIGHT_PX = 44
TOP_MARGIN_PX = 30
MIN_EVENT_SPACING_PX = 26
MIN_WIDTH_PX = 900
BAR_HEIGHT_PX = 10
MIN_BAR_WIDTH_PX = 3
TICK_COUNT = 8
MAX_LABEL_CHARACTERS = 18

_US_PER_MS = 1_000
_FONT = 'font-family="sans-serif" font-size="10"'


@attrs.frozen(kw_only=True)
class _Layout:
    """Positions of nodes and times in the picture."""

    rows_by_node_id: dict[str, int]
    start_us: int
    end_us: int
    width_px: int

    @property
    def height_px(self) -> int:
        return TOP_MARGIN_PX + ROW_HEIGHT_PX * len(self.rows_by_node_id) + 10

    def x(self, time_us: int) -> float:
        fraction = (time_us - self.start_us) / max(1, self.end_us - self.start_us)
        fraction = max(0.0, min(1.0, fraction))
        return LABEL_WIDTH_PX + fraction * (self.width_px - LABEL_WIDTH_PX - 20)

    def y(self, node_id: str) -> float:
        return TOP_MARGIN_PX + ROW_HEIGHT_PX * (self.rows_by_node_id[node_id] + 0.6)


def render_svg(time_line: MergedTimeLine) -> str:
    """Return a picture with one row per node and arrows from causes to effects.

    Args:
        time_line: Merged events.

    Returns:
        An ``svg`` element.
    """
    events = time_line.events
    if not events:
        return "<svg xmlns='http://www.w3.org/2000/svg' width='10' height='10'></svg>"
    layout = _layout(events)
    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{layout.width_px}" '
        f'height="{layout.height_px}" role="img" aria-label="Merged time line">',
        _arrow_head(),
        *_ticks(layout),
        *_node_rows(layout),
        *_cause_arrows(events, layout),
        *(_event_bar(merged, layout) for merged in events),
        "</svg>",
    ]
    return "\n".join(elements)


def _layout(events: Sequence[MergedEvent]) -> _Layout:
    node_ids = sorted({merged.id.node_id for merged in events})
    return _Layout(
        rows_by_node_id={node_id: row for row, node_id in enumerate(node_ids)},
        start_us=min(merged.event.earliest_us for merged in events),
        end_us=max(merged.event.latest_us for merged in events),
        width_px=max(MIN_WIDTH_PX, LABEL_WIDTH_PX + MIN_EVENT_SPACING_PX * len(events)),
    )


def _arrow_head() -> str:
    return (
        '<defs><marker id="head" markerWidth="7" markerHeight="6" refX="7" refY="3" '
        'orient="auto"><path d="M0,0 L7,3 L0,6 z" fill="#a33"/></marker></defs>'
    )


def _ticks(layout: _Layout) -> list[str]:
    span_us = layout.end_us - layout.start_us
    elements = []
    for number in range(TICK_COUNT + 1):
        offset_us = span_us * number // TICK_COUNT
        x = layout.x(layout.start_us + offset_us)
        elements.append(
            f'<line x1="{x:.1f}" y1="{TOP_MARGIN_PX - 8}" x2="{x:.1f}" '
            f'y2="{layout.height_px}" stroke="#eee"/>'
            f'<text x="{x:.1f}" y="{TOP_MARGIN_PX - 12}" {_FONT} text-anchor="middle">'
            f"{offset_us / _US_PER_MS:.1f} ms</text>"
        )
    return elements


def _node_rows(layout: _Layout) -> list[str]:
    return [
        f'<text x="4" y="{layout.y(node_id) + 4:.1f}" {_FONT}>{escape(node_id)}</text>'
        f'<line x1="{LABEL_WIDTH_PX}" y1="{layout.y(node_id):.1f}" '
        f'x2="{layout.width_px}" y2="{layout.y(node_id):.1f}" stroke="#ccc"/>'
        for node_id in layout.rows_by_node_id
    ]


def _cause_arrows(events: Sequence[MergedEvent], layout: _Layout) -> list[str]:
    merged_by_id: dict[EventId, MergedEvent] = {merged.id: merged for merged in events}
    elements = []
    for merged in events:
        cause = merged_by_id.get(merged.event.cause) if merged.event.cause else None
        if cause is None or cause.id.node_id == merged.id.node_id:
            continue
        elements.append(
            f'<line x1="{_middle_x(cause, layout):.1f}" '
            f'y1="{layout.y(cause.id.node_id):.1f}" '
            f'x2="{_middle_x(merged, layout):.1f}" '
            f'y2="{layout.y(merged.id.node_id):.1f}" stroke="#a33" '
            'stroke-width="0.8" marker-end="url(#head)"/>'
        )
    return elements


def _event_bar(merged: MergedEvent, layout: _Layout) -> str:
    event = merged.event
    left = layout.x(merged.earliest_us)
    width = max(MIN_BAR_WIDTH_PX, layout.x(merged.latest_us) - left)
    y = layout.y(event.id.node_id)
    colour = "#246" if merged.is_after_previous else "#8ac"
    label = event.kind[:MAX_LABEL_CHARACTERS]
    tooltip = f"{event.id} {event.kind} {event.subject} {event.detail}"
    # Adjacent labels alternate in height so that they do not overlap.
    label_y = y - 8 - 9 * (event.id.sequence % 2)
    return (
        f"<g aria-label={quoteattr(tooltip)}><title>{escape(tooltip)}</title>"
        f'<rect x="{left:.1f}" y="{y - BAR_HEIGHT_PX / 2:.1f}" width="{width:.1f}" '
        f'height="{BAR_HEIGHT_PX}" fill="{colour}" fill-opacity="0.6"/>'
        f'<text x="{left:.1f}" y="{label_y:.1f}" {_FONT}>{escape(label)}</text></g>'
    )


def _middle_x(merged: MergedEvent, layout: _Layout) -> float:
    return (layout.x(merged.earliest_us) + layout.x(merged.latest_us)) / 2
