"""Reads one engine's load reports and cache events and posts them."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from crocuswick.dispatcher import Dispatcher

if TYPE_CHECKING:
    from collections.abc import Callable

    import pykka

    from crocuswick.endpoints.engine_client import EngineClient
    from crocuswick.time_line import TimeLine

__all__ = ["EngineWatcher", "read_interval_s"]

MIN_INTERVAL_S = 0.2
INTERVAL_PER_ENGINE_S = 0.06
MAX_INTERVAL_S = 2.0
EVENTS_WAIT_MS = 1000
FAILURES_TO_LOST = 2
EVENTS_BACKOFF_S = 0.2


def read_interval_s(engines: int) -> float:
    """Return the time between two reads of one engine.

    It grows with the engines that a node watches, so that reading them costs the
    node about the same however many there are.

    Args:
        engines: Number of engines that the node watches.
    """
    interval_s = max(MIN_INTERVAL_S, INTERVAL_PER_ENGINE_S * engines)
    return min(interval_s, MAX_INTERVAL_S)


class EngineWatcher:
    """Watches one engine with two threads, one for load and one for events.

    Args:
        client: Client used by these threads only.
        interval_s: Returns the least time between two reads of the same kind.
        dispatcher: Receives what is read.
        time_line: Where an endpoint's loss and return are recorded.
    """

    def __init__(
        self,
        *,
        client: EngineClient,
        interval_s: Callable[[], float],
        dispatcher: pykka.ActorRef,
        time_line: TimeLine,
    ):
        self._client = client
        self._interval_s = interval_s
        self._dispatcher = dispatcher
        self._time_line = time_line
        self._load_failures = 0
        self._lost = True
        self._stopped = threading.Event()
        self._load_thread = threading.Thread(
            target=self._watch_load, name=f"load-{client.endpoint_id}", daemon=True
        )
        self._events_thread = threading.Thread(
            target=self._watch_events, name=f"events-{client.endpoint_id}", daemon=True
        )

    def start(self) -> None:
        """Start reading."""
        self._load_thread.start()
        self._events_thread.start()

    def stop(self) -> None:
        """Stop reading."""
        self._stopped.set()

    def _read_load(self) -> None:
        report = self._client.load()
        if report.is_err():
            self._count_load_failure()
            return
        self._load_failures = 0
        self._note_lost(False)
        self._dispatcher.tell(
            Dispatcher.LoadSeen(
                endpoint_id=self._client.endpoint_id, report=report.ok_value
            )
        )

    def _count_load_failure(self) -> None:
        self._load_failures += 1
        if self._load_failures < FAILURES_TO_LOST:
            return
        self._note_lost(True)
        self._dispatcher.tell(
            Dispatcher.EndpointLost(endpoint_id=self._client.endpoint_id)
        )

    def _note_lost(self, lost: bool) -> None:
        if lost == self._lost:
            return
        self._lost = lost
        self._time_line.record(
            kind="endpoint_lost" if lost else "endpoint_found",
            subject=self._client.endpoint_id,
        )

    def _watch_load(self) -> None:
        while not self._stopped.is_set():
            self._read_load()
            self._stopped.wait(self._interval_s())

    def _watch_events(self) -> None:
        after = -1
        while not self._stopped.is_set():
            began_s = time.monotonic()
            after = self._read_events_once(after)
            due_s = began_s + self._interval_s()
            self._stopped.wait(max(0.0, due_s - time.monotonic()))

    def _read_events_once(self, after: int) -> int:
        page = self._client.cache_events(after=after, wait_ms=EVENTS_WAIT_MS)
        if page.is_err():
            self._stopped.wait(EVENTS_BACKOFF_S)
            return after
        events = page.ok_value
        doubtful = self._dispatcher.ask(
            Dispatcher.CacheEventsSeen(
                endpoint_id=self._client.endpoint_id, events=events
            )
        )
        if not doubtful:
            return events.next_seq - 1
        return self._read_snapshot(events.next_seq - 1)

    def _read_snapshot(self, after: int) -> int:
        snapshot = self._client.cache_snapshot()
        if snapshot.is_err():
            self._stopped.wait(EVENTS_BACKOFF_S)
            return after
        self._dispatcher.tell(
            Dispatcher.CacheSnapshotSeen(
                endpoint_id=self._client.endpoint_id, snapshot=snapshot.ok_value
            )
        )
        return snapshot.ok_value.next_seq - 1
