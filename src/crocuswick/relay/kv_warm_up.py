"""Initial reading of the caches of engines and stores when a node starts."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from crocuswick.relay import dispatcher_messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    import pykka

    from crocuswick.decision_log import DecisionLog
    from crocuswick.elastic_threads import ElasticThreads
    from crocuswick.relay.kv_events import KvEvent, KvEventReader
    from crocuswick.relay.replica import Replica
    from crocuswick.relay.serving import KvStore

__all__ = ["KvWarmUp"]

WARM_UP_S = 4.0
"""Time after the node's start within which caches are read; engines that appear later
have just started with an empty cache."""


class KvWarmUp:
    """Reads the newest events of each cache once.

    A node that has just started doesn't know which segments are cached. Without the
    warm-up it would have segments recomputed that engines still hold.

    Args:
        events: Reader of cache events.
        dispatcher: Actor that receives the events.
        threads: Threads on which the caches are read; each read takes some tens of
            milliseconds.
        log: Decision log.
    """

    def __init__(
        self,
        *,
        events: KvEventReader,
        dispatcher: pykka.ActorRef,
        threads: ElasticThreads,
        log: DecisionLog,
    ):
        self._events = events
        self._dispatcher = dispatcher
        self._log = log
        self._deadline_s = time.monotonic() + WARM_UP_S
        self._is_configured = False
        self._early_engines_by_incarnation: dict[str, Replica] = {}
        self._seen: set[str] = set()
        self._threads = threads

    def set_stores(self, stores: Iterable[KvStore]) -> None:
        """Read the caches of the stores and of the engines added earlier."""
        for store in stores:
            if self._is_new(store.address):
                self._threads.submit(self._read_store, store)
        self._is_configured = True
        for replica in self._early_engines_by_incarnation.values():
            self.add_engine(replica)
        self._early_engines_by_incarnation.clear()

    def add_engine(self, replica: Replica) -> None:
        """Read the cache of an engine during the warm-up."""
        if not self._is_configured:
            # The capacity of its cache is part of the configuration.
            self._early_engines_by_incarnation[replica.incarnation] = replica
        elif self._is_new(replica.incarnation):
            self._threads.submit(self._read_engine, replica)

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
