"""Input of a connection that is parsed from memory."""

from __future__ import annotations

import socket
import sys
import time

__all__ = ["MoreInputNeeded", "ReceivedBytes"]

WAITING_RECEIVE_BYTES = 64 * 1024


class MoreInputNeeded(Exception):  # noqa: N818 - an expected state, not an error
    """The next bytes of a request have not arrived."""


class ReceivedBytes:
    """Received bytes that have not been parsed, with the interface of an input file.

    Args:
        sock: Socket of the connection.
    """

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self._data: bytes | bytearray = b""
        self._position = 0
        self.has_ended = False
        """Whether the caller has sent its last byte."""

        self.is_overdue = False
        """Whether the time limit of the request is exceeded."""

        self.bytes_read = 0
        self._waits_until_s: float | None = None
        self._idle_timeout_s: float | None = None

    def __len__(self) -> int:
        return len(self._data) - self._position

    def receive(self, max_bytes: int) -> int | None:
        """Receive what has arrived, without waiting.

        Args:
            max_bytes: Largest number of bytes.

        Returns:
            Number of bytes, 0 at the end of the input, None if nothing has arrived.
        """
        try:
            # The method of the base class: TimeoutSocket reports a time-out instead.
            data = socket.socket.recv(self._socket, max_bytes, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        if data:
            self._append(data)
        else:
            self.has_ended = True
        return len(data)

    def take(self) -> bytes:
        """Return all bytes and remove them."""
        data = bytes(self._data)
        if self._position:
            data = data[self._position :]
        self.close()
        return data

    def put_back(self, data: bytes) -> None:
        """Return bytes that belong to the next request.

        Args:
            data: The end of what `take` has returned.
        """
        self._append(data)

    def contains(self, separator: bytes, offset: int) -> int:
        """Return the offset behind the first separator from an offset, -1 for none."""
        found = self._data.find(separator, self._position + offset)
        return -1 if found < 0 else found + len(separator) - self._position

    def peek(self, offset: int) -> bytes:
        """Return the bytes from an offset without removing them."""
        return bytes(memoryview(self._data)[self._position + offset :])

    @property
    def position(self) -> int:
        """Position of the next byte, for `rewind`."""
        return self._position

    def rewind(self, position: int) -> None:
        """Return to an earlier position; nothing was removed since."""
        self._position = position

    def discard_parsed(self) -> None:
        """Free the bytes that have been parsed."""
        self._data = self.take()

    def readline(self, size: int | None = -1) -> bytes:
        """Read one line of at most ``size`` bytes.

        Raises:
            MoreInputNeeded: The line has not arrived completely.
        """
        start = self._position
        limit = sys.maxsize if size is None or size < 0 else start + size
        while True:
            end = self._data.find(b"\n", start, limit) + 1
            if end:
                return self._read_to(end)
            if limit <= len(self._data) or not self._receive_more():
                return self._read_to(min(limit, len(self._data)))

    def read(self, size: int | None = -1) -> bytes:
        """Read ``size`` bytes, or fewer at the end of the input.

        Raises:
            MoreInputNeeded: The bytes have not arrived completely.
        """
        end = sys.maxsize if size is None or size < 0 else self._position + size
        while end > len(self._data):
            if not self._receive_more():
                end = len(self._data)
        return self._read_to(end)

    def has_data(self) -> bool:
        """Return whether bytes of a next request have been received."""
        return len(self._data) > self._position

    def close(self) -> None:
        """Free the bytes."""
        self._data = b""
        self._position = 0

    def _append(self, data: bytes) -> None:
        if not self._data:
            # Most requests arrive in one piece, which is not copied.
            self._data = data
            return
        if isinstance(self._data, bytes):
            self._data = bytearray(self._data)
        self._data += data

    def wait_for_input(self, timeout_s: float) -> None:
        """Wait for missing bytes from now on, until `end_request`.

        Args:
            timeout_s: Time limit for all of them.
        """
        self._waits_until_s = time.monotonic() + timeout_s

    def end_request(self) -> None:
        """Wait no longer for missing bytes."""
        if self._waits_until_s is not None:
            self._waits_until_s = None
            if self._idle_timeout_s is not None:
                self._socket.settimeout(self._idle_timeout_s)
                self._idle_timeout_s = None

    def _receive_more(self) -> bool:
        """Receive missing bytes; return False at the end of the input."""
        if self.has_ended:
            return False
        if self.is_overdue:
            raise TimeoutError("timed out")
        if self._waits_until_s is None:
            raise MoreInputNeeded
        remaining_s = self._waits_until_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        if self._idle_timeout_s is None:
            self._idle_timeout_s = self._socket.kernel_timeout_s
        idle_timeout_s = self._idle_timeout_s
        self._socket.settimeout(
            remaining_s if idle_timeout_s is None else min(remaining_s, idle_timeout_s)
        )
        data = self._socket.recv(WAITING_RECEIVE_BYTES)
        self._append(data)
        self.has_ended = not data
        return bool(data)

    def _read_to(self, end: int) -> bytes:
        data = bytes(memoryview(self._data)[self._position : end])
        self._position = end
        self.bytes_read += len(data)
        return data
