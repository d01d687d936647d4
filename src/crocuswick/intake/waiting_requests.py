"""Thread that waits for the rest of incomplete requests, and for slow readers."""

from __future__ import annotations

import contextlib
import random
import select
import threading
import time
from typing import TYPE_CHECKING, Protocol

import logbook

from crocuswick.intake.progress import Phase, Progress, TimeLimits
from crocuswick.intake.yielding import HeldRequest, choose_yielding

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

__all__ = ["WaitingConnection", "WaitingRequests"]

logger = logbook.Logger(__name__)

ROUND_S = 0.02
"""Time after which the thread looks for new requests again. They are handled first."""

COSTLY_S = 0.001
"""Processor time for the bytes of one connection from which the thread pauses for as long.
Chunks of one byte cost a hundred times as much as large ones; without the pauses, bodies
of such chunks left ordinary callers waiting for seconds."""

SWEEP_S = 0.1
"""Interval at which time limits are checked."""

IDLE_S = 2.0
"""Time without connections after which the thread ends."""


class WaitingConnection(Protocol):
    """A connection whose request is incomplete. No method waits for the caller."""

    socket: socket.socket
    remote_addr: str | None
    progress: Progress

    def collect(self) -> bool:
        """Receive what has arrived, or send what the kernel takes.

        Returns:
            Whether a worker can go on with the request.
        """

    def is_too_late(self) -> bool:
        """Whether the server stops before the request could be answered."""

    def time_out(self) -> bool:
        """Refuse the request, which is too late or whose time limit is exceeded.

        Returns:
            Whether a worker goes on with it; otherwise the connection is to be closed.
        """

    def yield_room(self) -> None:
        """Refuse the request and free what it holds."""

    def close(self) -> None:
        """Close the connection."""


class WaitingRequests:
    """Holds connections with incomplete requests, without a thread for each.

    A connection belongs either to this object or to one worker. Whoever removes it from
    the collection owns it.

    Args:
        name: Name of the thread.
        submit: Lets a worker go on with a connection.
        limits: Returns the time limits in force.
    """

    def __init__(
        self,
        *,
        name: str,
        submit: Callable[[WaitingConnection], None],
        limits: Callable[[], TimeLimits],
    ):
        self._submit = submit
        self._limits = limits
        self._connections_by_descriptor: dict[int, WaitingConnection] = {}
        self.total_yielded = 0
        """Number of requests that yielded because room was short."""

        self.total_timed_out = 0
        """Number of requests whose time limit was exceeded."""

        self._lock = threading.Lock()
        self._epoll = select.epoll()
        self._is_stopped = False
        self._name = name
        self._is_running = False

    def stop(self) -> None:
        """Close all connections; the thread ends soon after that."""
        with self._lock:
            self._is_stopped = True
            connections = list(self._connections_by_descriptor.values())
            self._connections_by_descriptor.clear()
        for connection in connections:
            self._close(connection)

    def add(self, connection: WaitingConnection) -> None:
        """Wait for the rest of a connection's request."""
        descriptor = connection.socket.fileno()
        with self._lock:
            if not self._is_stopped:
                self._connections_by_descriptor[descriptor] = connection
                is_sending = connection.progress.phase is Phase.SENDING
                self._epoll.register(
                    descriptor, select.EPOLLOUT if is_sending else select.EPOLLIN
                )
                if not self._is_running:
                    self._start_thread()
                return
        self._close(connection)

    def remove(self, connection: WaitingConnection) -> bool:
        """Remove a connection, which then belongs to the calling thread.

        Returns:
            Whether it was waiting.
        """
        descriptor = connection.socket.fileno()
        with self._lock:
            if self._connections_by_descriptor.get(descriptor) is not connection:
                return False
            del self._connections_by_descriptor[descriptor]
            self._epoll.unregister(descriptor)
            return True

    def make_room(self, requester: WaitingConnection) -> bool:
        """Let the request with the least progress for what it holds yield.

        Args:
            requester: The incomplete request that needs room. It may yield as well.

        Returns:
            Whether another request has yielded.
        """
        now_s = time.monotonic()
        with self._lock:
            held_by_key = dict(self._connections_by_descriptor)
            held_by_key[requester.socket.fileno()] = requester
            chosen = choose_yielding(
                _held_request(key, connection, now_s)
                for key, connection in held_by_key.items()
            )
            if chosen is None or held_by_key[chosen.key] is requester:
                return False
            self.total_yielded += 1
            connection = self._connections_by_descriptor.pop(chosen.key)
            self._epoll.unregister(chosen.key)
        try:
            connection.yield_room()
        except Exception:  # noqa: BLE001 - only this connection is affected
            logger.exception("refusing a request of {} failed", connection.remote_addr)
        self._close(connection)
        return True

    def _start_thread(self) -> None:
        thread = threading.Thread(target=self._run, name=self._name, daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            # The next connection starts it.
            logger.warning("no thread {}: {}", self._name, error)
        else:
            self._is_running = True

    def _ends(self) -> bool:
        """Return whether the thread ends; `add` starts another one."""
        with self._lock:
            self._is_running = bool(self._connections_by_descriptor)
            return not self._is_running

    def _run(self) -> None:
        swept_s = time.monotonic()
        while True:
            has_connections = bool(self._connections_by_descriptor)
            events = self._epoll.poll(SWEEP_S if has_connections else IDLE_S)
            if not events and not has_connections and self._ends():
                return
            # All incomplete requests depend on this thread.
            try:
                self._handle(events)
                now_s = time.monotonic()
                if now_s - swept_s >= SWEEP_S and self._connections_by_descriptor:
                    swept_s = now_s
                    self._end_overdue(now_s)
            except Exception:  # noqa: BLE001
                logger.exception("handling events on thread {} failed", self._name)
                time.sleep(SWEEP_S)

    def _handle(self, events: list[tuple[int, int]]) -> None:
        # The order is random, since the connections that are left out when a round ends
        # are reported again in the same order.
        descriptors = [descriptor for descriptor, _ in events]
        random.shuffle(descriptors)
        descriptors.sort(key=self._is_incomplete)
        ends_s = time.monotonic() + ROUND_S
        for descriptor in descriptors:
            connection = self._take(descriptor)
            if connection is None:
                continue
            began_s = time.thread_time()
            self._go_on(connection)
            spent_s = time.thread_time() - began_s
            if spent_s >= COSTLY_S:
                time.sleep(spent_s)
            if time.monotonic() >= ends_s:
                return

    def _is_incomplete(self, descriptor: int) -> bool:
        connection = self._connections_by_descriptor.get(descriptor)
        return connection is not None and connection.progress.phase is not Phase.NEW

    def _take(self, descriptor: int) -> WaitingConnection | None:
        with self._lock:
            connection = self._connections_by_descriptor.pop(descriptor, None)
            if connection is not None:
                self._epoll.unregister(descriptor)
            return connection

    def _go_on(self, connection: WaitingConnection) -> None:
        # An error while handling one connection must not end the thread, which all
        # connections share.
        try:
            if connection.progress.phase is Phase.NEW or connection.collect():
                self._submit(connection)
            else:
                self.add(connection)
        except OSError as error:
            logger.debug("connection of {} lost: {}", connection.remote_addr, error)
            self._close(connection)
        except Exception:  # noqa: BLE001
            logger.exception("receiving from {} failed", connection.remote_addr)
            self._close(connection)

    def _end_overdue(self, now_s: float) -> None:
        limits = self._limits()
        with self._lock:
            overdue = [
                descriptor
                for descriptor, connection in self._connections_by_descriptor.items()
                if connection.progress.is_overdue(limits, now_s)
                or connection.is_too_late()
            ]
        for descriptor in overdue:
            connection = self._take(descriptor)
            if connection is None:
                continue
            self.total_timed_out += connection.progress.phase is not Phase.CLOSING
            try:
                if connection.time_out():
                    self._submit(connection)
                    continue
            except Exception:  # noqa: BLE001
                logger.exception("time-out of {} failed", connection.remote_addr)
            self._close(connection)

    def _close(self, connection: WaitingConnection) -> None:
        with contextlib.suppress(OSError):
            connection.close()


def _held_request(key: int, connection: WaitingConnection, now_s: float) -> HeldRequest:
    progress = connection.progress
    return HeldRequest(
        key=key,
        address=connection.remote_addr or "",
        held_bytes=progress.held_bytes,
        rate=progress.rate(now_s),
        age_s=progress.age_s(now_s),
    )
