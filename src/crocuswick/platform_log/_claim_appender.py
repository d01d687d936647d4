"""Appends claim records in batches on a dedicated thread."""

from __future__ import annotations

import queue
import threading
import time
from typing import TYPE_CHECKING

import attrs

from crocuswick.outcome import Outcome
from crocuswick.platform_log.claim_records import (
    ClaimAbandoned,
    ClaimMade,
    ClaimRecord,
    StreamMark,
    encode_claim_record,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.errors import PeerError
    from crocuswick.platform_log.client import LogClient

__all__ = ["ClaimAppender"]

APPEND_INTERVAL_MS = 50
RETRY_DELAY_MS = 500
SLOW_FAILURE_MS = 200
"""A failed append that takes at least this long counts as an outage."""

MAX_BATCH_RECORDS = 500
MAX_UNCONFIRMED_RECORDS = 10_000


@attrs.frozen(kw_only=True)
class _Stop:
    """Queue item that ends the thread."""


@attrs.frozen(kw_only=True, eq=False)
class _QueuedRecord:
    """A record with an event that is set once the log has confirmed it."""

    record: ClaimRecord
    appended: threading.Event = attrs.field(factory=threading.Event)


class ClaimAppender:
    """Appends records in batches and retries those that must reach the log.

    A claim is sent once. If the log did not run the append, the failure is reported.
    If the outcome of the append is unknown, reading the stream shows it. Marks are
    sent once too. Completions, unknown outcomes and abandonments are appended until
    the log confirms them. Duplicates are harmless, since each takes effect only once.
    """

    def __init__(
        self,
        *,
        client: LogClient,
        stream: str,
        on_claims_failed: Callable[[list[str], PeerError], None],
    ):
        self._client = client
        self._stream = stream
        self._on_claims_failed = on_claims_failed
        self._queue: queue.SimpleQueue[_QueuedRecord | _Stop] = queue.SimpleQueue()
        self._unconfirmed: list[_QueuedRecord] = []
        self._down_until_s = 0.0
        self._last_error: PeerError | None = None
        self._thread = threading.Thread(
            target=self._run, name="claim-appender", daemon=True
        )

    @property
    def recent_error(self) -> PeerError | None:
        """The last error while the log is considered down, else None."""
        is_down = time.monotonic() < self._down_until_s
        return self._last_error if is_down else None

    def start(self) -> None:
        """Start appending."""
        self._thread.start()

    def stop(self) -> None:
        """Append the queued records if the log is available, and stop."""
        self._queue.put(_Stop())
        if self._thread.is_alive():
            self._thread.join(timeout=RETRY_DELAY_MS / 1000 + 1.0)

    def put(self, record: ClaimRecord) -> threading.Event:
        """Queue a record.

        Returns:
            An event that is set once the log has confirmed the record.
        """
        queued = _QueuedRecord(record=record)
        self._queue.put(queued)
        return queued.appended

    def _run(self) -> None:
        is_stopping = False
        while not is_stopping:
            batch, is_stopping = self._next_batch()
            if batch:
                self._append(batch)
                time.sleep(APPEND_INTERVAL_MS / 1000)

    def _next_batch(self) -> tuple[list[_QueuedRecord], bool]:
        """Return the unconfirmed and queued records, and whether to stop.

        Waits for a queued record; if there are unconfirmed ones, at most for the retry
        delay.
        """
        batch, self._unconfirmed = self._unconfirmed, []
        wait_s = RETRY_DELAY_MS / 1000 if batch else None
        try:
            item = self._queue.get(timeout=wait_s)
            while not isinstance(item, _Stop):
                batch.append(item)
                if len(batch) >= MAX_BATCH_RECORDS:
                    return batch, False
                item = self._queue.get_nowait()
        except queue.Empty:
            return batch, False
        return batch, True

    def _append(self, batch: list[_QueuedRecord]) -> None:
        values = [encode_claim_record(queued.record) for queued in batch]
        began_s = time.monotonic()
        result = self._client.append(self._stream, values)
        took_ms = (time.monotonic() - began_s) * 1000
        if result.is_ok():
            self._down_until_s = 0.0
            for queued in batch:
                queued.appended.set()
            return
        error = result.unwrap_err()
        self._last_error = error
        # A single lost response is not an outage, but a refusal or a slow failure is.
        if error.outcome is Outcome.NOT_RUN or took_ms >= SLOW_FAILURE_MS:
            self._down_until_s = time.monotonic() + RETRY_DELAY_MS / 1000
        self._unconfirmed = _records_to_retry(batch)
        if error.outcome is Outcome.NOT_RUN:
            records = [queued.record for queued in batch]
            claim_ids = [each.claim_id for each in records if _is_claim(each)]
            self._on_claims_failed(claim_ids, error)


def _is_claim(record: ClaimRecord) -> bool:
    return isinstance(record, ClaimMade)


def _records_to_retry(batch: list[_QueuedRecord]) -> list[_QueuedRecord]:
    """Return the records to append again.

    Beyond the limit, abandonments are kept in preference to other records.
    """
    unconfirmed = [
        queued
        for queued in batch
        if not isinstance(queued.record, ClaimMade | StreamMark)
    ]
    if len(unconfirmed) <= MAX_UNCONFIRMED_RECORDS:
        return unconfirmed
    unconfirmed.sort(key=lambda queued: not isinstance(queued.record, ClaimAbandoned))
    return unconfirmed[:MAX_UNCONFIRMED_RECORDS]
