"""Watcher that forwards one engine's load reports and cache events."""

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
"""Increase of the read interval for each watched engine."""

MAX_INTERVAL_S = 2.0
EVENTS_WAIT_MS = 1000
"""Maximum time that one long poll for cache events waits."""

LOST_AFTER_FAILURES = 2
"""Consecutive failed load reads after which an endpoint counts as lost."""

EVENTS_RETRY_DELAY_S = 0.2


def read_interval_s(engines: int) -> float:
    """Return the interval at which one engine is read.

    The interval grows with the number of engines that a node watches, so that the
    total cost of reading them stays about constant.

    Args:
        engines: Number of engines that the node watches.
    """
    interval_s = max(MIN_INTERVAL_S, INTERVAL_PER_ENGINE_S * engines)
    return min(interval_s, MAX_INTERVAL_S)


class EngineWatcher:
    """Watches one engine with two threads, one for load and one for events.

    Args:
        client: Client used by these threads only.
        interval_s: Returns the minimum interval between two reads of the same kind.
        dispatcher: Receives the load reports and cache events.
        time_line: Records when the endpoint is lost and found again.
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
        self._is_lost = True
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
        self._record_lost(False)
        self._dispatcher.tell(
            Dispatcher.LoadReportReceived(
                endpoint_id=self._client.endpoint_id, report=report.ok_value
            )
        )

    def _count_load_failure(self) -> None:
        self._load_failures += 1
        if self._load_failures < LOST_AFTER_FAILURES:
            return
        self._record_lost(True)
        self._dispatcher.tell(
            Dispatcher.EndpointLost(endpoint_id=self._client.endpoint_id)
        )

    def _record_lost(self, is_lost: bool) -> None:
        if is_lost == self._is_lost:
            return
        self._is_lost = is_lost
        self._time_line.record(
            kind="endpoint_lost" if is_lost else "endpoint_found",
            subject=self._client.endpoint_id,
        )

    def _watch_load(self) -> None:
        while not self._stopped.is_set():
            self._read_load()
            self._stopped.wait(self._interval_s())

    def _watch_events(self) -> None:
        after = -1
        while not self._stopped.is_set():
            started_s = time.monotonic()
            after = self._read_events_once(after)
            due_s = started_s + self._interval_s()
            self._stopped.wait(max(0.0, due_s - time.monotonic()))

    def _read_events_once(self, after: int) -> int:
        page = self._client.cache_events(after=after, wait_ms=EVENTS_WAIT_MS)
        if page.is_err():
            self._stopped.wait(EVENTS_RETRY_DELAY_S)
            return after
        events = page.ok_value
        needs_snapshot = self._dispatcher.ask(
            Dispatcher.CacheEventsReceived(
                endpoint_id=self._client.endpoint_id, events=events
            )
        )
        if not needs_snapshot:
            return events.next_seq - 1
        return self._read_snapshot(events.next_seq - 1)

    def _read_snapshot(self, after: int) -> int:
        snapshot = self._client.cache_snapshot()
        if snapshot.is_err():
            self._stopped.wait(EVENTS_RETRY_DELAY_S)
            return after
        self._dispatcher.tell(
            Dispatcher.CacheSnapshotReceived(
                endpoint_id=self._client.endpoint_id, snapshot=snapshot.ok_value
            )
        )
        return snapshot.ok_value.next_seq - 1
