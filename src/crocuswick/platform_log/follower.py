"""Follows a stream of the log on a dedicated thread."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import attrs

from crocuswick.actor import Message
from crocuswick.backoff import backoff_s, with_jitter_s
from crocuswick.errors import PeerError
from crocuswick.platform_log.records import LogPage, RetentionGap

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.platform_log.client import LogClient

__all__ = ["GapFound", "LogFollower", "LogUnavailable", "PageRead"]

PAGE_RECORDS = 500
POLL_WAIT_MS = 5_000
READ_INTERVAL_MS = 20
"""Shortest time between two reads, so that a busy stream is read in batches."""

MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2_000


@attrs.frozen(kw_only=True)
class PageRead(Message):
    """A page was read, possibly an empty one."""

    page: LogPage
    """The page."""

    is_end: bool
    """Whether the page reaches the end of the stream."""


@attrs.frozen(kw_only=True)
class GapFound(Message):
    """Records were dropped before they were read."""

    gap: RetentionGap
    """The retained offsets; the follower continues with the oldest one."""


@attrs.frozen(kw_only=True)
class LogUnavailable(Message):
    """The log could not be read."""

    error: PeerError
    """The error."""


class LogFollower:
    """Reads a stream page by page and posts a message for each response.

    The follower continues after the last record read, or at the oldest retained
    record after a gap. Failed reads are retried with jittered, growing backoff.
    """

    def __init__(
        self,
        *,
        client: LogClient,
        stream: str,
        from_offset: int = 0,
        post: Callable[[Message], None],
        poll_wait_ms: int = POLL_WAIT_MS,
    ):
        self._client = client
        self._stream = stream
        self._offset = from_offset
        self._post = post
        self._poll_wait_ms = poll_wait_ms
        self._is_at_end = False
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"log-{stream}", daemon=True
        )

    def start(self) -> None:
        """Start following."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to end, which it does when its current poll returns."""
        self._stopped.set()

    def _run(self) -> None:
        failures = 0
        while not self._stopped.is_set():
            began_s = time.monotonic()
            if self._read_once():
                failures = 0
                left_s = began_s + READ_INTERVAL_MS / 1000 - time.monotonic()
                self._stopped.wait(max(0.0, left_s))
                continue
            failures += 1
            self._stopped.wait(_backoff_s(failures))

    def _read_once(self) -> bool:
        # The first read does not wait, so that the end of the stream is known at once.
        wait_ms = self._poll_wait_ms if self._is_at_end else 0
        result = self._client.read(self._stream, self._offset, PAGE_RECORDS, wait_ms)
        if self._stopped.is_set():
            return True
        self._is_at_end = False
        if result.is_err():
            self._post(LogUnavailable(error=result.unwrap_err()))
            return False
        found = result.unwrap()
        if isinstance(found, RetentionGap):
            self._offset = found.first_retained
            self._post(GapFound(gap=found))
            return True
        if found.records:
            self._offset = found.records[-1].offset + 1
        self._is_at_end = self._offset >= found.next_offset
        self._post(PageRead(page=found, is_end=self._is_at_end))
        return True


def _backoff_s(failures: int) -> float:
    pause_s = backoff_s(
        failures - 1,
        initial_s=MIN_BACKOFF_MS / 1000,
        max_s=MAX_BACKOFF_MS / 1000,
    )
    return with_jitter_s(pause_s)
