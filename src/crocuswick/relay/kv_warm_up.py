"""Initial reading of the caches of engines and stores when a node starts."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

from crocuswick.relay import dispatcher_messages

if TYPE_CHECKING:
    from collections.abc import Callable

    import pykka

    from crocuswick.decision_log import DecisionLog
    from crocuswick.elastic_threads import ElasticThreads
    from crocuswick.relay.kv_events import KvEvent, KvEventReader
    from crocuswick.relay.replica import Replica
    from crocuswick.relay.serving import KvStore, ServingConfiguration

__all__ = ["KvWarmUp", "concurrent_reads"]

WARM_UP_S = 4.0
"""Time after the node's start within which caches are read; engines that appear later
have just started with an empty cache."""

MAX_READERS = 8
"""Caches that a node reads at once in any case."""


def concurrent_reads(*, caches: int, max_event_reads: int, nodes: int) -> int:
    """Return how many caches a node may read at once if all nodes start together.

    Args:
        caches: Number of caches.
        max_event_reads: Reads that one cache holds at once; it rejects further ones.
        nodes: Number of nodes.
    """
    return max(1, min(MAX_READERS, caches * max_event_reads // nodes))


class KvWarmUp:
    """Reads the newest events of each cache once, in random order.

    A node that has just started doesn't know which segments are cached. Without the
    warm-up it would have segments recomputed that engines still hold.

    Args:
        events: Reader of cache events.
        dispatcher: Actor that receives the events.
        threads: Threads on which the caches are read; a read takes some tenths of a
            second.
        node_count: Returns the number of known nodes, which may read at the same time.
        log: Decision log.
    """

    def __init__(
        self,
        *,
        events: KvEventReader,
        dispatcher: pykka.ActorRef,
        threads: ElasticThreads,
        node_count: Callable[[], int],
        log: DecisionLog,
    ):
        self._events = events
        self._dispatcher = dispatcher
        self._log = log
        self._deadline_s = time.monotonic() + WARM_UP_S
        self._node_count = node_count
        self._max_event_reads = 0
        self._seen: set[str] = set()
        self._pending: list[tuple[Callable, KvStore | Replica]] = []
        self._readers = 0
        self._lock = threading.Lock()
        self._threads = threads

    def configure(self, configuration: ServingConfiguration) -> None:
        """Read the caches of the stores and of the engines added earlier.

        The capacity of an engine's cache is part of the configuration.
        """
        engines = [
            service.engine
            for service in configuration.services_by_name.values()
            if service.engine is not None
        ]
        with self._lock:
            self._max_event_reads = min(
                (engine.max_event_reads for engine in engines), default=1
            )
            for store in configuration.kv_stores:
                if self._is_new(store.address):
                    self._pending.append((self._read_store, store))
            self._start_readers()

    def add_engine(self, replica: Replica) -> None:
        """Read the cache of an engine during the warm-up."""
        with self._lock:
            if self._is_new(replica.incarnation):
                self._pending.append((self._read_engine, replica))
                self._start_readers()

    def _start_readers(self) -> None:
        if not self._max_event_reads:
            return
        wanted = concurrent_reads(
            caches=len(self._seen),
            max_event_reads=self._max_event_reads,
            nodes=self._node_count(),
        )
        while self._readers < min(wanted, len(self._pending)):
            self._readers += 1
            self._threads.submit(self._read_pending)

    def _read_pending(self) -> None:
        while True:
            with self._lock:
                if not self._pending:
                    self._readers -= 1
                    return
                # Nodes that start together would all read the same cache first.
                index = random.randrange(len(self._pending))
                read, cache = self._pending.pop(index)
            read(cache)

    def _is_new(self, key: str) -> bool:
        if time.monotonic() > self._deadline_s or key in self._seen:
            return False
        self._seen.add(key)
        return True

    def _read_engine(self, replica: Replica) -> None:
        events = self._read(replica.id, replica.address)
        if events:
            self._dispatcher.tell(
                dispatcher_messages.CacheRead(
                    incarnation=replica.incarnation, events=events
                )
            )

    def _read_store(self, store: KvStore) -> None:
        events = self._read(store.name, store.address)
        if events:
            self._dispatcher.tell(dispatcher_messages.StoreRead(events=events))

    def _read(self, name: str, address: str) -> tuple[KvEvent, ...]:
        """Return the events of a cache, or none if it can't be read."""
        read = self._events.read_newest(name, address)
        if read.is_err():
            self._log.record_state("cache not read", error=str(read.err_value))
            return ()
        events = tuple(read.ok_value)
        self._log.record_state("cache read", cache=name, events=len(events))
        return events
