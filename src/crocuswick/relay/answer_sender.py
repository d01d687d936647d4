"""Sending of an answer to a caller that may read slowly."""

from __future__ import annotations

import socket
import threading
import time
from collections import deque
from typing import TYPE_CHECKING

from crocuswick.byte_budget import ByteKind

if TYPE_CHECKING:
    from crocuswick.relay.slow_readers import SlowReaders

__all__ = ["AnswerSender", "UnreadAnswerError"]

MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes of a stream that are held for a caller that reads slowly."""

FULL_TIMEOUT_S = 3.0
"""Time for which a part of a stream waits for room in a full buffer. Its replica is not
read meanwhile."""

ROOM_CHECK_S = 0.1
KERNEL_BUFFER_BYTES = 128 * 1024
"""Requested size of the kernel's send buffer, which doubles it. By default it grows to 4 MB
for each connection, which the memory of a VM does not allow for many callers."""


class UnreadAnswerError(OSError):
    """An answer was cut off because its caller did not read it."""


class AnswerSender:
    """Sends the answer to one request, without waiting for the caller to read it.

    Data that the connection takes at once is sent by the calling thread. The rest is held
    and sent by `SlowReaders`.

    Args:
        connection: The caller's connection.
        readers: Sends the rest.
    """

    def __init__(self, *, connection: socket.socket, readers: SlowReaders):
        self._connection = connection
        self._readers = readers
        self._pending: deque[memoryview] = deque()
        self._reserved_bytes = 0
        self._changed = threading.Condition()
        self._is_added = False
        # Not the error itself, whose traceback would keep the answer in memory.
        self._failure: str | None = None
        self.pending_bytes = 0
        """Bytes that the connection has not taken yet."""

        self.progress_s = time.monotonic()
        """Monotonic time at which the connection last took bytes of the rest."""

        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)

    @property
    def has_failed(self) -> bool:
        """Whether the caller has not received all that was to be sent."""
        return self._failure is not None

    def send(self, data: bytes) -> None:
        """Send data that the caller of this method counts in the byte budget.

        Raises:
            OSError: The caller has left or did not read.
        """
        rest = self._send_at_once(data)
        if rest:
            with self._changed:
                self._append(rest)

    def send_part(self, data: bytes) -> None:
        """Send a part of a stream, and wait for some seconds if the buffer is full.

        Raises:
            OSError: The caller has left or did not read.
        """
        rest = self._send_at_once(data)
        if not rest:
            return
        size_bytes = len(rest)
        deadline_s = time.monotonic() + FULL_TIMEOUT_S
        with self._changed:
            while not self._has_room(size_bytes):
                if time.monotonic() >= deadline_s:
                    self._fail("the caller's buffer stays full")
                    continue
                self._changed.wait(ROOM_CHECK_S)
            self._reserved_bytes += size_bytes
            self._append(rest)

    def drain(self) -> None:
        """Wait until the connection has taken everything.

        Raises:
            OSError: The caller has left or did not read.
        """
        if self.pending_bytes or self._failure is not None:
            with self._changed:
                while self.pending_bytes:
                    self._changed.wait()
                self._raise_failure()

    def close(self) -> None:
        """Drop the rest and forget the connection, before it is closed or reused."""
        if self._is_added:
            self._readers.remove(self._connection.fileno())
            with self._changed:
                self._drop()

    def cut(self, detail: str) -> None:
        """Cut the answer off."""
        with self._changed:
            self._fail(detail)

    def flush(self) -> bool:
        """Send what the connection takes.

        Returns:
            Whether a rest remains.
        """
        with self._changed:
            try:
                while self._pending:
                    self._take(self._send(self._pending[0]))
            except BlockingIOError:
                pass
            except OSError as error:
                self._fail(str(error))
            self._changed.notify_all()
            return bool(self._pending)

    def _send_at_once(self, data: bytes) -> bytes | memoryview:
        """Send what the connection takes at once, and return the rest."""
        self._raise_failure()
        if self.pending_bytes:
            return data
        try:
            sent = self._send(data)
        except BlockingIOError:
            return data
        except OSError as error:
            with self._changed:
                self._fail(str(error))
            raise
        return data[:0] if sent == len(data) else memoryview(data)[sent:]

    def _send(self, data: bytes | memoryview) -> int:
        # The connection's own method would wait, and report a full buffer as a time-out.
        return socket.socket.send(self._connection, data, socket.MSG_DONTWAIT)

    def _has_room(self, size_bytes: int) -> bool:
        self._raise_failure()
        if self.pending_bytes and self.pending_bytes + size_bytes > MAX_BUFFERED_BYTES:
            return False
        if self._readers.budget.try_reserve(ByteKind.STREAM, size_bytes):
            return True
        self._readers.want_room(size_bytes)
        return False

    def _append(self, data: bytes | memoryview) -> None:
        self._raise_failure()
        if not self._pending:
            self.progress_s = time.monotonic()
        self._pending.append(memoryview(data))
        self.pending_bytes += len(data)
        if len(self._pending) == 1:
            self._is_added = True
            self._readers.add(self._connection.fileno(), self)

    def _take(self, sent: int) -> None:
        """Remove bytes that the connection has taken."""
        self.progress_s = time.monotonic()
        self.pending_bytes -= sent
        first = self._pending.popleft()
        if sent < len(first):
            self._pending.appendleft(first[sent:])
        self._release(min(sent, self._reserved_bytes))

    def _fail(self, detail: str) -> None:
        if self._failure is None:
            self._failure = detail
        self._drop()

    def _drop(self) -> None:
        self._pending.clear()
        self.pending_bytes = 0
        self._release(self._reserved_bytes)
        self._changed.notify_all()

    def _release(self, size_bytes: int) -> None:
        if size_bytes:
            self._reserved_bytes -= size_bytes
            self._readers.budget.release(ByteKind.STREAM, size_bytes)

    def _raise_failure(self) -> None:
        if self._failure is not None:
            raise UnreadAnswerError(self._failure)
