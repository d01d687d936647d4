"""Compares ways to order events of several nodes on one recorded run.

Seven threads, each a node with a skewed clock, exchange UDP datagrams on loopback
and record events; a shared counter tells the true order. The record is then
ordered in each way, and pairs of events of different nodes are counted. Run with
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
from crocuswick.time_line_merge import Order, merge_events

if TYPE_CHECKING:
    from collections.abc import Callable

NODES = 7
RUN_S = 3.0
EVENT_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 0.5
MESSAGE_PART = 0.3
CLOCK_ERROR_MS = 5.0
BROKEN_SKEW_MS = 20.0
SEED = 1

_NS_PER_MS = 1_000_000


@attrs.define(kw_only=True)
class Stamp:
    """Hybrid logical clock."""

    time_us: int = 0
    count: int = 0

    def advance(self, wall_us: int, seen: Stamp | None) -> Stamp:
        """Return the next stamp after the own one and one that was received."""
        seen = seen or Stamp()
        time_us = max(self.time_us, seen.time_us, wall_us)
        counts = [s.count for s in (self, seen) if s.time_us == time_us]
        self.time_us = time_us
        self.count = max(counts) + 1 if counts else 0
        return Stamp(time_us=self.time_us, count=self.count)


@attrs.frozen(kw_only=True)
class Recorded:
    """One event with all that the ways of ordering need."""

    place: int
    """True place in the run."""

    event: TimeLineEvent
    stamp: Stamp


@attrs.frozen(kw_only=True)
class Heartbeat:
    """A received heartbeat: all of the sender's events up to one came before."""

    sender: EventId
    receiver: EventId


@attrs.frozen(kw_only=True)
class Run:
    """A recorded run."""

    recorded: list[Recorded]
    heartbeats: list[Heartbeat]


@attrs.frozen(kw_only=True)
class Verdicts:
    """How a way of ordering fared, over all pairs of different nodes."""

    name: str
    pairs: int
    wrong: int
    open: int


class RecordingNode(threading.Thread):
    """A node that records events and sends some of them on."""

    def __init__(self, *, number: int, skew_ms: float, counter: itertools.count):
        super().__init__(daemon=True)
        self._random = random.Random(SEED * 100 + number)
        self._counter = counter
        self._skew_ns = round(skew_ms * _NS_PER_MS)
        self.node_id = f"n{number}"
        self.line = TimeLine(
            node_id=self.node_id,
            clock_error_ms=CLOCK_ERROR_MS,
            incarnation=1,
            clock_ns=lambda: time.time_ns() + self._skew_ns,
        )
        self._stamp = Stamp()
        self.recorded: list[Recorded] = []
        self.heartbeats: list[Heartbeat] = []
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.peers: list[tuple[str, int]] = []

    def run(self) -> None:
        """Record, send and receive until the time is over."""
        now_s = time.monotonic()
        until_s = now_s + RUN_S
        event_s = now_s + self._random.random() * EVENT_INTERVAL_S
        heartbeat_s = now_s + self._random.random() * HEARTBEAT_INTERVAL_S
        while now_s < until_s:
            if now_s >= event_s:
                self._act()
                event_s += EVENT_INTERVAL_S * self._random.uniform(0.5, 1.5)
            if now_s >= heartbeat_s:
                self._beat()
                heartbeat_s += HEARTBEAT_INTERVAL_S
            self._receive(max(0.0005, min(event_s, heartbeat_s) - now_s))
            now_s = time.monotonic()
        self.socket.close()

    def _act(self) -> None:
        event = self._record("work", cause=None, seen=None)
        if self._random.random() < MESSAGE_PART:
            peer = self._random.choice(self.peers)
            self._send("message", event.event.id, event.stamp, peer)

    def _beat(self) -> None:
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
                "taken", cause=sender, seen=Stamp(time_us=time_us, count=count)
            )
            return
        following = EventId(
            node_id=self.node_id, incarnation=1, sequence=len(self.recorded)
        )
        self.heartbeats.append(Heartbeat(sender=sender, receiver=following))

    def _record(
        self, kind: str, *, cause: EventId | None, seen: Stamp | None
    ) -> Recorded:
        place = next(self._counter)
        self.line.record(kind=kind, cause=cause)
        event = self.line.since(len(self.recorded))[0]
        stamp = self._stamp.advance(event.clock_us, seen)
        recorded = Recorded(place=place, event=event, stamp=stamp)
        self.recorded.append(recorded)
        return recorded


def record_run(*, broken: bool) -> Run:
    """Record a run.

    Args:
        broken: Whether one node's clock is off by more than the stated bound.
    """
    randomness = random.Random(SEED)
    counter = itertools.count()
    skews = [randomness.uniform(-CLOCK_ERROR_MS, CLOCK_ERROR_MS) for _ in range(NODES)]
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
        heartbeats=[beat for node in nodes for beat in node.heartbeats],
    )


def compare(run: Run) -> list[Verdicts]:
    """Order a run in each way and count pairs."""
    orders_by_name = {
        "plain timestamps": _by_timestamp,
        "hybrid logical clocks": _by_stamp,
        "accuracy intervals alone": _by_interval,
        "intervals and causes (merge)": _by_merge(run.recorded),
        "merge with heartbeats": _by_merge(_with_heartbeats(run)),
    }
    return [_count(run, name, order) for name, order in orders_by_name.items()]


def _count(
    run: Run, name: str, order: Callable[[Recorded, Recorded], Order]
) -> Verdicts:
    pairs = wrong = left_open = 0
    recorded = sorted(run.recorded, key=lambda item: item.place)
    for first, second in itertools.combinations(recorded, 2):
        if first.event.id.node_id == second.event.id.node_id:
            continue
        pairs += 1
        verdict = order(first, second)
        wrong += verdict is Order.AFTER
        left_open += verdict is Order.UNCERTAIN
    return Verdicts(name=name, pairs=pairs, wrong=wrong, open=left_open)


def _compare_values(first: object, second: object) -> Order:
    if first == second:
        return Order.UNCERTAIN
    return Order.BEFORE if first < second else Order.AFTER


def _by_timestamp(first: Recorded, second: Recorded) -> Order:
    return _compare_values(first.event.clock_us, second.event.clock_us)


def _by_stamp(first: Recorded, second: Recorded) -> Order:
    return _compare_values(
        (first.stamp.time_us, first.stamp.count),
        (second.stamp.time_us, second.stamp.count),
    )


def _by_interval(first: Recorded, second: Recorded) -> Order:
    if first.event.latest_us < second.event.earliest_us:
        return Order.BEFORE
    if second.event.latest_us < first.event.earliest_us:
        return Order.AFTER
    return Order.UNCERTAIN


def _by_merge(recorded: list[Recorded]) -> Callable[[Recorded, Recorded], Order]:
    time_line = merge_events(item.event for item in recorded)
    merged_by_id = {merged.id: merged for merged in time_line.events}
    return lambda first, second: time_line.order(
        merged_by_id[first.event.id], merged_by_id[second.event.id]
    )


def _with_heartbeats(run: Run) -> list[Recorded]:
    """Return the run with each heartbeat as cause of the receiver's next event."""
    cause_by_id: dict[EventId, EventId] = {}
    for beat in run.heartbeats:
        cause_by_id[beat.receiver] = beat.sender
    return [
        item
        if item.event.cause or item.event.id not in cause_by_id
        else attrs.evolve(
            item, event=attrs.evolve(item.event, cause=cause_by_id[item.event.id])
        )
        for item in run.recorded
    ]


def main() -> None:
    """Record two runs and print the counts."""
    for broken in (False, True):
        run = record_run(broken=broken)
        clocks = f"one clock off by {BROKEN_SKEW_MS} ms" if broken else "within bound"
        print(f"{len(run.recorded)} events, {NODES} nodes, clocks {clocks}")
        for verdicts in compare(run):
            print(
                f"  {verdicts.name:<30} pairs {verdicts.pairs} "
                f"wrong {verdicts.wrong} open {verdicts.open}"
            )
        broken_clocks = merge_events(i.event for i in run.recorded).broken_clocks
        named = sorted({b.cause.node_id for b in broken_clocks})
        print(f"  contradictions named: {len(broken_clocks)}, causes at {named}")


if __name__ == "__main__":
    main()
