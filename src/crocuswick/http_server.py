"""A threaded HTTP server with a start and stop life cycle."""

from __future__ import annotations

import contextlib
import io
import math
import socket
import ssl
import threading
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from cheroot import server, wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from crocuswick.errors import Refusal
from crocuswick.http_workers import HttpWorkers
from crocuswick.outcome import Outcome
from crocuswick.problem import problem_body, problem_headers
from crocuswick.timeout_socket import TimeoutSocket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["HttpServer"]

ACCEPT_BACKLOG = 512
STOP_TIMEOUT_S = 2
MAX_IDLE_CONNECTIONS = 1024
READ_CHUNK_BYTES = 256 * 1024
MAX_HEAD_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 0.2
"""Time for which unread request bytes are discarded before a connection closes."""

REQUEST_TIMEOUT_S = 30.0
"""Time limit for a request's head and body to arrive."""

BAD_REQUEST = "400 Bad Request"


class SocketReader(io.BufferedReader):
    """A buffered reader over a connection, which counts the bytes read."""

    def __init__(self, sock: socket.socket):
        self._socket_io = RequestSocketIO(sock, "rb")
        super().__init__(self._socket_io)
        self.bytes_read = 0

    def read(self, size: int | None = -1) -> bytes:
        """Read up to ``size`` bytes, or all if it is negative or None."""
        if size is None or size < 0:
            data = super().read(size)
        else:
            data = b"".join(self._read_chunks(size))
        self.bytes_read += len(data)
        return data

    def _read_chunks(self, size: int) -> Iterator[bytes]:
        # The base class would allocate the whole size that the sender announces.
        while size > 0:
            chunk = super().read(min(size, READ_CHUNK_BYTES))
            if not chunk:
                return
            size -= len(chunk)
            yield chunk

    def readline(self, size: int | None = -1) -> bytes:
        """Read one line of up to ``size`` bytes."""
        line = super().readline(size)
        self.bytes_read += len(line)
        return line

    def begin_request(self, timeout_s: float) -> None:
        """Set the time limit for the next request to arrive.

        Args:
            timeout_s: Seconds from the first byte of the request.
        """
        self._socket_io.begin(timeout_s, has_begun=self.has_data())

    def has_data(self) -> bool:
        """Return whether received bytes are buffered and not yet read."""
        return self._socket_io.total_bytes > self.bytes_read


class RequestSocketIO(socket.SocketIO):
    """The receiving side of a socket, with a byte count and a request deadline."""

    total_bytes = 0
    _timeout_s = math.inf
    _deadline_s: float | None = None
    _idle_timeout_s: float | None = None

    def begin(self, timeout_s: float, *, has_begun: bool) -> None:
        """Set the time limit for the next request to arrive.

        Args:
            timeout_s: Seconds from the first byte of the request.
            has_begun: Whether the first byte has been received.
        """
        if self._idle_timeout_s is not None:
            self._sock.settimeout(self._idle_timeout_s)
            self._idle_timeout_s = None
        self._timeout_s = timeout_s
        self._deadline_s = time.monotonic() + timeout_s if has_begun else None

    def readinto(self, buffer: memoryview) -> int | None:
        """Receive into a buffer.

        Raises:
            TimeoutError: The sender was idle for too long, or the request deadline
                has passed.
        """
        if self._deadline_s is not None:
            self._shorten_timeout(self._deadline_s - time.monotonic())
        count = super().readinto(buffer)
        self.total_bytes += count or 0
        if self._deadline_s is None:
            self._deadline_s = time.monotonic() + self._timeout_s
        return count

    def _shorten_timeout(self, remaining_s: float) -> None:
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        if self._idle_timeout_s is None:
            self._idle_timeout_s = self._sock.kernel_timeout_s
        self._sock.settimeout(remaining_s)


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


def socket_file(
    sock: socket.socket, mode: str, _buffer_bytes: int
) -> SocketReader | SocketWriter:
    """Return the file object with which the server reads or writes a connection.

    Args:
        sock: Socket of the connection.
        mode: ``"rb"`` or ``"wb"``.
    """
    return SocketReader(sock) if mode == "rb" else SocketWriter(sock)


class Request(server.HTTPRequest):
    """A request that is refused with problem+json when its head is malformed."""

    def read_request_headers(self) -> bool:
        """Read and validate the headers.

        Returns:
            Whether they are valid; if not, the refusal has been sent.
        """
        if not super().read_request_headers():
            return False
        length = self.inheaders.get(b"Content-Length")
        if length is not None and not length.isdigit():
            self.simple_response(BAD_REQUEST, "Malformed Content-Length Header.")
            return False
        if self.response_protocol == "HTTP/1.1" and b"Host" not in self.inheaders:
            self.simple_response(BAD_REQUEST, "HTTP/1.1 requires a Host header.")
            return False
        if length is not None and b"Transfer-Encoding" in self.inheaders:
            detail = "Content-Length and Transfer-Encoding are mutually exclusive."
            self.simple_response(BAD_REQUEST, detail)
            return False
        return True

    def send_headers(self) -> None:
        """Send the response headers.

        If the response closes the connection, the rest of the request body is not
        awaited.
        """
        closes = (b"Connection", b"close") in self.outheaders
        if closes and (self.chunked_read or getattr(self.rfile, "remaining", 0)):
            self.close_connection = True
            self.conn.unread_body = True
        super().send_headers()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse the request and close its connection.

        Args:
            status: Status code and phrase.
            msg: Human-readable reason.
        """
        self.close_connection = True
        self.conn.unread_body = True
        refusal = _head_refusal(status, msg)
        body = problem_body(refusal, "")
        headers = {
            **problem_headers(refusal),
            "Content-Length": str(len(body)),
            "Connection": "close",
        }
        lines = [f"HTTP/1.1 {refusal.status} {HTTPStatus(refusal.status).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        # The caller may have closed the connection.
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head + body)


def _head_refusal(status: str, detail: str) -> Refusal:
    code = int(status[:3])
    if code in (HTTPStatus.NOT_IMPLEMENTED, HTTPStatus.HTTP_VERSION_NOT_SUPPORTED):
        code = HTTPStatus.BAD_REQUEST
    if code >= HTTPStatus.INTERNAL_SERVER_ERROR:
        # The application may have run before the error.
        return Refusal(
            status=code,
            title="internal-error",
            detail=status,
            outcome=Outcome.UNKNOWN,
            step="http",
        )
    return Refusal(
        status=code,
        title="bad-request",
        detail=detail or status,
        step="http",
        field=_offending_field(status, detail),
    )


def _offending_field(status: str, detail: str) -> str:
    """Return the part of the request that caused the refusal."""
    if status.startswith("501"):
        return "Transfer-Encoding"
    if status.startswith("408"):
        return "request"
    if status.startswith(("414", "505")) or "Request-" in detail or "URI" in detail:
        return "request-line"
    if "Host" in detail:
        return "Host"
    if "Content-Length" in detail:
        return "Content-Length"
    return "request-line" if "method" in detail.lower() else "headers"


class Connection(server.HTTPConnection):
    """A caller's connection with timeouts enforced by the kernel."""

    RequestHandlerClass = Request
    unread_body = False
    """Whether the connection is closed while request bytes may still arrive."""

    def __init__(self, http_server: server.HTTPServer, sock: socket.socket, makefile):
        # TLS sockets need their own timeouts and file objects.
        if not isinstance(sock, ssl.SSLSocket):
            sock = TimeoutSocket.from_socket(sock)
            makefile = socket_file
        super().__init__(http_server, sock, makefile)

    def communicate(self) -> bool:
        """Serve one request.

        Returns:
            Whether the connection stays open.
        """
        if isinstance(self.rfile, SocketReader):
            self.rfile.begin_request(self.server.request_timeout_s)
        return super().communicate()

    def close(self) -> None:
        """Close the connection so that the caller can still read the last response."""
        if self.unread_body and isinstance(self.socket, TimeoutSocket):
            # With unread bytes, the kernel would reset the connection and the caller
            # might lose the response.
            with contextlib.suppress(OSError):
                self._discard_received()
        super().close()

    def _discard_received(self) -> None:
        self.socket.shutdown(socket.SHUT_WR)
        self.socket.settimeout(DISCARD_TIMEOUT_S)
        deadline_s = time.monotonic() + DISCARD_TIMEOUT_S
        while time.monotonic() < deadline_s and self.socket.recv(READ_CHUNK_BYTES):
            pass


class Server(wsgi.Server):
    """The WSGI server, with `Connection` as its connection class."""

    ConnectionClass = Connection
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    max_request_header_size = MAX_HEAD_BYTES
    request_timeout_s = REQUEST_TIMEOUT_S

    def _serve_unservicable(self) -> None:
        """End the thread that answers connections for which the workers have no room.

        `HttpWorkers` turns none away.
        """


class HttpServer:
    """Serves one WSGI application on one port.

    Args:
        host: IP address to listen on.
        port: Port to listen on, 0 for any free port.
        application: WSGI application.
        threads: Number of requests served concurrently.
        idle_timeout_s: Seconds without a byte after which a connection is closed.
        request_timeout_s: Time limit for a request's head and body to arrive.
        certificate_file: Certificate chain in PEM, empty for plain HTTP.
        key_file: Private key in PEM.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        application: Callable,
        threads: int,
        idle_timeout_s: float = 10.0,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
        certificate_file: str = "",
        key_file: str = "",
    ):
        self._server = Server(
            (host, port),
            application,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=idle_timeout_s,
            shutdown_timeout=STOP_TIMEOUT_S,
            server_name="crocuswick",
        )
        self._server.requests = HttpWorkers(
            server=self._server, max_threads=threads, name=f"http-{host}:{port}"
        )
        self._server.request_timeout_s = request_timeout_s
        if certificate_file:
            self._server.ssl_adapter = BuiltinSSLAdapter(certificate_file, key_file)
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{host}:{port}", daemon=True
        )

    @property
    def address(self) -> str:
        """``host:port`` that the server listens on."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.prepare()
        self._thread.start()
        while not self._server.ready:
            time.sleep(0.001)

    def reload_certificate(self) -> None:
        """Reload the certificate and its key, for new connections.

        Raises:
            OSError: The files can't be read or don't match.
        """
        adapter = self._server.ssl_adapter
        if adapter is not None:
            adapter.context.load_cert_chain(adapter.certificate, adapter.private_key)

    def stop(self) -> None:
        """Close the port and stop the worker threads."""
        self._server.stop()
        self._thread.join(timeout=STOP_TIMEOUT_S)
