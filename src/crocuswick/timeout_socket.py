"""A TCP socket with timeouts enforced by the kernel."""

from __future__ import annotations

import socket
import struct
from typing import Any

__all__ = ["TimeoutSocket"]

_US_PER_S = 1_000_000


class TimeoutSocket(socket.socket):
    """A blocking socket with timeouts enforced by the kernel.

    A plain socket with a timeout polls before each send and receive, which
    releases the interpreter lock twice per call. This class releases it once.
    """

    kernel_timeout_s: float | None = None
    """Seconds after which one send or receive fails, None for no timeout."""

    @classmethod
    def from_socket(cls, plain: socket.socket) -> TimeoutSocket:
        """Take over the descriptor and the timeout of a connected socket.

        Args:
            plain: Connected socket, which is detached and unusable afterwards.
        """
        timeout_s = plain.gettimeout()
        adopted = cls(plain.family, plain.type, plain.proto, fileno=plain.detach())
        adopted.settimeout(timeout_s)
        return adopted

    def settimeout(self, value: float | None) -> None:
        """Set the time after which one send or receive fails.

        Args:
            value: Seconds, or None for no timeout.
        """
        if value == 0:
            super().settimeout(0)
            return
        self.kernel_timeout_s = value
        super().settimeout(None)
        total_us = 0 if value is None else max(1, int(value * _US_PER_S))
        timeval = struct.pack("@ll", *divmod(total_us, _US_PER_S))
        self.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval)

    def recv(self, *args: Any) -> bytes:
        """Receive bytes, as `socket.socket.recv`."""
        try:
            return super().recv(*args)
        except BlockingIOError as error:
            raise TimeoutError("timed out") from error

    def recv_into(self, *args: Any) -> int:
        """Receive bytes into a buffer, as `socket.socket.recv_into`."""
        try:
            return super().recv_into(*args)
        except BlockingIOError as error:
            raise TimeoutError("timed out") from error

    def send(self, *args: Any) -> int:
        """Send bytes, as `socket.socket.send`."""
        try:
            return super().send(*args)
        except BlockingIOError as error:
            raise TimeoutError("timed out") from error

    def sendall(self, *args: Any) -> None:
        """Send all bytes, as `socket.socket.sendall`."""
        try:
            super().sendall(*args)
        except BlockingIOError as error:
            raise TimeoutError("timed out") from error
