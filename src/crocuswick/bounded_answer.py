"""HTTP answers of servers that may send bytes without end."""

from __future__ import annotations

import io
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import attrs
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import NewConnectionError, ProtocolError
from urllib3.util.wait import wait_for_read

from crocuswick.strict_answer import StrictAnswer, has_lost_framing

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

__all__ = [
    "Answer",
    "AnswerTooLargeError",
    "BoundedHeadAnswer",
    "StrictConnection",
    "StrictPool",
    "bounded_pool",
    "fetch",
]

MAX_HEAD_BYTES = 128 * 1024
"""Bytes up to the end of an answer's head, with any interim answers before it."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Bytes of a whole answer to a call of this node. The store's largest answers have a few
megabytes."""

MAX_BODY_S = 2.0
"""Time in seconds for an answer, in addition to the longest wait for its next byte."""

READ_BYTES = 64 * 1024
FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


class AnswerTooLargeError(OSError):
    """A server has sent more bytes than it may."""


@attrs.frozen(kw_only=True)
class Answer:
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    data: bytes


class _BoundedReader(io.RawIOBase):
    """Reads from a socket up to a number of bytes and a time."""

    def __init__(self, raw: io.RawIOBase, *, max_bytes: float):
        self._raw = raw
        self.remaining_bytes = max_bytes
        self.deadline_s = float("inf")
        """Monotonic time."""

    def readable(self) -> bool:
        """Return True, as required of a reader."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes.

        Raises:
            AnswerTooLargeError: The limit was exceeded.
            TimeoutError: The time has passed.
        """
        if time.monotonic() > self.deadline_s:
            raise TimeoutError("timed out: the answer goes on")
        received = self._raw.readinto(buffer)
        self.remaining_bytes -= received or 0
        if self.remaining_bytes < 0:
            raise AnswerTooLargeError("the answer exceeds the size limit")
        return received

    def close(self) -> None:
        """Close the socket's reader."""
        self._raw.close()
        super().close()


class BoundedHeadAnswer(StrictAnswer):
    """An answer whose head is limited; its user limits the body.

    Of its trailers only the first line is read, so that its connection can't be used
    again.
    """

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any):
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        self._reader = _BoundedReader(
            sock.makefile("rb", buffering=0), max_bytes=MAX_HEAD_BYTES
        )
        self.fp = io.BufferedReader(self._reader)

    def begin(self) -> None:
        """Read the head."""
        super().begin()
        self._reader.remaining_bytes = float("inf")

    def _read_and_discard_trailer(self) -> None:
        """Read one line; trailers may come without end after a complete body."""
        self._read_trailer_line()


class _BoundedAnswer(BoundedHeadAnswer):
    """An answer that is limited as a whole, in bytes and time."""

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any):
        super().__init__(sock, *args, **kwargs)
        timeout_s = sock.gettimeout() or 0.0
        self._reader.deadline_s = time.monotonic() + timeout_s + MAX_BODY_S

    def begin(self) -> None:
        """Read the head."""
        super().begin()
        self._reader.remaining_bytes = MAX_ANSWER_BYTES
        # A read of the whole body allocates its announced length at once.
        if self.length is not None and self.length > MAX_ANSWER_BYTES:
            raise AnswerTooLargeError("the announced length exceeds the size limit")

    def _read_and_discard_trailer(self) -> None:
        """Read the trailers, because the connection is used again."""
        StrictAnswer._read_and_discard_trailer(self)


class StrictConnection(HTTPConnection):
    """A connection on which an answer can only be that to the request that is written.

    Bytes that come before the request belong to an earlier one. A server may answer before
    it has read the whole body; if that answer ends with the connection, its end may be the
    reset which the writing met.
    """

    response_class = BoundedHeadAnswer
    on_connect: Callable[[socket.socket], None] | None = None
    """Called with the socket of each new connection."""

    has_lost_request = False
    """Whether the last request was not written completely."""

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self.sock = self.wrap_socket(self.sock)
        if self.on_connect is not None:
            self.on_connect(self.sock)

    def wrap_socket(self, sock: socket.socket) -> socket.socket:
        """Return the socket to use in place of a connected one."""
        return sock

    @property
    def has_unsolicited_bytes(self) -> bool:
        """Whether bytes, or the end, have come on the open connection before a request."""
        return wait_for_read(self.sock, timeout=0.0)

    def request(self, method: str, url: str, body: Any = None, **options: Any) -> None:
        """Write a request.

        Raises:
            NewConnectionError: The connection can't be used; nothing was written.
            OSError: It was not written, and there is no body whose answer may have come.
        """
        self.has_lost_request = False
        if self.sock is None:
            self.connect()
        if self.has_unsolicited_bytes:
            raise NewConnectionError(self, "bytes came before the request")
        try:
            super().request(method, url, body=body, **options)
        except ConnectionError:
            self.has_lost_request = True
            if not body:
                raise


class _BoundedConnection(StrictConnection):
    response_class = _BoundedAnswer

    def getresponse(self) -> urllib3.HTTPResponse:
        """Read the head of the answer."""
        response = super().getresponse()
        response.has_lost_request = self.has_lost_request
        return response


class StrictPool(urllib3.HTTPConnectionPool):
    """A pool of strict connections.

    Args:
        on_connect: Called with the socket of each new connection, None for nothing.
        options: Arguments of urllib3's pool.
    """

    ConnectionCls = StrictConnection

    def __init__(
        self,
        *args: Any,
        on_connect: Callable[[socket.socket], None] | None = None,
        **options: Any,
    ):
        super().__init__(*args, **options)
        self._on_connect = on_connect

    def _new_conn(self) -> StrictConnection:
        connection = super()._new_conn()
        connection.on_connect = self._on_connect
        return connection


class _BoundedPool(StrictPool):
    ConnectionCls = _BoundedConnection


def bounded_pool(
    host: str,
    port: int,
    *,
    max_connections: int = 1,
    on_connect: Callable[[socket.socket], None] | None = None,
) -> StrictPool:
    """Return a pool whose answers are read strictly and limited in bytes and time.

    Args:
        host: IP address of the server.
        port: Port of the server.
        max_connections: Number of connections that are kept open.
        on_connect: Called with the socket of each new connection, None for nothing.
    """
    return _BoundedPool(
        host, port, maxsize=max_connections, retries=False, on_connect=on_connect
    )


def fetch(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    path: str,
    *,
    timeout: urllib3.Timeout,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> Answer:
    """Make a call and read the whole answer.

    Args:
        pool: A pool made by `bounded_pool`.
        method: Method of the request.
        path: Path and query.
        timeout: Connect timeout and longest wait for the next byte.
        body: Request body, or None for a request without a body.
        headers: Headers of the request.

    Raises:
        HTTPError: The call failed, or the answer is truncated or exceeds its limits.
        OSError: The same.
    """
    response = pool.request(
        method, path, body=body, headers=headers, timeout=timeout, preload_content=False
    )
    data = bytearray()
    try:
        # A read of the announced length would allocate that much at once.
        while piece := response.read1(READ_BYTES, decode_content=False):
            data += piece
    except BaseException:
        response.close()
        raise
    is_framed = not FRAMING_HEADERS.isdisjoint(map(str.lower, response.headers))
    if not is_framed and (response.has_lost_request or has_lost_framing(bytes(data))):
        response.close()
        raise ProtocolError("the end of the answer can't be told")
    response.release_conn()
    return Answer(status=response.status, headers=response.headers, data=bytes(data))
