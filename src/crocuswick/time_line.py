"""Bounded record of the state changes of one node.

Each event has the node's own sequence number, the interval of real time in which
it happened, and the event that caused it, if that is known. Accuracy intervals
follow C. Liebig, M. Cilia and A. Buchmann, "Event Composition in Time-dependent
Distributed Systems", section III.
"""

from __future__ import annotations

import itertools
import time
from collections import deque
from typing import TYPE_CHECKING, Any

import attrs
import cattrs

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["EventId", "TimeLine", "TimeLineEvent", "decode_event", "encode_event"]

DEFAULT_CAPACITY = 4096
"""Events that a node keeps."""

DEFAULT_CLOCK_ERROR_MS = 50.0
"""Assumed bound of the wall clock's error."""

_NS_PER_US = 1_000
_US_PER_MS = 1_000


@attrs.frozen(kw_only=True, order=True)
class EventId:
    """Identity of an event among all nodes and all their restarts."""

    node_id: str
    """Node that recorded the event."""

    incarnation: int
    """Incarnation of the node's process; a later process has a higher one."""

    sequence: int
    """Position among the events of that process, from 0."""

    def __str__(self) -> str:
        return f"{self.node_id}/{self.incarnation}/{self.sequence}"


@attrs.frozen(kw_only=True)
class TimeLineEvent:
    """A recorded change of state."""

    id: EventId
    """Identity of the event."""

    earliest_us: int
    """Earliest real time at which it can have happened, in µs since the epoch."""

    latest_us: int
    """Latest real time at which it can have happened, in µs since the epoch."""

    kind: str
    """What happened, for instance ``"endpoint_left"``."""

    subject: str = ""
    """Id of the object concerned, for instance an endpoint or a request."""

    cause: EventId | None = None
    """Event on any node that led to this one."""

    detail: str = ""
    """Further description for people."""

    @property
    def clock_us(self) -> int:
        """Reading of the node's wall clock, in µs since the epoch."""
        return (self.earliest_us + self.latest_us) // 2


class TimeLine:
    """Keeps the latest events of one node; any thread may record and read.

    No lock is needed: in CPython the counter's step and the ring's append are
    each one atomic operation.
    """

    def __init__(
        self,
        *,
        node_id: str,
        capacity: int = DEFAULT_CAPACITY,
        clock_error_ms: float = DEFAULT_CLOCK_ERROR_MS,
        incarnation: int | None = None,
        clock_ns: Callable[[], int] = time.time_ns,
    ):
        """Create an empty time line.

        Args:
            node_id: Id of the node that records.
            capacity: Number of events kept; older ones are dropped.
            clock_error_ms: Bound of the wall clock's error.
            incarnation: Incarnation of the process, or None to take the clock's
                reading in µs.
            clock_ns: Wall clock, in ns since the epoch.
        """
        self._node_id = node_id
        self._clock_error_us = round(clock_error_ms * _US_PER_MS)
        self._clock_ns = clock_ns
        self._sequence = itertools.count()
        self._events: deque[TimeLineEvent] = deque(maxlen=capacity)
        self.incarnation = (
            clock_ns() // _NS_PER_US if incarnation is None else incarnation
        )

    def record(
        self,
        *,
        kind: str,
        subject: str = "",
        cause: EventId | None = None,
        detail: str = "",
    ) -> EventId:
        """Record an event that has just happened.

        Args:
            kind: What happened.
            subject: Id of the object concerned.
            cause: Event that led to this one, if known.
            detail: Further description for people.

        Returns:
            The event's id, to be passed on as a cause.
        """
        event_id = EventId(
            node_id=self._node_id,
            incarnation=self.incarnation,
            sequence=next(self._sequence),
        )
        now_us = self._clock_ns() // _NS_PER_US
        self._events.append(
            TimeLineEvent(
                id=event_id,
                earliest_us=now_us - self._clock_error_us,
                latest_us=now_us + self._clock_error_us,
                kind=kind,
                subject=subject,
                cause=cause,
                detail=detail,
            )
        )
        return event_id

    def since(self, sequence: int = 0) -> tuple[TimeLineEvent, ...]:
        """Return the kept events from a sequence number on, in order.

        Args:
            sequence: First sequence number wanted.
        """
        kept = [event for event in self._copy() if event.id.sequence >= sequence]
        # Two threads may append in another order than they took their numbers.
        kept.sort(key=lambda event: event.id.sequence)
        return tuple(kept)

    def _copy(self) -> tuple[TimeLineEvent, ...]:
        while True:
            try:
                return tuple(self._events)
            except RuntimeError:
                # Another thread appended during the copy.
                continue


def encode_event(event: TimeLineEvent) -> dict[str, Any]:
    """Return an event as a plain dictionary that JSON and msgpack can carry."""
    return cattrs.unstructure(event)


def decode_event(value: dict[str, Any]) -> TimeLineEvent:
    """Return the event that `encode_event` encoded.

    Args:
        value: Output of `encode_event`, possibly from another process.

    Returns:
        The event.

    Raises:
        cattrs.BaseValidationError: If a field is missing or of a wrong type.
    """
    return cattrs.structure(value, TimeLineEvent)
