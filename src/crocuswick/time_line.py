"""Bounded record of a node's state changes.

Each event has a sequence number of its process, the interval of real time in which it
happened, and the event that caused it, if known. Accuracy intervals follow
C. Liebig, M. Cilia and A. Buchmann, "Event Composition in Time-dependent Distributed
Systems", section III.
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
"""Maximum number of events that a node keeps."""

DEFAULT_CLOCK_ERROR_MS = 50.0
"""Assumed upper bound of the wall clock's error."""

_NS_PER_US = 1_000
_US_PER_MS = 1_000


@attrs.frozen(kw_only=True, order=True)
class EventId:
    """Id of an event, unique across all nodes and their restarts."""

    node_id: str
    """Node that recorded the event."""

    incarnation: int
    """Incarnation of the node's process, higher after each restart."""

    sequence: int
    """Sequence number within that process, from 0."""

    def __str__(self) -> str:
        return f"{self.node_id}/{self.incarnation}/{self.sequence}"


@attrs.frozen(kw_only=True)
class TimeLineEvent:
    """A recorded change of state."""

    id: EventId
    """Id of the event."""

    earliest_us: int
    """Earliest real time at which it may have happened, in µs since the epoch."""

    latest_us: int
    """Latest real time at which it may have happened, in µs since the epoch."""

    kind: str
    """What happened, for instance ``"endpoint_left"``."""

    subject: str = ""
    """Id of the affected object, for instance an endpoint or a request."""

    cause: EventId | None = None
    """Event on any node that caused this one, None if unknown."""

    detail: str = ""
    """Further human-readable description."""

    @property
    def clock_us(self) -> int:
        """Reading of the node's wall clock, in µs since the epoch."""
        return (self.earliest_us + self.latest_us) // 2


class TimeLine:
    """Ring buffer of a node's latest events; any thread may record and read.

    No lock is needed: in CPython, incrementing the counter and appending to the deque
    are each atomic.
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
            node_id: Id of the recording node.
            capacity: Maximum number of events kept; the oldest are dropped first.
            clock_error_ms: Upper bound of the wall clock's error.
            incarnation: Incarnation of the process, or None to use the current time
                in µs.
            clock_ns: Returns the wall-clock time, in ns since the epoch.
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
            subject: Id of the affected object.
            cause: Event that caused this one, if known.
            detail: Further human-readable description.

        Returns:
            The event's id, to be passed as the cause of later events.
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
        """Return the kept events from a sequence number on, in sequence order.

        Args:
            sequence: First sequence number to return.
        """
        kept = [event for event in self._copy_events() if event.id.sequence >= sequence]
        # Two threads may append in a different order than they took their numbers.
        kept.sort(key=lambda event: event.id.sequence)
        return tuple(kept)

    def _copy_events(self) -> tuple[TimeLineEvent, ...]:
        while True:
            try:
                return tuple(self._events)
            except RuntimeError:
                # Another thread appended while the deque was copied.
                continue


def encode_event(event: TimeLineEvent) -> dict[str, Any]:
    """Return an event as a plain dictionary for JSON or msgpack."""
    return cattrs.unstructure(event)


def decode_event(value: dict[str, Any]) -> TimeLineEvent:
    """Return the event encoded by `encode_event`.

    Args:
        value: Output of `encode_event`, possibly from another process.

    Returns:
        The event.

    Raises:
        cattrs.BaseValidationError: If a field is missing or has the wrong type.
    """
    return cattrs.structure(value, TimeLineEvent)
