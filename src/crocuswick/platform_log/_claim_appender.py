"""Appends claim records in batches on a thread of its own."""

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
PAUSE_AFTER_FAILURE_MS = 500
SILENCE_MS = 200
MAX_BATCH_RECORDS = 500
MAX_OWED_RECORDS = 10_000


@attrs.frozen(kw_only=True)
class _Stop:
    """Ends the thread."""


@attrs.frozen(kw_only=True, eq=False)
class _Queued:
    """A record with the event that is set once the log has confirmed it."""

    record: ClaimRecord
    appended: threading.Event = attrs.field(factory=threading.Event)


class ClaimAppender:
    """Batches records; what must reach the log is kept until it did.

    A claim is offered to the log once. If nothing of it was sent, its failure is
    reported; if its fate is unknown, reading the stream settles it. All other
    records are appended until the log has confirmed them, which is harmless since
    the fold takes each of them once.
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
        self._queue: queue.SimpleQueue[_Queued | _Stop] = queue.SimpleQueue()
        self._owed: list[_Queued] = []
        self._down_until_s = 0.0
        self._last_error: PeerError | None = None
        self._thread = threading.Thread(
            target=self._run, name="claim-appender", daemon=True
        )

    @property
    def recent_error(self) -> PeerError | None:
        """The last failure while the log is taken to be down, else None."""
        is_down = time.monotonic() < self._down_until_s
        return self._last_error if is_down else None

    def start(self) -> None:
        """Start appending."""
        self._thread.start()

    def stop(self) -> None:
        """Append what is queued, if the log takes it, and end."""
        self._queue.put(_Stop())
        if self._thread.is_alive():
            self._thread.join(timeout=PAUSE_AFTER_FAILURE_MS / 1000 + 1.0)

    def put(self, record: ClaimRecord) -> threading.Event:
        """Queue a record.

        Returns:
            An event that is set once the log has confirmed the record.
        """
        queued = _Queued(record=record)
        self._queue.put(queued)
        return queued.appended

    def _run(self) -> None:
        is_stopping = False
        while not is_stopping:
            batch, is_stopping = self._next_batch()
            if batch:
                self._append(batch)
                time.sleep(APPEND_INTERVAL_MS / 1000)

    def _next_batch(self) -> tuple[list[_Queued], bool]:
        """Return what is owed, then what is queued; waits for the first of it."""
        batch, self._owed = self._owed, []
        wait_s = PAUSE_AFTER_FAILURE_MS / 1000 if batch else None
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

    def _append(self, batch: list[_Queued]) -> None:
        values = [encode_claim_record(queued.record) for queued in batch]
        began_s = time.monotonic()
        answer = self._client.append(self._stream, values)
        took_ms = (time.monotonic() - began_s) * 1000
        if answer.is_ok():
            self._down_until_s = 0.0
            for queued in batch:
                queued.appended.set()
            return
        error = answer.unwrap_err()
        self._last_error = error
        # One lost answer is no outage; a refusal or a long silence is.
        if error.outcome is Outcome.NOT_RUN or took_ms >= SILENCE_MS:
            self._down_until_s = time.monotonic() + PAUSE_AFTER_FAILURE_MS / 1000
        self._owed = _still_owed(batch)
        if error.outcome is Outcome.NOT_RUN:
            records = [queued.record for queued in batch]
            claim_ids = [each.claim_id for each in records if _is_claim(each)]
            self._on_claims_failed(claim_ids, error)


def _is_claim(record: ClaimRecord) -> bool:
    return isinstance(record, ClaimMade)


def _still_owed(batch: list[_Queued]) -> list[_Queued]:
    """Return what to append again; an outage drops answers before abandonments."""
    owed = [
        queued
        for queued in batch
        if not isinstance(queued.record, ClaimMade | StreamMark)
    ]
    if len(owed) <= MAX_OWED_RECORDS:
        return owed
    owed.sort(key=lambda queued: not isinstance(queued.record, ClaimAbandoned))
    return owed[:MAX_OWED_RECORDS]
