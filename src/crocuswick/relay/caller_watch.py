"""Detection of callers that close their connections while they wait."""

from __future__ import annotations

import select
import threading
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

__all__ = ["CallerWatch", "is_closed"]

logger = logbook.Logger(__name__)

_CLOSE_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
POLL_TIMEOUT_S = 0.5
"""Poll timeout, which is also the longest delay of `stop`."""


def is_closed(connection: socket.socket) -> bool:
    """Return whether a connection is closed, here or by its peer."""
    descriptor = connection.fileno()
    return descriptor < 0 or _has_close_event(descriptor)


def _has_close_event(descriptor: int) -> bool:
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return bool(poller.poll(0))


class CallerWatch:
    """Calls a callback once when the peer closes a watched connection."""

    def __init__(self):
        self._epoll = select.epoll()
        self._callbacks_by_descriptor: dict[int, Callable[[], None]] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        )

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopped.set()
        self._thread.join(timeout=2 * POLL_TIMEOUT_S)
        self._epoll.close()

    def watch(self, descriptor: int, on_closed: Callable[[], None]) -> None:
        """Watch a connection until `unwatch` is called.

        Args:
            descriptor: File descriptor of its socket.
            on_closed: Called once, on the watch thread.
        """
        with self._lock:
            self._callbacks_by_descriptor[descriptor] = on_closed
            self._epoll.register(descriptor, _CLOSE_EVENTS | select.EPOLLONESHOT)

    def unwatch(self, descriptor: int) -> None:
        """Stop watching a connection; call this before it is closed or reused."""
        with self._lock:
            if self._callbacks_by_descriptor.pop(descriptor, None) is not None:
                self._epoll.unregister(descriptor)

    def _run(self) -> None:
        while not self._stopped.is_set():
            for descriptor, _ in self._epoll.poll(POLL_TIMEOUT_S):
                try:
                    self._handle(descriptor)
                except Exception:  # noqa: BLE001 - the thread watches other callers too
                    logger.exception("handling a caller's disconnect failed")

    def _handle(self, descriptor: int) -> None:
        with self._lock:
            callback = self._callbacks_by_descriptor.get(descriptor)
            # The event may be that of an earlier connection with this descriptor.
            if callback is None or not _has_close_event(descriptor):
                return
        callback()
