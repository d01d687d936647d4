"""A threaded HTTP server as a component with a life cycle."""

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
from crocuswick.outcome import Outcome
from crocuswick.problem import problem_body, problem_headers
from crocuswick.timeout_socket import TimeoutSocket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["HttpServer"]

ACCEPT_BACKLOG = 512
STOP_TIMEOUT_S = 2
MAX_IDLE_CONNECTIONS = 1024
READ_PIECE_BYTES = 256 * 1024
MAX_HEAD_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 0.2
REQUEST_TIMEOUT_S = 30.0
"""Time in which a request's head and body must have arrived."""

BAD_REQUEST = "400 Bad Request"


class SocketReader(io.BufferedReader):
    """Buffers what a connection receives."""

    def __init__(self, sock: socket.socket):
        self._received = ReceivedBytes(sock, "rb")
        super().__init__(self._received)
        self.bytes_read = 0

    def read(self, size: int | None = -1) -> bytes:
        """Read as any buffered reader does."""
        if size is None or size < 0:
            data = super().read(size)
        else:
            data = b"".join(self._pieces(size))
        self.bytes_read += len(data)
        return data

    def _pieces(self, size: int) -> Iterator[bytes]:
        # The base class reserves memory for all that a sender announces.
        while size > 0:
            piece = super().read(min(size, READ_PIECE_BYTES))
            if not piece:
                return
            size -= len(piece)
            yield piece

    def readline(self, size: int | None = -1) -> bytes:
        """Read one line as any buffered reader does."""
        line = super().readline(size)
        self.bytes_read += len(line)
        return line

    def begin_request(self, timeout_s: float) -> None:
        """Bound the time in which the next request must have arrived.

        Args:
            timeout_s: Seconds from its first byte on.
        """
        self._received.begin(timeout_s, has_begun=self.has_data())

    def has_data(self) -> bool:
        """Tell whether received bytes are left to be read."""
        return self._received.total > self.bytes_read


class ReceivedBytes(socket.SocketIO):
    """The receiving side of a socket, which counts its bytes."""

    total = 0
    _timeout_s = math.inf
    _deadline_s: float | None = None
    _idle_timeout_s: float | None = None

    def begin(self, timeout_s: float, *, has_begun: bool) -> None:
        """Bound the time in which the next request must have arrived.

        Args:
            timeout_s: Seconds from its first byte on.
            has_begun: Whether that byte has been received.
        """
        if self._idle_timeout_s is not None:
            self._sock.settimeout(self._idle_timeout_s)
            self._idle_timeout_s = None
        self._timeout_s = timeout_s
        self._deadline_s = time.monotonic() + timeout_s if has_begun else None

    def readinto(self, buffer: memoryview) -> int | None:
        """Receive into a buffer.

        Raises:
            TimeoutError: The sender was silent or took too long as a whole.
        """
        if self._deadline_s is not None:
            self._shorten_timeout(self._deadline_s - time.monotonic())
        count = super().readinto(buffer)
        self.total += count or 0
        if self._deadline_s is None:
            self._deadline_s = time.monotonic() + self._timeout_s
        return count

    def _shorten_timeout(self, left_s: float) -> None:
        if left_s <= 0:
            raise TimeoutError("timed out")
        if self._idle_timeout_s is None:
            self._idle_timeout_s = self._sock.kernel_timeout_s
        self._sock.settimeout(left_s)


class SocketWriter:
    """Sends each piece of an answer at once, with one call."""

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send everything.

        Args:
            data: The piece.

        Returns:
            Its length.
        """
        self._socket.sendall(data)
        self.bytes_written += len(data)
        return len(data)


def socket_file(
    sock: socket.socket, mode: str, _buffer_bytes: int
) -> SocketReader | SocketWriter:
    """Return the file through which the server uses a connection.

    Args:
        sock: Socket of the connection.
        mode: ``"rb"`` or ``"wb"``.
    """
    return SocketReader(sock) if mode == "rb" else SocketWriter(sock)


class Request(server.HTTPRequest):
    """A request that is refused with problem+json when its head is bad."""

    def read_request_headers(self) -> bool:
        """Read the headers.

        Returns:
            Whether they are sound; if not, the refusal has been sent.
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
            detail = "Content-Length and Transfer-Encoding exclude each other."
            self.simple_response(BAD_REQUEST, detail)
            return False
        return True

    def send_headers(self) -> None:
        """Send the answer's headers.

        An answer that ends the connection doesn't wait for the rest of the body.
        """
        closes = (b"Connection", b"close") in self.outheaders
        if closes and (self.chunked_read or getattr(self.rfile, "remaining", 0)):
            self.close_connection = True
            self.conn.unread_body = True
        super().send_headers()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse the request and end its connection.

        Args:
            status: Status code and phrase.
            msg: What is wrong, for people.
        """
        self.close_connection = True
        self.conn.unread_body = True
        refusal = _bad_head(status, msg)
        body = problem_body(refusal, "")
        headers = {
            **problem_headers(refusal),
            "Content-Length": str(len(body)),
            "Connection": "close",
        }
        lines = [f"HTTP/1.1 {refusal.status} {HTTPStatus(refusal.status).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        # A caller that has gone away needs no answer.
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head + body)


def _bad_head(status: str, detail: str) -> Refusal:
    code = int(status[:3])
    if code in (HTTPStatus.NOT_IMPLEMENTED, HTTPStatus.HTTP_VERSION_NOT_SUPPORTED):
        code = HTTPStatus.BAD_REQUEST
    if code >= HTTPStatus.INTERNAL_SERVER_ERROR:
        # The application may have run before this.
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
        field=_bad_field(status, detail),
    )


def _bad_field(status: str, detail: str) -> str:
    """Return the part of a request that is to blame for a refusal."""
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
    """A caller's connection whose timeouts are kept by the kernel."""

    RequestHandlerClass = Request
    unread_body = False
    """Whether the connection ends although its sender may still send."""

    def __init__(self, http_server: server.HTTPServer, sock: socket.socket, makefile):
        # TLS needs the socket's own timeouts and files.
        if not isinstance(sock, ssl.SSLSocket):
            sock = TimeoutSocket.adopt(sock)
            makefile = socket_file
        super().__init__(http_server, sock, makefile)

    def communicate(self) -> bool:
        """Serve one request.

        Returns:
            Whether the connection is kept.
        """
        if isinstance(self.rfile, SocketReader):
            self.rfile.begin_request(self.server.request_timeout_s)
        return super().communicate()

    def close(self) -> None:
        """Close the connection once the last answer can be read."""
        if self.unread_body and isinstance(self.socket, TimeoutSocket):
            # Unread bytes would make the kernel reset the connection, and the
            # caller might lose the answer.
            with contextlib.suppress(OSError):
                self._discard_received()
        super().close()

    def _discard_received(self) -> None:
        self.socket.shutdown(socket.SHUT_WR)
        self.socket.settimeout(DISCARD_TIMEOUT_S)
        deadline_s = time.monotonic() + DISCARD_TIMEOUT_S
        while time.monotonic() < deadline_s and self.socket.recv(READ_PIECE_BYTES):
            pass


class Server(wsgi.Server):
    """The WSGI server with connections of our own class."""

    ConnectionClass = Connection
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    max_request_header_size = MAX_HEAD_BYTES
    request_timeout_s = REQUEST_TIMEOUT_S


class HttpServer:
    """Serves one WSGI application on one port.

    Args:
        host: IP number to listen at.
        port: Port to listen at, 0 for any free one.
        application: WSGI application.
        threads: Requests served at once.
        idle_timeout_s: Seconds without a byte after which a connection ends.
        request_timeout_s: Seconds in which a request's head and body must arrive.
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
            numthreads=threads,
            max=threads,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=idle_timeout_s,
            shutdown_timeout=STOP_TIMEOUT_S,
            server_name="crocuswick",
        )
        self._server.request_timeout_s = request_timeout_s
        if certificate_file:
            self._server.ssl_adapter = BuiltinSSLAdapter(certificate_file, key_file)
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{host}:{port}", daemon=True
        )

    @property
    def address(self) -> str:
        """``host:port`` that the server listens at."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.prepare()
        self._thread.start()
        while not self._server.ready:
            time.sleep(0.001)

    def reload_certificate(self) -> None:
        """Read the certificate and its key again, for new connections.

        Raises:
            OSError: The files can't be read or don't fit together.
        """
        adapter = self._server.ssl_adapter
        if adapter is not None:
            adapter.context.load_cert_chain(adapter.certificate, adapter.private_key)

    def stop(self) -> None:
        """Close the port and end the serving threads."""
        self._server.stop()
        self._thread.join(timeout=STOP_TIMEOUT_S)
