"""Learns at a node's start what engines and stores hold in their caches."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from crocuswick.relay import dispatcher_messages

if TYPE_CHECKING:
    from collections.abc import Iterable

    import pykka

    from crocuswick.decision_log import DecisionLog
    from crocuswick.relay.kv_events import KvEvent, KvEvents
    from crocuswick.relay.replica import Replica
    from crocuswick.relay.serving import KvStore

__all__ = ["KvWarmUp"]

WARM_UP_S = 4.0
"""Time after the start in which caches are read; what comes later starts empty."""

WORKERS = 8
"""Caches read at once; each call takes some tens of milliseconds."""


class KvWarmUp:
    """Reads the newest events of each cache once.

    A node that has just started knows nothing of what was computed before: without
    this it would have parts computed again that engines still hold.

    Args:
        events: Reads events.
        dispatcher: Who is told of them.
        log: Log of decisions.
    """

    def __init__(
        self, *, events: KvEvents, dispatcher: pykka.ActorRef, log: DecisionLog
    ):
        self._events = events
        self._dispatcher = dispatcher
        self._log = log
        self._deadline_s = time.monotonic() + WARM_UP_S
        self._is_configured = False
        self._early_engines_by_incarnation: dict[str, Replica] = {}
        self._seen: set[str] = set()
        self._workers = ThreadPoolExecutor(WORKERS, thread_name_prefix="kv-warm-up")

    def start(self) -> None:
        """Do nothing: reading begins with the first engine that is seen."""

    def stop(self) -> None:
        """Read no more."""
        self._workers.shutdown(wait=False, cancel_futures=True)

    def use_stores(self, stores: Iterable[KvStore]) -> None:
        """Read the stores of a configuration, and the engines seen before it."""
        for store in stores:
            if self._is_new(store.address):
                self._workers.submit(self._read_store, store)
        self._is_configured = True
        for replica in self._early_engines_by_incarnation.values():
            self.see_engine(replica)
        self._early_engines_by_incarnation.clear()

    def see_engine(self, replica: Replica) -> None:
        """Read an engine's cache, if the node has just started."""
        if not self._is_configured:
            # The configuration tells the size of its cache.
            self._early_engines_by_incarnation[replica.incarnation] = replica
        elif self._is_new(replica.incarnation):
            self._workers.submit(self._read_engine, replica)

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
        """Return the events of a cache, none where they can't be read."""
        read = self._events.newest(name, address)
        if read.is_err():
            self._log.record_state("cache not read", error=str(read.err_value))
            return ()
        events = tuple(read.ok_value)
        self._log.record_state("cache read", cache=name, events=len(events))
        return events
