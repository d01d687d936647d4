"""Connection of a caller whose incomplete request holds no thread."""

from __future__ import annotations

import contextlib
import socket
import time
from typing import TYPE_CHECKING

import logbook
from cheroot import errors, server

from crocuswick.byte_budget import ByteKind
from crocuswick.intake.head_scan import HeadScan
from crocuswick.intake.progress import Phase, Progress
from crocuswick.intake.received_bytes import MoreInputNeeded, ReceivedBytes
from crocuswick.timeout_socket import TimeoutSocket

if TYPE_CHECKING:
    from crocuswick.byte_budget import ByteBudget
    from crocuswick.intake.waiting_requests import WaitingRequests

__all__ = ["IntakeConnection", "SocketWriter"]

logger = logbook.Logger(__name__)

HEAD_RECEIVE_BYTES = 16 * 1024
BODY_RECEIVE_BYTES = 64 * 1024

CHUNKED_RECEIVE_BYTES = 8 * 1024
"""Bytes of a body in chunks that are framed at a time. As chunks of one byte, they take
about 2 ms."""

SMALL_REQUEST_BYTES = 64 * 1024
"""Bytes of a request up to which it counts as a head. Small requests are served while
large bodies take all room that bodies may take."""


class NoRoom(Exception):  # noqa: N818 - a decision, not an error
    """The budget has no room for a request."""


class SocketWriter:
    """Sends the data of each write immediately, with one call."""

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send all bytes.

        Args:
            data: The bytes.

        Returns:
            Number of bytes sent.
        """
        self._socket.sendall(data)
        self.bytes_written += len(data)
        return len(data)


class ImmediateWriter:
    """Sends what the kernel takes without waiting for the caller."""

    def __init__(self, sock: socket.socket):
        self._socket = sock

    def write(self, data: bytes) -> int:
        """Send bytes and drop those for which the kernel has no room."""
        return socket.socket.send(self._socket, data, socket.MSG_DONTWAIT)


def _socket_file(
    sock: socket.socket, mode: str, _buffer_bytes: int
) -> ReceivedBytes | SocketWriter:
    return ReceivedBytes(sock) if mode == "rb" else SocketWriter(sock)


class IntakeConnection(server.HTTPConnection):
    """A connection of which a worker reads what is there, without waiting.

    The server has the attributes ``answer_deadline``, ``byte_budget`` and
    ``requests.waiting``. The class of its requests has the methods `collect_body`,
    `is_too_late`, `refuse_too_late`, `refuse_for_room`, `release_body` and `end`, and its
    `respond` raises `MoreInputNeeded` while the body is incomplete.
    """

    unread_body = False
    """Whether the connection is closed while request bytes may still arrive."""

    def __init__(self, http_server: server.HTTPServer, sock: socket.socket, _makefile):
        super().__init__(http_server, TimeoutSocket.from_socket(sock), _socket_file)
        self.progress = Progress(time.monotonic())
        self.awaits_input = False
        """Whether the last call of `communicate` ended for lack of input."""

        self._request: server.HTTPRequest | None = None
        self._scan: HeadScan | None = None
        self._should_parse = False
        self._head_bytes = 0
        self._held_bytes_by_kind = dict.fromkeys(
            (ByteKind.HEAD, ByteKind.BODY, ByteKind.ANSWER), 0
        )
        self._unsent: memoryview | None = None
        self._stays_open = False

    @property
    def _budget(self) -> ByteBudget:
        return self.server.byte_budget

    @property
    def _waiting(self) -> WaitingRequests:
        return self.server.requests.waiting

    def communicate(self) -> bool:
        """Serve the next request if it has arrived.

        Returns:
            Whether the connection stays open.
        """
        self.awaits_input = False
        stays_open = False
        try:
            stays_open = self._serve_next()
            if self._unsent:
                return self._begin_sending(stays_open=stays_open)
        except MoreInputNeeded:
            self.awaits_input = True
            return True
        except NoRoom:
            self._refuse_for_room()
        except OSError as error:
            self._on_socket_error(error)
        except Exception:  # noqa: BLE001 - only this connection is affected
            logger.exception("request of {} failed", self.remote_addr)
            self._respond_simply("500 Internal Server Error")
        self._end_request()
        if stays_open:
            self.progress.phase = Phase.IDLE
            return self._hold_next_request()
        return False

    def collect(self) -> bool:
        """Receive what has arrived, on the thread that waits for all requests.

        Returns:
            Whether a worker can go on with the request.

        Raises:
            OSError: The connection is to be closed.
        """
        if self.progress.phase is Phase.CLOSING:
            self._discard()
            return False
        if self.progress.phase is Phase.SENDING:
            return self._send_more()
        try:
            if not self._receive():
                return False
        except NoRoom:
            self.yield_room()
            raise ConnectionAbortedError("no room for the request") from None
        if self._request is None:
            self._should_parse = self._scan is None or self._scan.should_parse()
            return self._should_parse
        return self._request.collect_body()

    def is_too_late(self) -> bool:
        """Whether the server stops before the incomplete request could be answered."""
        if self.progress.phase is Phase.BODY:
            return self._request is not None and self._request.is_too_late()
        return (
            self.progress.phase is Phase.HEAD and self.server.answer_deadline.has_passed
        )

    def time_out(self) -> bool:
        """Refuse the request, which is too late or whose time limit is exceeded.

        Returns:
            Whether a worker goes on with it; otherwise the connection is to be closed.
        """
        if self.is_too_late():
            self.wfile = ImmediateWriter(self.socket)
            request = self._request or self.RequestHandlerClass(self.server, self)
            request.refuse_too_late()
        elif self.progress.phase not in (Phase.CLOSING, Phase.SENDING):
            self.wfile = ImmediateWriter(self.socket)
            self._respond_simply("408 Request Timeout")
        return False

    def yield_room(self) -> None:
        """Refuse the request, or end its answer, and free what it holds."""
        if self.progress.phase is Phase.SENDING:
            self._end_request()
            return
        self.wfile = ImmediateWriter(self.socket)
        self._refuse_for_room()
        self._end_request()

    def hold_exactly(self, body_bytes: int) -> None:
        """Release what was received and is not held, such as the sizes of chunks.

        Args:
            body_bytes: Bytes of the body that are held.
        """
        held_bytes = self._head_bytes + body_bytes + len(self.rfile)
        excess_bytes = self.progress.held_bytes - held_bytes
        kind = ByteKind.BODY
        if 0 < excess_bytes <= self._held_bytes_by_kind[kind]:
            self._budget.release(kind, excess_bytes)
            self._held_bytes_by_kind[kind] -= excess_bytes
            self.progress.held_bytes -= excess_bytes

    def send_last(self, data: bytes | bytearray) -> None:
        """Send the last bytes of an answer.

        Those that the kernel does not take are sent by the thread that waits for all
        requests, if there is room to hold them.
        """
        try:
            sent = socket.socket.send(self.socket, data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        if sent == len(data):
            return
        unsent = memoryview(data)[sent:]
        # All of it stays in memory until the last byte is sent.
        if self._budget.try_reserve(ByteKind.ANSWER, len(data)):
            self._held_bytes_by_kind[ByteKind.ANSWER] = len(data)
            self._unsent = unsent
        else:
            self.wfile.write(unsent)

    def close(self) -> None:
        """Close the connection so that the caller can still read the last answer."""
        self._end_request()
        if self.unread_body and self.progress.phase is not Phase.CLOSING:
            # With unread bytes, the kernel would reset the connection and the caller
            # might lose the answer.
            try:
                self.socket.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            else:
                self.rfile.close()
                self.progress.enter(Phase.CLOSING, time.monotonic())
                self._waiting.add(self)
                return
        self.server.requests.connections.remove(self)
        super().close()

    def _serve_next(self) -> bool:
        while True:
            try:
                return self._serve_received()
            except MoreInputNeeded:
                # Bodies in chunks are left to the thread that waits for all requests,
                # which bounds the time for framing them.
                if self._is_chunked_body() or not self._receive():
                    raise

    def _serve_received(self) -> bool:
        if self._request is None:
            self._parse_head()
        request = self._request
        if not request.ready:
            return False
        request.respond()
        return not request.close_connection

    def _parse_head(self) -> None:
        received = self.rfile
        if self._scan is None:
            limit = self.server.max_request_header_size
            self._scan = HeadScan(received, limit)
        if not (self._should_parse or self._scan.should_parse()):
            raise MoreInputNeeded
        self._should_parse = False
        position = received.position
        request = self.RequestHandlerClass(self.server, self)
        try:
            request.parse_request()
        except MoreInputNeeded:
            received.rewind(position)
            raise
        self._head_bytes = received.position - position
        received.discard_parsed()
        self._request = request
        self.progress.enter(Phase.BODY, time.monotonic())

    def _begin_sending(self, *, stays_open: bool) -> bool:
        """Leave the rest of the answer to the thread that waits for all requests."""
        self._stays_open = stays_open
        self._request.release_body()
        for kind in (ByteKind.HEAD, ByteKind.BODY):
            self._budget.release(kind, self._held_bytes_by_kind[kind])
            self._held_bytes_by_kind[kind] = 0
        self.progress.held_bytes = self._held_bytes_by_kind[ByteKind.ANSWER]
        self.progress.enter(Phase.SENDING, time.monotonic())
        self.awaits_input = True
        return True

    def _send_more(self) -> bool:
        """Send what the kernel takes.

        Returns:
            Whether the answer has been sent and the next request may be served.

        Raises:
            OSError: The connection is to be closed.
        """
        try:
            sent = socket.socket.send(self.socket, self._unsent, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        self.progress.add(sent, time.monotonic())
        self._unsent = self._unsent[sent:]
        if self._unsent:
            return False
        self._end_request()
        if not (self._stays_open and self._hold_next_request()):
            raise ConnectionAbortedError("the answer was the last one")
        self.progress.phase = Phase.HEAD if self.rfile.has_data() else Phase.IDLE
        return True

    def _receive(self) -> bool:
        """Receive once; return whether anything was received, or the end."""
        count = self.rfile.receive(self._receive_bytes())
        if count is None:
            return False
        if count:
            now_s = time.monotonic()
            if self.progress.phase in (Phase.NEW, Phase.IDLE):
                self.progress.begin_request(now_s)
            self.progress.add(count, now_s)
            self._reserve(count)
        return True

    def _receive_bytes(self) -> int:
        if self._request is None:
            return HEAD_RECEIVE_BYTES
        if self._is_chunked_body():
            return CHUNKED_RECEIVE_BYTES
        return BODY_RECEIVE_BYTES

    def _is_chunked_body(self) -> bool:
        return self._request is not None and self._request.chunked_read

    def _reserve(self, size_bytes: int) -> None:
        is_small = self.progress.held_bytes + size_bytes <= SMALL_REQUEST_BYTES
        kind = ByteKind.HEAD if is_small else ByteKind.BODY
        while not self._budget.try_reserve(kind, size_bytes):
            if not self._waiting.make_room(self):
                raise NoRoom
        self._held_bytes_by_kind[kind] += size_bytes
        self.progress.held_bytes += size_bytes

    def _end_request(self) -> None:
        """Release what the request holds."""
        request, self._request = self._request, None
        if request is not None:
            request.end()
        self._scan = None
        self._should_parse = False
        self._head_bytes = 0
        self._unsent = None
        self.rfile.end_request()
        self.progress.held_bytes = 0
        for kind, size_bytes in self._held_bytes_by_kind.items():
            if size_bytes:
                self._budget.release(kind, size_bytes)
                self._held_bytes_by_kind[kind] = 0

    def _hold_next_request(self) -> bool:
        """Reserve the bytes of a next request that have arrived with the last one."""
        size_bytes = len(self.rfile)
        if size_bytes:
            self.progress.begin_request(time.monotonic())
            try:
                self._reserve(size_bytes)
            except NoRoom:
                return False
        return True

    def _refuse_for_room(self) -> None:
        self.unread_body = True
        if self._request is None:
            # The bytes for which there is no room may complete the head.
            with contextlib.suppress(MoreInputNeeded):
                self._parse_head()
        if self._request is not None and self._request.ready:
            self._request.refuse_for_room()

    def _respond_simply(self, status: str) -> None:
        request = self._request or self.RequestHandlerClass(self.server, self)
        if not request.sent_headers:
            request.simple_response(status)

    def _on_socket_error(self, error: OSError) -> None:
        if isinstance(error, TimeoutError):
            self._respond_simply("408 Request Timeout")
        elif error.errno not in errors.socket_errors_to_ignore:
            logger.warning("connection of {} failed: {!r}", self.remote_addr, error)
            self._respond_simply("500 Internal Server Error")

    def _discard(self) -> None:
        count = self.rfile.receive(BODY_RECEIVE_BYTES)
        self.rfile.close()
        if count == 0:
            raise ConnectionAbortedError("closed by the caller")
