"""Calls in progress, which end when their node exits."""

from __future__ import annotations

import contextlib
import socket
import threading
from weakref import WeakSet

__all__ = ["OpenCalls"]


class OpenCalls:
    """Connections of the calls in progress, on whose answers callers wait."""

    def __init__(self):
        self._sockets: WeakSet[socket.socket] = WeakSet()
        self._lock = threading.Lock()
        self._is_aborted = False

    def add(self, sock: socket.socket) -> None:
        """Add a connection. It is forgotten once it is no longer in use."""
        with self._lock:
            self._sockets.add(sock)
            if self._is_aborted:
                _shut_down(sock)

    def abort(self) -> None:
        """Let all calls fail, those that begin later too."""
        with self._lock:
            self._is_aborted = True
            for sock in tuple(self._sockets):
                _shut_down(sock)


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
