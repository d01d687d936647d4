"""Reads one keyed topic of the store continuously, on its own thread."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import logbook
from result import Err

from crocuswick.backoff import backoff_s, with_jitter_s
from crocuswick.errors import PeerError
from crocuswick.records.record_cache import RecordCache

if TYPE_CHECKING:
    from collections.abc import Callable

    import pykka
    from result import Result

    from crocuswick.decision_log import DecisionLog
    from crocuswick.records.mirror import TopicUpdate
    from crocuswick.records.store import RecordStore

__all__ = ["TopicReader"]

logger = logbook.Logger(__name__)

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Longest pause after a failure; must be well below the time limit for updates."""

ROLE_CHECK_INTERVAL_S = 0.25
"""Interval at which an inactive reader checks whether its node has become responsible
for the topic."""


class TopicReader:
    """Reads a topic while this node is responsible for reading it.

    Args:
        topic: Name of the topic.
        store: Client of the store, used by this thread only.
        record_cache: Actor that merges the records.
        wait_s: Returns the longest time for which a read waits at the store for a new
            record.
        read_pause_s: Pause after each read, which limits the rate of reads.
        should_read: Returns whether this node is responsible for reading the topic.
        on_read: Called after each successful read, before its records are merged.
        log: Decision log; records when reads fail and succeed again.
    """

    def __init__(
        self,
        *,
        topic: str,
        store: RecordStore,
        record_cache: pykka.ActorRef,
        wait_s: Callable[[], float],
        read_pause_s: float,
        should_read: Callable[[], bool],
        on_read: Callable[[str], None],
        log: DecisionLog,
    ):
        self._topic = topic
        self._store = store
        self._record_cache = record_cache
        self._wait_s = wait_s
        self._read_pause_s = read_pause_s
        self._should_read = should_read
        self._on_read = on_read
        self._log = log
        self._failures = 0
        self._failing_since_s = 0.0
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"read-{topic}", daemon=True
        )

    def start(self) -> None:
        """Start reading."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after its current read."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            if not self._should_read():
                self._stopped.wait(ROLE_CHECK_INTERVAL_S)
                continue
            try:
                read = self._read_once()
            except Exception as error:  # noqa: BLE001 - the topic must be read again
                logger.exception("reading {} failed", self._topic)
                read = Err(_unexpected(error))
            if read.is_err():
                self._after_failure(read.err_value)
                continue
            self._after_success()
            self._stopped.wait(self._read_pause_s)

    def _read_once(self) -> Result[TopicUpdate, PeerError]:
        end = self._record_cache.ask(RecordCache.End(topic=self._topic))
        read = None
        if end >= 0:
            wait_ms = round(self._wait_s() * 1000)
            read = self._store.read_keyed(self._topic, start=end, wait_ms=wait_ms)
        if read is None or (read.is_ok() and read.ok_value is None):
            read = self._store.list_newest(self._topic)
        if read.is_ok():
            # on_read detects store outages, which change how the records are applied.
            # It is therefore called before the merge.
            self._on_read(self._topic)
            self._record_cache.ask(RecordCache.Merge(update=read.ok_value))
        return read

    def _after_success(self) -> None:
        if self._failures:
            self._log.record_state(
                "store regained",
                topic=self._topic,
                after_ms=round((time.monotonic() - self._failing_since_s) * 1000),
            )
        self._failures = 0

    def _after_failure(self, error: PeerError) -> None:
        if not self._failures:
            self._failing_since_s = time.monotonic()
            self._log.record_state("store lost", topic=self._topic, error=str(error))
        self._failures += 1
        pause_s = backoff_s(
            self._failures, initial_s=FIRST_BACKOFF_S, max_s=MAX_BACKOFF_S
        )
        self._stopped.wait(with_jitter_s(pause_s))


def _unexpected(error: Exception) -> PeerError:
    return PeerError(
        step="read records", peer="store", detail=f"{type(error).__name__}: {error}"
    )
