"""Recent answer times, from which a draining node tells what it can still answer."""

from __future__ import annotations

import math
import threading
import time
from collections import defaultdict, deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["AnswerTimes", "with_margin"]

MAX_SAMPLES = 256
"""Samples of each kind that are kept for a service; the oldest are dropped."""

MAX_AGE_S = 60.0
"""Age from which a sample says nothing about the present load."""

MARGIN_FACTOR = 1.25
MARGIN_S = 0.1
"""With `MARGIN_FACTOR`, the excess over the slowest recent answer that is allowed for."""

PACE_MARGIN_FACTOR = 1.1
"""Excess over the slowest recent pace of a replica that is allowed for."""

SLOWDOWN_FACTOR = 2.0
"""Factor by which a replica may slow down while it sends a stream: it fills up with other
requests, and computes their prompts between the events."""


@attrs.frozen(kw_only=True)
class _Sample:
    taken_s: float
    duration_s: float
    replica: str


class AnswerTimes:
    """Times that the replicas of each service have lately taken.

    The durations that it expects are those of the slowest recent answers with a margin,
    None while there are no recent ones. Streams are judged by the pace of one replica.

    Args:
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._answers_by_service = _samples_by_service()
        self._first_events_by_service = _samples_by_service()
        self._gaps_by_service = _samples_by_service()
        self._tried_replicas: set[str] = set()
        self._trial_lock = threading.Lock()

    def record_answer(self, service: str, duration_s: float) -> None:
        """Record the time from sending a request to the end of its answer."""
        self._record(self._answers_by_service, service, duration_s)

    def record_first_event(self, service: str, duration_s: float) -> None:
        """Record the time from sending a request to the first event of its stream."""
        self._record(self._first_events_by_service, service, duration_s)

    def record_pace(self, service: str, replica: str, gap_s: float) -> None:
        """Record the mean time between the events of a stream.

        Args:
            service: Name of the service.
            replica: Incarnation of the replica.
            gap_s: Seconds for each event.
        """
        self._record(self._gaps_by_service, service, gap_s, replica)

    def try_replica(self, replica: str) -> bool:
        """Take the only trial of a replica whose answer times are unknown.

        Args:
            replica: Incarnation of the replica.

        Returns:
            Whether the trial was still free.
        """
        with self._trial_lock:
            is_free = replica not in self._tried_replicas
            self._tried_replicas.add(replica)
            return is_free

    def answer_s(self, service: str) -> float | None:
        """Return the seconds that an answer of a service may take."""
        longest_s = _longest_s(self._recent(self._answers_by_service, service))
        return None if longest_s is None else with_margin(longest_s)

    def stream_s(
        self,
        service: str,
        max_events: int,
        *,
        replica: str = "",
        first_event_s: float = 0.0,
        must_hold: bool = False,
        max_gap_s: float = math.inf,
    ) -> float | None:
        """Return the seconds that a stream of a service may take.

        Args:
            service: Name of the service.
            max_events: Events that are still to come at most.
            replica: Incarnation of the replica, empty before one is chosen. The fastest
                one counts then.
            first_event_s: Expected time to the first event, 0 if unknown.
            must_hold: Whether the stream must not take longer even if its replica slows
                down meanwhile.
            max_gap_s: Longest gap with which a stream is on time; a replica that slows
                down is expected to keep to it.
        """
        gaps_by_replica = self._gaps_by_replica(service)
        gap_s = (
            gaps_by_replica.get(replica)
            if replica
            else min(gaps_by_replica.values(), default=None)
        )
        begin_s = _longest_s(self._recent(self._first_events_by_service, service))
        if gap_s is None or begin_s is None:
            return None
        begin_s = max(begin_s, first_event_s)
        slowest_gap_s = PACE_MARGIN_FACTOR * gap_s
        if must_hold:
            slowest_gap_s = max(slowest_gap_s, min(SLOWDOWN_FACTOR * gap_s, max_gap_s))
        return with_margin(begin_s) + max_events * slowest_gap_s

    def slow_replicas(
        self, service: str, max_events: int, *, within_s: float
    ) -> tuple[str, ...]:
        """Return the incarnations that take longer than a time for a stream.

        Args:
            service: Name of the service.
            max_events: Events that are still to come at most.
            within_s: The time in seconds.
        """
        return tuple(
            replica
            for replica, gap_s in self._gaps_by_replica(service).items()
            if max_events * gap_s > within_s
        )

    def _gaps_by_replica(self, service: str) -> dict[str, float]:
        """Return the slowest recent pace of each replica, in seconds for an event."""
        gaps_by_replica: dict[str, float] = {}
        for each in self._recent(self._gaps_by_service, service):
            slowest_s = gaps_by_replica.get(each.replica, 0.0)
            gaps_by_replica[each.replica] = max(slowest_s, each.duration_s)
        return gaps_by_replica

    def _record(
        self,
        samples_by_service: dict[str, deque[_Sample]],
        service: str,
        duration_s: float,
        replica: str = "",
    ) -> None:
        samples_by_service[service].append(
            _Sample(taken_s=self._clock(), duration_s=duration_s, replica=replica)
        )

    def _recent(
        self, samples_by_service: dict[str, deque[_Sample]], service: str
    ) -> list[_Sample]:
        oldest_s = self._clock() - MAX_AGE_S
        # Other threads add samples meanwhile.
        samples = tuple(samples_by_service[service])
        return [each for each in samples if each.taken_s >= oldest_s]


def _samples_by_service() -> defaultdict[str, deque[_Sample]]:
    return defaultdict(lambda: deque(maxlen=MAX_SAMPLES))


def _longest_s(samples: Iterable[_Sample]) -> float | None:
    return max((each.duration_s for each in samples), default=None)


def with_margin(duration_s: float) -> float:
    """Return a duration with what answers of a loaded replica may take longer."""
    return MARGIN_FACTOR * duration_s + MARGIN_S
