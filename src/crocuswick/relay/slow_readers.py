"""Callers that read their answers more slowly than these arrive."""

from __future__ import annotations

import select
import threading
import time
from typing import TYPE_CHECKING

import attrs
import logbook

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from crocuswick.byte_budget import ByteBudget
    from crocuswick.relay.answer_sender import AnswerSender

__all__ = ["SlowReaders", "Unread", "unread_to_cut"]

logger = logbook.Logger(__name__)

UNREAD_TIMEOUT_S = 10.0
"""Time without any progress after which an answer is cut off. Lost packets are sent again
several times within it."""

UNREAD_SHORT_TIMEOUT_S = 1.0
"""The same while requests wait for a thread or answers for room. It is above the time for
which one or two lost packets in a row stop a connection."""

CHECK_INTERVAL_S = 0.25


@attrs.frozen(kw_only=True)
class Unread:
    """An answer that its caller has not read completely."""

    number: int
    held_bytes: int
    progress_s: float
    """Time of the last progress."""


def unread_to_cut(
    unread: Iterable[Unread], *, now_s: float, wanted_threads: int, wanted_bytes: int
) -> list[int]:
    """Return the numbers of the answers that are cut off.

    Those without progress for longest yield first, until the wanted room is free.

    Args:
        unread: All answers that are not read completely.
        now_s: Current monotonic time.
        wanted_threads: Requests that wait for a thread.
        wanted_bytes: Bytes for which there is no room.
    """
    chosen = []
    for answer in sorted(unread, key=lambda each: each.progress_s):
        stalled_s = now_s - answer.progress_s
        is_wanted = wanted_threads > 0 or wanted_bytes > 0
        if stalled_s < UNREAD_SHORT_TIMEOUT_S:
            break
        if not is_wanted and stalled_s < UNREAD_TIMEOUT_S:
            break
        chosen.append(answer.number)
        wanted_threads -= 1
        wanted_bytes -= answer.held_bytes
    return chosen


class SlowReaders:
    """Sends what callers have not read yet, and cuts off those that don't read.

    One thread does so for all callers.

    Args:
        budget: Counts the bytes that are held.
        waiting: Returns the number of requests that wait for a thread.
    """

    def __init__(self, *, budget: ByteBudget, waiting: Callable[[], int]):
        self.budget = budget
        self._waiting = waiting
        self._epoll = select.epoll()
        self._senders_by_descriptor: dict[int, AnswerSender] = {}
        self._wanted_bytes = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._checked_s = time.monotonic()
        self._thread = threading.Thread(
            target=self._run, name="slow-readers", daemon=True
        )

    def start(self) -> None:
        """Start sending."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending."""
        self._stopped.set()
        self._thread.join(timeout=4 * CHECK_INTERVAL_S)
        self._epoll.close()

    def add(self, descriptor: int, sender: AnswerSender) -> None:
        """Send the rest of an answer once its connection takes data again."""
        with self._lock:
            if self._senders_by_descriptor.get(descriptor) is sender:
                self._epoll.modify(descriptor, select.EPOLLOUT | select.EPOLLONESHOT)
                return
            self._senders_by_descriptor[descriptor] = sender
            self._epoll.register(descriptor, select.EPOLLOUT | select.EPOLLONESHOT)

    def remove(self, descriptor: int) -> None:
        """Forget a connection; call this before it is closed or reused."""
        with self._lock:
            if self._senders_by_descriptor.pop(descriptor, None) is not None:
                self._epoll.unregister(descriptor)

    def want_room(self, size_bytes: int) -> None:
        """Cut off callers that don't read until as many bytes are free."""
        with self._lock:
            self._wanted_bytes = max(self._wanted_bytes, size_bytes)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                for descriptor, _ in self._epoll.poll(CHECK_INTERVAL_S):
                    self._flush(descriptor)
                now_s = time.monotonic()
                if now_s - self._checked_s >= CHECK_INTERVAL_S:
                    self._checked_s = now_s
                    self._cut_unread(now_s)
            except Exception:  # noqa: BLE001 - all other answers depend on the thread
                logger.exception("sending answers to slow callers failed")

    def _flush(self, descriptor: int) -> None:
        sender = self._senders_by_descriptor.get(descriptor)
        if sender is not None and sender.flush():
            with self._lock:
                if self._senders_by_descriptor.get(descriptor) is sender:
                    self._epoll.modify(
                        descriptor, select.EPOLLOUT | select.EPOLLONESHOT
                    )

    def _cut_unread(self, now_s: float) -> None:
        with self._lock:
            senders = list(self._senders_by_descriptor.values())
            wanted_bytes, self._wanted_bytes = self._wanted_bytes, 0
        unread = [
            Unread(
                number=number,
                held_bytes=sender.pending_bytes,
                progress_s=sender.progress_s,
            )
            for number, sender in enumerate(senders)
            if sender.pending_bytes
        ]
        for number in unread_to_cut(
            unread,
            now_s=now_s,
            wanted_threads=self._waiting(),
            wanted_bytes=wanted_bytes,
        ):
            senders[number].cut("the caller does not read")
