"""Keeps evidence of harmful requests in the store, for nodes that no peer can tell of it.

Such nodes hear no peer, or all nodes of the fleet have restarted.
"""

from __future__ import annotations

import json
import queue
import threading
import time
from typing import TYPE_CHECKING, Any

import attrs
import logbook

from crocuswick.gossip.messages import ReplicaCrashed
from crocuswick.malformed import MALFORMED
from crocuswick.quarantine import REPORT_LIFETIME_S
from crocuswick.relay import dispatcher_messages

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    import pykka

    from crocuswick.decision_log import DecisionLog
    from crocuswick.records.mirror import KeyedRecord
    from crocuswick.records.store import RecordStore

__all__ = ["CrashRecords", "decode_crashes", "encode_crashes"]

logger = logbook.Logger(__name__)

READ_INTERVAL_S = 1.0
"""Interval of reads while this node hears no peer, and of attempts at its first read."""

MAX_QUEUED = 32
"""Records that wait to be written; further ones are dropped."""

MAX_DROPPED_KEYS = 16
"""Expired records that a node removes at its first read."""

_MS_PER_S = 1000


class CrashRecords:
    """Writes crashes to a topic of the store and reads those of other nodes.

    Args:
        topic: Keyed topic of the crashes.
        store: Client of the store, used by this thread only.
        dispatcher: Dispatcher of requests, which is told of the crashes that were read.
        hears_peers: Returns whether any peer sends to this node, or none is known.
        log: Decision log.
    """

    def __init__(
        self,
        *,
        topic: str,
        store: RecordStore,
        dispatcher: pykka.ActorRef,
        hears_peers: Callable[[], bool],
        log: DecisionLog,
    ):
        self._topic = topic
        self._store = store
        self._dispatcher = dispatcher
        self._hears_peers = hears_peers
        self._log = log
        self._has_read = False
        self._queue: queue.Queue[tuple[str, bytes]] = queue.Queue(maxsize=MAX_QUEUED)
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="crash-records", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after its current call."""
        self._stopped.set()

    def write(self, key: str, crashes: Sequence[ReplicaCrashed]) -> None:
        """Write the crashes under requests with a fingerprint or a prompt segment.

        Args:
            key: The fingerprint or the key of the segment.
            crashes: The crashes that are known, which replace those written before.
        """
        try:
            self._queue.put_nowait((key, encode_crashes(crashes, unix_s=time.time())))
        except queue.Full:
            self._log.record_state("crashes not stored", key=key, error="queue is full")

    def _run(self) -> None:
        step = self._read
        while not self._stopped.is_set():
            try:
                step()
            except Exception:  # noqa: BLE001 - later records must still be written
                logger.exception("a step of the crash records failed")
            step = self._write_or_read

    def _write_or_read(self) -> None:
        try:
            key, value = self._queue.get(timeout=READ_INTERVAL_S)
        except queue.Empty:
            if not self._has_read or not self._hears_peers():
                self._read()
            return
        written = self._store.append_keyed(self._topic, key, value)
        if written.is_err():
            self._log.record_state(
                "crashes not stored", key=key, error=str(written.err_value)
            )

    def _read(self) -> None:
        listed = self._store.list_newest(self._topic)
        if listed.is_err():
            logger.debug("reading crashes from the store failed: {}", listed.err_value)
            return
        is_first, self._has_read = not self._has_read, True
        expired = []
        for record in listed.ok_value.records:
            crashes = decode_crashes(record, unix_s=time.time())
            for crashed in crashes:
                self._dispatcher.tell(dispatcher_messages.PeerCrash(crashed=crashed))
            if not crashes and record.value:
                expired.append(record.key)
        if is_first:
            for key in expired[:MAX_DROPPED_KEYS]:
                self._store.append_keyed(self._topic, key, b"")


def encode_crashes(crashes: Sequence[ReplicaCrashed], *, unix_s: float) -> bytes:
    """Return the value of a record.

    Args:
        crashes: Crashes with their ages now.
        unix_s: Unix time in seconds.
    """
    fields = [attrs.asdict(crashed) for crashed in crashes]
    return json.dumps({"t": unix_s, "crashes": fields}).encode()


def decode_crashes(record: KeyedRecord, *, unix_s: float) -> list[ReplicaCrashed]:
    """Return the crashes of a record that have not expired.

    Args:
        record: The record; nothing is returned for one that is malformed.
        unix_s: Unix time in seconds.
    """
    try:
        value = json.loads(record.value or b"null")
        written_ms = max(0, round((unix_s - value["t"]) * _MS_PER_S))
        crashes = [_decode_crash(fields, written_ms) for fields in value["crashes"]]
    except MALFORMED:
        return []
    max_age_ms = REPORT_LIFETIME_S * _MS_PER_S
    return [crashed for crashed in crashes if crashed.age_ms < max_age_ms]


def _decode_crash(fields: dict[str, Any], written_ms: int) -> ReplicaCrashed:
    """Decode one crash.

    Raises:
        TypeError: A field is missing, unknown or of another type.
    """
    crashed = ReplicaCrashed(**fields)
    texts = (crashed.fingerprint, crashed.incarnation, *crashed.segments)
    numbers = (crashed.age_ms, crashed.lost_before_ms, crashed.run_ms)
    if not all(isinstance(text, str) for text in texts):
        raise TypeError("a text field has another type")
    if not all(isinstance(number, int) for number in numbers):
        raise TypeError("a number field has another type")
    return attrs.evolve(crashed, age_ms=crashed.age_ms + written_ms)
