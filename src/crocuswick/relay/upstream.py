"""HTTP exchange with a replica on a connection of its own."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Sequence
from http.client import HTTPConnection as PlainConnection
from http.client import HTTPException
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result
from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from crocuswick.bounded_answer import StrictConnection
from crocuswick.errors import PeerError
from crocuswick.host_port import HostPort
from crocuswick.malformed import MALFORMED
from crocuswick.outcome import Outcome

if TYPE_CHECKING:
    from crocuswick.strict_answer import StrictAnswer

__all__ = ["Upstream", "UpstreamRequest", "UpstreamResponse"]

READ_BYTES = 64 * 1024
ADDED_BY_LIBRARY = ("Accept-Encoding", "User-Agent")
"""Headers that the HTTP library would add to a request without them."""

CONNECT_TIMEOUT_S = 0.3
"""Handshake timeout. A handshake takes a few milliseconds; a lost packet would be sent
again only after a second."""

TIMEOUT_TOLERANCE_S = 0.1
"""Time by which a read may exceed its limit; a final answer may be half a second
late."""

ACKNOWLEDGEMENT_TIMEOUT_MS = 3_000
"""Time without acknowledgement of sent data after which the connection is closed, for
example in a network partition."""


@attrs.frozen(kw_only=True)
class UpstreamRequest:
    """A request as sent to a replica."""

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes | bytearray


@attrs.frozen(kw_only=True)
class UpstreamResponse:
    """Status line and headers as received from a replica."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    is_framed: bool
    """Whether the body has a length or chunks. Otherwise it ends with its connection."""


class Upstream:
    """Sends one request to a replica and reads its answer in chunks.

    Each connection is used once. No request can be lost on a stale connection, and no
    late answer can be mistaken for that of a later request.

    Args:
        replica_id: Id of the replica for error messages.
        address: ``host:port``.
    """

    def __init__(self, *, replica_id: str, address: str):
        peer = HostPort.parse(address)
        self._replica_id = replica_id
        self._connection = StrictConnection(
            peer.host, peer.port, timeout=CONNECT_TIMEOUT_S
        )
        self._socket: socket.socket | None = None
        self._response: StrictAnswer | None = None
        self._timeout_s = 0.0
        self._lock = threading.Lock()
        self._is_aborted = False

    def connect(self, timeout_s: float) -> Result[None, PeerError]:
        """Open the connection; after an error, nothing was sent.

        Args:
            timeout_s: Time limit for the handshake.
        """
        self._connection.timeout = min(CONNECT_TIMEOUT_S, timeout_s)
        try:
            self._connection.connect()
            self._connection.sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS
            )
        except (HTTPError, OSError, *MALFORMED) as error:
            return Err(self._error("connect", error, Outcome.NOT_RUN))
        with self._lock:
            self._socket = self._connection.sock
            if self._is_aborted:
                aborted = ConnectionAbortedError("aborted during the handshake")
                return Err(self._error("connect", aborted, Outcome.NOT_RUN))
        return Ok(None)

    @property
    def has_unsolicited_bytes(self) -> bool:
        """Whether the replica has sent bytes, or closed, before it was sent a request.

        They would be taken for the answer to the request that is sent next.
        """
        return self._connection.has_unsolicited_bytes

    def send(
        self, request: UpstreamRequest, timeout_s: float
    ) -> Result[UpstreamResponse, PeerError]:
        """Send a request and read the head of its answer.

        Args:
            request: The request.
            timeout_s: Longest time without data before the head.

        Returns:
            The head, or an error after which the request may have run.
        """
        try:
            self._connection.timeout = self._timeout_s = timeout_s
            self._write(request)
            # urllib3's response class doubles the cost of reading the bytes, and none
            # of what it adds (decoding, retries, pooling) is used here.
            self._response = PlainConnection.getresponse(self._connection)
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            return Err(self._error("send", error, Outcome.UNKNOWN))
        return Ok(
            UpstreamResponse(
                status=self._response.status,
                reason=self._response.reason or "",
                headers=tuple(self._response.headers.items()),
                is_framed=self._response.is_framed,
            )
        )

    def read(self, timeout_s: float) -> Result[bytes, PeerError]:
        """Read the next bytes of the body.

        Args:
            timeout_s: Longest time without data before the next byte.

        Returns:
            The bytes, empty at the end of the body, or an error if the body is
            truncated.
        """
        if self._response.closed:
            return Ok(b"")
        try:
            self._set_timeout(timeout_s)
            data = self._response.read1(READ_BYTES)
        except (HTTPError, HTTPException, OSError, ValueError) as error:
            return Err(self._error("read", error, Outcome.UNKNOWN))
        if not data and self._is_truncated():
            detail = ConnectionError("the body ended early")
            return Err(self._error("read", detail, Outcome.UNKNOWN))
        return Ok(data)

    def abort(self) -> None:
        """Make the current or next call on another thread fail."""
        with self._lock:
            self._is_aborted = True
            if self._socket is not None:
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; the replica then cancels an unfinished request."""
        with self._lock:
            if self._response is not None:
                self._response.close()
            self._connection.close()
            self._socket = None

    def _set_timeout(self, timeout_s: float) -> None:
        """Set the socket's timeout unless the current one is close enough.

        Setting it costs a system call, which would be made for each event.
        """
        if not 0 <= self._timeout_s - timeout_s <= TIMEOUT_TOLERANCE_S:
            self._timeout_s = timeout_s
            self._socket.settimeout(timeout_s)

    def _write(self, request: UpstreamRequest) -> None:
        headers = HTTPHeaderDict(request.headers)
        for name in ADDED_BY_LIBRARY:
            headers.setdefault(name, SKIP_HEADER)
        self._connection.request(
            request.method,
            request.target,
            body=request.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )

    def _is_truncated(self) -> bool:
        """Whether the end of the connection is not that of the body."""
        if self._response.length:
            return True
        # A socket that was shut down, or whose reset was reported to a write, reads
        # like one that the replica has closed.
        return self._is_aborted or (
            self._connection.has_lost_request and not self._response.is_framed
        )

    def _error(self, step: str, error: Exception, outcome: Outcome) -> PeerError:
        return PeerError(
            step=step,
            peer=self._replica_id,
            detail=f"{type(error).__name__}: {error}",
            outcome=outcome,
            timed_out="timed out" in str(error) or isinstance(error, TimeoutError),
        )
