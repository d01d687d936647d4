"""Compares methods of ordering the events of several nodes on a recorded run.

Seven threads, each a node with a skewed clock, exchange UDP datagrams on loopback
and record events. A shared counter gives the true order. Each method then orders
the recorded events, and the pairs of events of different nodes that it orders
wrongly or leaves undecided are counted. Run with
``python -m tests.time_line_comparison``.
"""

from __future__ import annotations

import itertools
import random
import socket
import threading
import time
from typing import TYPE_CHECKING

import attrs
import msgpack

from crocuswick.time_line import EventId, TimeLine, TimeLineEvent
from crocuswick.time_line_merge import EventOrder, merge_events

if TYPE_CHECKING:
    from collections.abc import Callable

NODES = 7
RUN_S = 3.0
EVENT_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 0.5
MESSAGE_PROBABILITY = 0.3
"""Probability that a node sends a message after an event."""

CLOCK_ERROR_MS = 5.0
"""Stated bound of the clock error."""

BROKEN_SKEW_MS = 20.0
"""Skew of a clock that is off by more than the bound."""

SEED = 1

_NS_PER_MS = 1_000_000


@attrs.define(kw_only=True)
class Stamp:
    """Timestamp of a hybrid logical clock."""

    time_us: int = 0
    count: int = 0

    def advance(self, wall_us: int, received: Stamp | None) -> Stamp:
        """Advance past a received timestamp and the wall clock; return a copy."""
        received = received or Stamp()
        time_us = max(self.time_us, received.time_us, wall_us)
        counts = [stamp.count for stamp in (self, received) if stamp.time_us == time_us]
        self.time_us = time_us
        self.count = max(counts) + 1 if counts else 0
        return Stamp(time_us=self.time_us, count=self.count)


@attrs.frozen(kw_only=True)
class RecordedEvent:
    """Event with all values that the ordering methods need."""

    position: int
    """Position in the true order of the run."""

    event: TimeLineEvent
    stamp: Stamp


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Received heartbeat, which orders two events.

    The sender's events up to ``sender`` happened before the event ``receiver``.
    """

    sender: EventId
    receiver: EventId


@attrs.frozen(kw_only=True)
class Run:
    """Events and heartbeats of a recorded run."""

    recorded: list[RecordedEvent]
    heartbeats: list[Heartbeat]


@attrs.frozen(kw_only=True)
class PairCounts:
    """Counts of an ordering method over all pairs of events of different nodes."""

    name: str
    pairs: int
    wrong: int
    undecided: int


class RecordingNode(threading.Thread):
    """Node that records events and sends messages and heartbeats to its peers."""

    def __init__(self, *, number: int, skew_ms: float, counter: itertools.count):
        super().__init__(daemon=True)
        self._random = random.Random(SEED * 100 + number)
        self._counter = counter
        self._skew_ns = round(skew_ms * _NS_PER_MS)
        self.node_id = f"n{number}"
        self.time_line = TimeLine(
            node_id=self.node_id,
            clock_error_ms=CLOCK_ERROR_MS,
            incarnation=1,
            clock_ns=lambda: time.time_ns() + self._skew_ns,
        )
        self._stamp = Stamp()
        self.recorded: list[RecordedEvent] = []
        self.heartbeats: list[Heartbeat] = []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.peers: list[tuple[str, int]] = []

    def run(self) -> None:
        """Record, send and receive events until the end of the run."""
        now_s = time.monotonic()
        end_s = now_s + RUN_S
        next_event_s = now_s + self._random.random() * EVENT_INTERVAL_S
        next_heartbeat_s = now_s + self._random.random() * HEARTBEAT_INTERVAL_S
        while now_s < end_s:
            if now_s >= next_event_s:
                self._record_work()
                next_event_s += EVENT_INTERVAL_S * self._random.uniform(0.5, 1.5)
            if now_s >= next_heartbeat_s:
                self._send_heartbeat()
                next_heartbeat_s += HEARTBEAT_INTERVAL_S
            self._receive(max(0.0005, min(next_event_s, next_heartbeat_s) - now_s))
            now_s = time.monotonic()
        self.socket.close()

    def _record_work(self) -> None:
        recorded = self._record("work", cause=None, received=None)
        if self._random.random() < MESSAGE_PROBABILITY:
            peer = self._random.choice(self.peers)
            self._send("message", recorded.event.id, recorded.stamp, peer)

    def _send_heartbeat(self) -> None:
        if self.recorded:
            for peer in self.peers:
                self._send("beat", self.recorded[-1].event.id, Stamp(), peer)

    def _send(
        self, kind: str, event_id: EventId, stamp: Stamp, peer: tuple[str, int]
    ) -> None:
        body = [kind, event_id.node_id, event_id.sequence, stamp.time_us, stamp.count]
        self.socket.sendto(msgpack.packb(body), peer)

    def _receive(self, timeout_s: float) -> None:
        self.socket.settimeout(timeout_s)
        try:
            data = self.socket.recv(2048)
        except TimeoutError:
            return
        kind, node_id, sequence, time_us, count = msgpack.unpackb(data)
        sender = EventId(node_id=node_id, incarnation=1, sequence=sequence)
        if kind == "message":
            self._record(
                "taken", cause=sender, received=Stamp(time_us=time_us, count=count)
            )
            return
        next_event_id = EventId(
            node_id=self.node_id, incarnation=1, sequence=len(self.recorded)
        )
        self.heartbeats.append(Heartbeat(sender=sender, receiver=next_event_id))

    def _record(
        self, kind: str, *, cause: EventId | None, received: Stamp | None
    ) -> RecordedEvent:
        position = next(self._counter)
        self.time_line.record(kind=kind, cause=cause)
        event = self.time_line.since(len(self.recorded))[0]
        stamp = self._stamp.advance(event.clock_us, received)
        recorded = RecordedEvent(position=position, event=event, stamp=stamp)
        self.recorded.append(recorded)
        return recorded


def record_run(*, broken: bool) -> Run:
    """Record a run.

    Args:
        broken: Whether one node's clock error exceeds the stated bound.
    """
    generator = random.Random(SEED)
    counter = itertools.count()
    skews = [generator.uniform(-CLOCK_ERROR_MS, CLOCK_ERROR_MS) for _ in range(NODES)]
    if broken:
        skews[0] = BROKEN_SKEW_MS
    nodes = [
        RecordingNode(number=number, skew_ms=skew, counter=counter)
        for number, skew in enumerate(skews)
    ]
    addresses = [node.socket.getsockname() for node in nodes]
    for node in nodes:
        own = node.socket.getsockname()
        node.peers = [address for address in addresses if address != own]
    for node in nodes:
        node.start()
    for node in nodes:
        node.join()
    return Run(
        recorded=[item for node in nodes for item in node.recorded],
        heartbeats=[heartbeat for node in nodes for heartbeat in node.heartbeats],
    )


def compare(run: Run) -> list[PairCounts]:
    """Order a run by each method and count its pairs."""
    orders_by_name = {
        "plain timestamps": _by_timestamp,
        "hybrid logical clocks": _by_stamp,
        "accuracy intervals alone": _by_interval,
        "intervals and causes (merge)": _by_merge(run.recorded),
        "merge with heartbeats": _by_merge(_with_heartbeats(run)),
    }
    return [_count(run, name, order) for name, order in orders_by_name.items()]


def _count(
    run: Run, name: str, order: Callable[[RecordedEvent, RecordedEvent], EventOrder]
) -> PairCounts:
    pairs = wrong = undecided = 0
    recorded = sorted(run.recorded, key=lambda item: item.position)
    for first, second in itertools.combinations(recorded, 2):
        if first.event.id.node_id == second.event.id.node_id:
            continue
        pairs += 1
        result = order(first, second)
        wrong += result is EventOrder.AFTER
        undecided += result is EventOrder.UNCERTAIN
    return PairCounts(name=name, pairs=pairs, wrong=wrong, undecided=undecided)


def _compare_values(first: object, second: object) -> EventOrder:
    if first == second:
        return EventOrder.UNCERTAIN
    return EventOrder.BEFORE if first < second else EventOrder.AFTER


def _by_timestamp(first: RecordedEvent, second: RecordedEvent) -> EventOrder:
    return _compare_values(first.event.clock_us, second.event.clock_us)


def _by_stamp(first: RecordedEvent, second: RecordedEvent) -> EventOrder:
    return _compare_values(
        (first.stamp.time_us, first.stamp.count),
        (second.stamp.time_us, second.stamp.count),
    )


def _by_interval(first: RecordedEvent, second: RecordedEvent) -> EventOrder:
    if first.event.latest_us < second.event.earliest_us:
        return EventOrder.BEFORE
    if second.event.latest_us < first.event.earliest_us:
        return EventOrder.AFTER
    return EventOrder.UNCERTAIN


def _by_merge(
    recorded: list[RecordedEvent],
) -> Callable[[RecordedEvent, RecordedEvent], EventOrder]:
    time_line = merge_events(item.event for item in recorded)
    merged_by_id = {merged.id: merged for merged in time_line.events}
    return lambda first, second: time_line.order(
        merged_by_id[first.event.id], merged_by_id[second.event.id]
    )


def _with_heartbeats(run: Run) -> list[RecordedEvent]:
    """Return the events, with heartbeats as causes of the receivers' next events."""
    cause_by_id: dict[EventId, EventId] = {}
    for heartbeat in run.heartbeats:
        cause_by_id[heartbeat.receiver] = heartbeat.sender
    return [
        item
        if item.event.cause or item.event.id not in cause_by_id
        else attrs.evolve(
            item, event=attrs.evolve(item.event, cause=cause_by_id[item.event.id])
        )
        for item in run.recorded
    ]


def main() -> None:
    """Record a run without and one with a broken clock, and print the counts."""
    for broken in (False, True):
        run = record_run(broken=broken)
        clocks = f"one off by {BROKEN_SKEW_MS} ms" if broken else "within the bound"
        print(f"{len(run.recorded)} events, {NODES} nodes, clocks: {clocks}")
        for counts in compare(run):
            print(
                f"  {counts.name:<30} pairs {counts.pairs} "
                f"wrong {counts.wrong} undecided {counts.undecided}"
            )
        broken_clocks = merge_events(item.event for item in run.recorded).broken_clocks
        cause_nodes = sorted({clock.cause.node_id for clock in broken_clocks})
        print(f"  contradictions found: {len(broken_clocks)}, causes at {cause_nodes}")


if __name__ == "__main__":
    main()
