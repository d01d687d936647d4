"""Merge of the time lines of all nodes, with certain and uncertain order.

The order of two events is certain if one caused the other, directly or indirectly, if
the same node recorded both, or if their clock intervals do not overlap. Intervals are
first narrowed along causes: an effect is not earlier than its cause. Any other order is
reported as uncertain.

Ordering by intervals follows C. Liebig, M. Cilia and A. Buchmann, "Event
Composition in Time-dependent Distributed Systems", section III.
"""

from __future__ import annotations

import heapq
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from crocuswick.time_line import EventId, TimeLineEvent

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = [
    "BrokenClock",
    "EventOrder",
    "MergedEvent",
    "MergedTimeLine",
    "merge_events",
    "related_events",
]


UNKNOWN_CLOCK_ERROR_US = 3_600_000_000
"""Assumed error of a clock that contradicts causes: 1 h, in µs."""


class EventOrder(StrEnum):
    """Known order of two events."""

    BEFORE = "before"
    """The first happened before the second."""

    AFTER = "after"
    """The first happened after the second."""

    UNCERTAIN = "uncertain"
    """The order is not known."""


@attrs.frozen(kw_only=True)
class _Process:
    """One incarnation of a node."""

    node_id: str
    incarnation: int


@attrs.define(kw_only=True)
class MergedEvent:
    """An event with the results of the merge."""

    event: TimeLineEvent
    """The recorded event."""

    earliest_us: int
    """Earliest time in µs since the epoch, narrowed by the event's causes."""

    latest_us: int
    """Latest time in µs since the epoch, narrowed by the event's effects."""

    is_after_previous: bool = True
    """Whether it certainly happened after the previous event of the merge."""

    vector_clock: dict[_Process, int] = attrs.Factory(dict)
    """Highest sequence number of each process among the event's predecessors."""

    @property
    def id(self) -> EventId:
        """Id of the event."""
        return self.event.id


@attrs.frozen(kw_only=True)
class BrokenClock:
    """A pair of events where the cause's interval lies after that of the effect."""

    cause: EventId
    """Id of the cause."""

    effect: EventId
    """Id of the effect."""

    excess_us: int
    """Gap between the two intervals, in µs: the assumed clock errors are too small by
    this amount."""


@attrs.frozen(kw_only=True)
class MergedTimeLine:
    """Events of all nodes, sorted consistently with every certain order."""

    events: tuple[MergedEvent, ...]
    """Sorted events."""

    broken_clocks: tuple[BrokenClock, ...]
    """Contradictions between causes and clocks."""

    distrusted_nodes: tuple[str, ...] = ()
    """Nodes whose clocks are assumed wrong, because they explain the contradictions.

    Their clock intervals are widened by `UNKNOWN_CLOCK_ERROR_US` on both sides, so that
    causes decide which order of their events is certain.
    """

    def order(self, first: MergedEvent, second: MergedEvent) -> EventOrder:
        """Return the known order of two events.

        Args:
            first: An event of this merge.
            second: Another event of this merge.
        """
        if _happened_before(first, second):
            return EventOrder.BEFORE
        if _happened_before(second, first):
            return EventOrder.AFTER
        if first.latest_us < second.earliest_us:
            return EventOrder.BEFORE
        if second.latest_us < first.earliest_us:
            return EventOrder.AFTER
        return EventOrder.UNCERTAIN


def merge_events(events: Iterable[TimeLineEvent]) -> MergedTimeLine:
    """Merge events of any number of nodes.

    Args:
        events: Events in any order. Duplicates are ignored, and so are missing causes
            (a node may have dropped them).
    """
    merged_by_id = {
        event.id: MergedEvent(
            event=event, earliest_us=event.earliest_us, latest_us=event.latest_us
        )
        for event in events
    }
    predecessors_by_id = _predecessors(merged_by_id)
    causal_order = _sorted_by_causes(merged_by_id, predecessors_by_id)
    for merged in causal_order:
        _update_vector_clock(merged, predecessors_by_id[merged.id])
    broken_clocks = _broken_clocks(causal_order, merged_by_id)
    distrusted_nodes = _distrusted_nodes(broken_clocks)
    _widen(causal_order, distrusted_nodes)
    _narrow(causal_order, predecessors_by_id)
    ordered = _sorted_by_causes(merged_by_id, predecessors_by_id)
    time_line = MergedTimeLine(
        events=tuple(ordered),
        broken_clocks=broken_clocks,
        distrusted_nodes=distrusted_nodes,
    )
    for previous, merged in zip(ordered, ordered[1:], strict=False):
        order = time_line.order(previous, merged)
        merged.is_after_previous = order is EventOrder.BEFORE
    return time_line


def related_events(
    events: Iterable[TimeLineEvent], subject: str
) -> list[TimeLineEvent]:
    """Return the events about a subject, with all their causes and effects.

    Args:
        events: Events of any number of nodes.
        subject: Id of a request or another object.
    """
    events_by_id = {event.id: event for event in events}
    effects_by_cause: dict[EventId, list[EventId]] = {}
    for event in events_by_id.values():
        if event.cause is not None:
            effects_by_cause.setdefault(event.cause, []).append(event.id)
    subject_ids = [
        event.id for event in events_by_id.values() if event.subject == subject
    ]
    related_ids = _reachable(
        subject_ids, lambda event_id: effects_by_cause.get(event_id, [])
    )
    related_ids |= _reachable(
        subject_ids, lambda event_id: _cause_of(event_id, events_by_id)
    )
    return [event for event in events_by_id.values() if event.id in related_ids]


def _cause_of(
    event_id: EventId, events_by_id: dict[EventId, TimeLineEvent]
) -> list[EventId]:
    event = events_by_id.get(event_id)
    return [event.cause] if event is not None and event.cause is not None else []


def _reachable(
    starts: Iterable[EventId], neighbours: Callable[[EventId], list[EventId]]
) -> set[EventId]:
    reached: set[EventId] = set()
    to_visit = list(starts)
    while to_visit:
        event_id = to_visit.pop()
        if event_id not in reached:
            reached.add(event_id)
            to_visit.extend(neighbours(event_id))
    return reached


def _process(event_id: EventId) -> _Process:
    return _Process(node_id=event_id.node_id, incarnation=event_id.incarnation)


def _happened_before(first: MergedEvent, second: MergedEvent) -> bool:
    if first.id.node_id == second.id.node_id:
        return first.id < second.id
    known = second.vector_clock.get(_process(first.id), -1)
    return first.id.sequence <= known


def _predecessors(
    merged_by_id: dict[EventId, MergedEvent],
) -> dict[EventId, list[MergedEvent]]:
    """Return the cause and the node's previous event of each event."""
    predecessors_by_id: dict[EventId, list[MergedEvent]] = {}
    previous: EventId | None = None
    for event_id in sorted(merged_by_id):
        predecessors = []
        if previous is not None and previous.node_id == event_id.node_id:
            predecessors.append(merged_by_id[previous])
        cause = merged_by_id[event_id].event.cause
        if cause is not None and cause in merged_by_id:
            predecessors.append(merged_by_id[cause])
        predecessors_by_id[event_id] = predecessors
        previous = event_id
    return predecessors_by_id


def _sorted_by_causes(
    merged_by_id: dict[EventId, MergedEvent],
    predecessors_by_id: dict[EventId, list[MergedEvent]],
) -> list[MergedEvent]:
    """Sort events topologically by predecessors, then by clock time."""
    pending_counts_by_id = {
        event_id: len(p) for event_id, p in predecessors_by_id.items()
    }
    successors_by_id: dict[EventId, list[EventId]] = {}
    for event_id, predecessors in predecessors_by_id.items():
        for predecessor in predecessors:
            successors_by_id.setdefault(predecessor.id, []).append(event_id)
    ready = [
        (_sort_time_us(merged_by_id[event_id]), event_id)
        for event_id, count in pending_counts_by_id.items()
        if count == 0
    ]
    heapq.heapify(ready)
    ordered = []
    while ready:
        _, event_id = heapq.heappop(ready)
        ordered.append(merged_by_id[event_id])
        for successor in successors_by_id.get(event_id, ()):
            pending_counts_by_id[successor] -= 1
            if pending_counts_by_id[successor] == 0:
                heapq.heappush(
                    ready, (_sort_time_us(merged_by_id[successor]), successor)
                )
    return ordered


def _sort_time_us(merged: MergedEvent) -> int:
    """Return the clock's reading, clamped to the narrowed interval."""
    return max(merged.earliest_us, min(merged.event.clock_us, merged.latest_us))


def _update_vector_clock(merged: MergedEvent, predecessors: list[MergedEvent]) -> None:
    known = merged.vector_clock
    for predecessor in predecessors:
        for process, sequence in predecessor.vector_clock.items():
            known[process] = max(sequence, known.get(process, -1))
        process = _process(predecessor.id)
        known[process] = max(predecessor.id.sequence, known.get(process, -1))


def _broken_clocks(
    events: list[MergedEvent], merged_by_id: dict[EventId, MergedEvent]
) -> tuple[BrokenClock, ...]:
    broken = []
    for merged in events:
        cause = merged_by_id.get(merged.event.cause) if merged.event.cause else None
        if cause is None:
            continue
        excess_us = cause.event.earliest_us - merged.event.latest_us
        if excess_us > 0:
            broken.append(
                BrokenClock(cause=cause.id, effect=merged.id, excess_us=excess_us)
            )
    return tuple(broken)


def _distrusted_nodes(broken_clocks: Iterable[BrokenClock]) -> tuple[str, ...]:
    """Return a small set of nodes that covers all contradictions.

    The set is built greedily, with the most frequent node first.
    """
    uncovered = [
        {broken.cause.node_id, broken.effect.node_id} for broken in broken_clocks
    ]
    distrusted: list[str] = []
    while uncovered:
        counts = Counter(node_id for pair in uncovered for node_id in pair)
        most_frequent = max(sorted(counts), key=lambda node_id: counts[node_id])
        distrusted.append(most_frequent)
        uncovered = [pair for pair in uncovered if most_frequent not in pair]
    return tuple(distrusted)


def _widen(events: Iterable[MergedEvent], distrusted_nodes: tuple[str, ...]) -> None:
    for merged in events:
        if merged.id.node_id in distrusted_nodes:
            merged.earliest_us -= UNKNOWN_CLOCK_ERROR_US
            merged.latest_us += UNKNOWN_CLOCK_ERROR_US


def _narrow(
    causal_order: list[MergedEvent],
    predecessors_by_id: dict[EventId, list[MergedEvent]],
) -> None:
    """Narrow the intervals along causes, forwards and then backwards."""
    for merged in causal_order:
        for predecessor in predecessors_by_id[merged.id]:
            merged.earliest_us = max(merged.earliest_us, predecessor.earliest_us)
    for merged in reversed(causal_order):
        for predecessor in predecessors_by_id[merged.id]:
            predecessor.latest_us = min(predecessor.latest_us, merged.latest_us)
