"""Numbers with which the streams of each route begin."""

from __future__ import annotations

import threading
from collections import Counter, defaultdict

import attrs

__all__ = ["StreamStart", "StreamStarts"]

MIN_REPLICAS = 2
"""Replicas that must agree before their number counts for others. A faulty replica can
spoil the number of one stream, and must not make those of others look wrong."""

MIN_STREAMS = 2
"""Streams of one replica that must agree before their number counts for its own."""

MAX_REPLICAS = 256
"""Limit on the replicas that are remembered for a route; the oldest are dropped."""


@attrs.frozen(kw_only=True)
class StreamStart:
    """How the streams of a route begin."""

    number: int | None
    """Number of the first event, None if events have no numbers."""


@attrs.define(kw_only=True)
class _Votes:
    start: StreamStart
    streams: int = 1


class StreamStarts:
    """Learns how streams begin from those whose later events confirm it; safe for threads.

    The protocol fixes no number for the first event.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._votes_by_route: dict[str, dict[str, _Votes]] = defaultdict(dict)

    def record(self, route: str, replica: str, start: StreamStart) -> None:
        """Record how a stream began that has gone on consistently.

        Args:
            route: Name of the route.
            replica: Incarnation of the replica.
            start: How it began.
        """
        with self._lock:
            votes_by_replica = self._votes_by_route[route]
            votes = votes_by_replica.get(replica)
            if votes is not None and votes.start == start:
                votes.streams += 1
                return
            while len(votes_by_replica) >= MAX_REPLICAS:
                del votes_by_replica[next(iter(votes_by_replica))]
            votes_by_replica[replica] = _Votes(start=start)

    def expected(self, route: str, replica: str) -> StreamStart | None:
        """Return how a stream begins, None while that is not known.

        Args:
            route: Name of the route.
            replica: Incarnation of the replica that sends it.
        """
        with self._lock:
            votes_by_replica = self._votes_by_route.get(route)
            if not votes_by_replica:
                return None
            counts = Counter(votes.start for votes in votes_by_replica.values())
            own = votes_by_replica.get(replica)
        start, count = counts.most_common(1)[0]
        if count >= MIN_REPLICAS and 2 * count > counts.total():
            return start
        if own is not None and own.streams >= MIN_STREAMS:
            return own.start
        return None
