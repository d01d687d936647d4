"""Reads one engine's load reports and cache events and posts them."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from crocuswick.actor import Ticker
from crocuswick.dispatcher import Dispatcher

if TYPE_CHECKING:
    import pykka

    from crocuswick.endpoints.engine_client import EngineClient
    from crocuswick.time_line import TimeLine

__all__ = ["EngineWatcher"]

LOAD_INTERVAL_S = 0.2
EVENTS_WAIT_MS = 1000
FAILURES_TO_LOST = 2
EVENTS_BACKOFF_S = 0.2


class EngineWatcher:
    """Watches one engine with two threads, one for load and one for events.

    Args:
        client: Client used by these threads only.
        dispatcher: Receives what is read.
        time_line: Where an endpoint's loss and return are recorded.
    """

    def __init__(
        self,
        *,
        client: EngineClient,
        dispatcher: pykka.ActorRef,
        time_line: TimeLine,
    ):
        self._client = client
        self._dispatcher = dispatcher
        self._time_line = time_line
        self._load_failures = 0
        self._lost = True
        self._stopped = threading.Event()
        self._ticker = Ticker(
            name=f"load-{client.endpoint_id}",
            interval_s=LOAD_INTERVAL_S,
            call=self._read_load,
        )
        self._events_thread = threading.Thread(
            target=self._read_events, name=f"events-{client.endpoint_id}", daemon=True
        )

    def start(self) -> None:
        """Start reading."""
        self._events_thread.start()

    def stop(self) -> None:
        """Stop reading."""
        self._stopped.set()
        self._ticker.stop()

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

    def _read_events(self) -> None:
        self._read_load()
        self._ticker.start()
        after = -1
        while not self._stopped.is_set():
            after = self._read_events_once(after)

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
