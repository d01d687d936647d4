"""Threads that serve the connections of an HTTP server while they have requests."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

import logbook

from crocuswick.elastic_threads import ElasticThreads
from crocuswick.intake import OpenConnections, Phase, WaitingRequests
from crocuswick.intake.connection import IntakeConnection

if TYPE_CHECKING:
    from cheroot.server import HTTPConnection, HTTPServer

__all__ = ["HttpWorkers"]

logger = logbook.Logger(__name__)

END_TIMEOUT_S = 0.5
"""Time for requests to end after their connections were shut down."""


class HttpWorkers:
    """Takes the place of cheroot's thread pool, which keeps all its threads.

    Connections without a request stay with the server's selector, those with an
    incomplete one wait in `WaitingRequests`.

    Args:
        server: The server.
        max_threads: Number of requests served concurrently.
        name: Name of the threads.
    """

    min = 0
    """Number of threads without requests, which cheroot's server reads."""

    def __init__(self, *, server: HTTPServer, max_threads: int, name: str):
        self._server = server
        self._threads = ElasticThreads(name=name, max_threads=max_threads)
        self.connections = OpenConnections()
        self.waiting = WaitingRequests(
            name=f"{name}-waiting",
            submit=self._submit,
            limits=lambda: server.time_limits,
        )
        self._served: set[HTTPConnection] = set()
        self._lock = threading.Lock()

    @property
    def idle(self) -> int:
        """Number of threads that wait for requests."""
        return self._threads.idle

    @property
    def qsize(self) -> int:
        """Number of connections that wait for a thread."""
        return self._threads.queued

    def start(self) -> None:
        """Do nothing; threads start with the first request."""

    def put(self, connection: HTTPConnection) -> None:
        """Serve the next request of a connection."""
        if isinstance(connection, IntakeConnection) and (
            connection.progress.phase is Phase.NEW
        ):
            closing = self.connections.add(connection)
            if closing is connection:
                self._close(connection)
                return
            if closing is not None:
                self._close_for_room(closing)
            self.waiting.add(connection)
        else:
            self._submit(connection)

    def stop(self, timeout: float | None = 5) -> None:
        """Wait for the requests in progress, then shut their connections down.

        Args:
            timeout: Longest wait in seconds.
        """
        self.waiting.stop()
        if self._threads.stop(timeout or 0.0):
            return
        with self._lock:
            served = list(self._served)
        for connection in served:
            with contextlib.suppress(OSError):
                connection.socket.shutdown(socket.SHUT_RD)
        self._threads.stop(END_TIMEOUT_S)

    def _submit(self, connection: HTTPConnection) -> None:
        self._threads.submit(self._serve, connection)

    def _serve(self, connection: HTTPConnection) -> None:
        stays_open = False
        with self._lock:
            self._served.add(connection)
        self.connections.begin_serving(connection)
        try:
            stays_open = connection.communicate()
        except ConnectionError as error:
            logger.debug("connection of {} lost: {}", connection.remote_addr, error)
        finally:
            with self._lock:
                self._served.discard(connection)
            self.connections.end_serving(connection)
            if not stays_open:
                self._close(connection)
            elif _is_incomplete(connection):
                self.waiting.add(connection)
            else:
                self._server.put_conn(connection)

    def _close_for_room(self, connection: IntakeConnection) -> None:
        """Close a connection so that a new one can be open."""
        if self.waiting.remove(connection):
            connection.unread_body = False
            self._close(connection)
            return
        # It is with the server's selector, which finds it at its end and lets a worker
        # close it.
        with contextlib.suppress(OSError):
            connection.socket.shutdown(socket.SHUT_RDWR)

    def _close(self, connection: HTTPConnection) -> None:
        try:
            connection.close()
        except OSError as error:
            logger.debug("closing {} failed: {}", connection.remote_addr, error)


def _is_incomplete(connection: HTTPConnection) -> bool:
    """Return whether a part of a request has been received and the rest is missing."""
    return (
        isinstance(connection, IntakeConnection)
        and connection.awaits_input
        and connection.progress.phase is not Phase.IDLE
    )
