"""Threads that are started when there is work and end when there is none."""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ElasticThreads"]

logger = logbook.Logger(__name__)

IDLE_S = 5.0
"""Time without work after which a thread ends."""


class ElasticThreads:
    """Runs calls on as many threads as there are calls at the same time.

    Args:
        name: Name of the threads.
        max_threads: Largest number of threads; further calls wait for one of them.
        idle_s: Time without work after which a thread ends.
    """

    def __init__(self, *, name: str, max_threads: int, idle_s: float = IDLE_S):
        self._name = name
        self._max_threads = max_threads
        self._idle_s = idle_s
        self._calls: deque[tuple[Callable, tuple]] = deque()
        self._changed = threading.Condition()
        self._threads = 0
        self._idle = 0
        self._is_stopped = False

    @property
    def idle(self) -> int:
        """Number of threads that wait for work."""
        return self._idle

    @property
    def queued(self) -> int:
        """Number of calls that wait for a thread."""
        return len(self._calls)

    def submit(self, call: Callable, *arguments: object) -> None:
        """Run a call on a thread; it is dropped after `stop`.

        Args:
            call: The call; what it raises is logged.
            arguments: Its positional arguments.
        """
        with self._changed:
            if self._is_stopped:
                return
            self._calls.append((call, arguments))
            if self._idle >= len(self._calls):
                self._changed.notify()
            elif self._threads < self._max_threads:
                self._start_thread()

    def stop(self, timeout_s: float = 0.0) -> bool:
        """Drop the calls that have not begun, and wait for the others.

        Args:
            timeout_s: Longest wait.

        Returns:
            Whether all threads have ended.
        """
        deadline_s = time.monotonic() + timeout_s
        with self._changed:
            self._is_stopped = True
            self._calls.clear()
            self._changed.notify_all()
            while self._threads and time.monotonic() < deadline_s:
                self._changed.wait(deadline_s - time.monotonic())
            return self._threads == 0

    def _start_thread(self) -> None:
        thread = threading.Thread(target=self._run, name=self._name, daemon=True)
        self._threads += 1
        try:
            thread.start()
        except RuntimeError as error:
            # The threads that exist run the call once they are free.
            self._threads -= 1
            if not self._threads:
                raise
            logger.warning("no further thread {}: {}", self._name, error)

    def _run(self) -> None:
        while (next_call := self._next_call()) is not None:
            call, arguments = next_call
            try:
                call(*arguments)
            except Exception:  # noqa: BLE001 - the thread serves other calls too
                logger.exception("call on thread {} failed", self._name)

    def _next_call(self) -> tuple[Callable, tuple] | None:
        """Wait for a call; return None if the thread is to end."""
        with self._changed:
            self._idle += 1
            self._changed.wait_for(
                lambda: self._calls or self._is_stopped, timeout=self._idle_s
            )
            self._idle -= 1
            if self._calls:
                return self._calls.popleft()
            self._threads -= 1
            self._changed.notify_all()
            return None
