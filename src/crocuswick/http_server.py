"""A threaded HTTP server with a start and stop life cycle."""

from __future__ import annotations

import contextlib
import threading
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from cheroot import server, wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from crocuswick.byte_budget import ByteBudget, node_full
from crocuswick.draining import AnswerDeadline, draining_refusal
from crocuswick.errors import Refusal
from crocuswick.http_workers import HttpWorkers
from crocuswick.intake import (
    ChunkedBody,
    MoreInputNeeded,
    Phase,
    ReceivedBytes,
    TimeLimits,
)
from crocuswick.intake.connection import IntakeConnection
from crocuswick.outcome import Outcome
from crocuswick.problem import problem_body, problem_headers

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["HttpServer"]

ACCEPT_BACKLOG = 512
STOP_TIMEOUT_S = 2
MAX_IDLE_CONNECTIONS = 1024
MAX_HEAD_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 0.2
"""Time for which unread request bytes are discarded before a connection closes."""

REQUEST_TIMEOUT_S = 30.0
"""Time limit for a request's head to arrive."""

MIN_BODY_RATE = 1_024.0
"""Bytes a second at which a body must arrive."""

MAX_WAITING_BYTES = 8 * 1024 * 1024
MAX_RECEIVED_BYTES = 64 * 1024 * 1024

BAD_REQUEST = "400 Bad Request"


class Request(server.HTTPRequest):
    """A request that is refused with problem+json when its head is malformed."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._chunks: ChunkedBody | None = None
        self._framed_bytes = 0

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

    def respond(self) -> None:
        """Let the application answer.

        Raises:
            MoreInputNeeded: The body has not arrived completely.
        """
        received = self.conn.rfile
        if isinstance(received, ReceivedBytes):
            if not self.collect_body():
                raise MoreInputNeeded
            # The application refuses a body that is larger than what is collected. If it
            # reads the rest instead, it waits for it.
            received.wait_for_input(self.server.request_timeout_s)
        super().respond()

    def collect_body(self) -> bool:
        """Examine the received part of the body.

        Returns:
            Whether the application can answer.
        """
        received = self.conn.rfile
        size_bytes = len(received)
        if received.has_ended or received.is_overdue:
            return True
        if size_bytes >= self.server.max_waiting_bytes:
            return True
        if not self.chunked_read:
            return size_bytes >= int(self.inheaders.get(b"Content-Length", 0))
        if self._chunks is None:
            self._chunks = ChunkedBody(self.server.max_waiting_bytes)
        self._chunks.feed(received.peek(self._framed_bytes))
        self._chunks.body.clear()
        self._framed_bytes = size_bytes
        return self._chunks.is_decided

    def is_too_late(self) -> bool:
        """Whether the request, whose body is missing, would be refused."""
        return self.server.refuses_requests

    def refuse_too_late(self) -> None:
        """Refuse the request because the server stops."""
        self._send_refusal(draining_refusal())

    def refuse_for_room(self) -> None:
        """Refuse the request because there is no room for it."""
        if not self.sent_headers:
            self._send_refusal(node_full())

    def end(self) -> None:
        """End the request, which was answered or whose connection is closed."""

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
        self._send_refusal(_head_refusal(status, msg))

    def _send_refusal(self, refusal: Refusal) -> None:
        self.close_connection = True
        self.conn.unread_body = True
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


class PlainConnection(IntakeConnection):
    """A connection without TLS."""

    RequestHandlerClass = Request

    def time_out(self) -> bool:
        """End the request, whose time limit is exceeded.

        Returns:
            Whether the application answers, which reads the body up to its end.
        """
        if self.progress.phase is not Phase.BODY or self.is_too_late():
            return super().time_out()
        self.rfile.is_overdue = True
        return True


class TlsConnection(server.HTTPConnection):
    """A connection with TLS. An incomplete request holds a thread."""

    RequestHandlerClass = Request
    unread_body = False


class Server(wsgi.Server):
    """The WSGI server; its connections are `PlainConnection` unless it has TLS."""

    ConnectionClass = PlainConnection
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    max_request_header_size = MAX_HEAD_BYTES
    request_timeout_s = REQUEST_TIMEOUT_S
    answer_deadline = AnswerDeadline()
    refuses_requests = False

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
        request_timeout_s: Time limit for a request's head to arrive, and for the part
            of a body that the application reads while it arrives.
        max_waiting_bytes: Size of a body up to which it arrives before the application
            is called.
        max_received_bytes: Maximum of the bytes of all requests that arrive.
        max_connections: Number of connections that may be open, 0 for no limit.
        answer_deadline: Time by which all answers must have been sent, None for none.
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
        max_waiting_bytes: int = MAX_WAITING_BYTES,
        max_received_bytes: int = MAX_RECEIVED_BYTES,
        max_connections: int = 0,
        answer_deadline: AnswerDeadline | None = None,
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
        self._server.requests.connections.max_connections = max_connections
        self._server.request_timeout_s = request_timeout_s
        self._server.max_waiting_bytes = max_waiting_bytes
        self._server.byte_budget = ByteBudget(capacity_bytes=max_received_bytes)
        if answer_deadline is not None:
            self._server.answer_deadline = answer_deadline
        self._server.time_limits = TimeLimits(
            first_byte_s=idle_timeout_s,
            head_s=request_timeout_s,
            body_idle_s=idle_timeout_s,
            closing_s=DISCARD_TIMEOUT_S,
            min_body_rate=MIN_BODY_RATE,
        )
        if certificate_file:
            self._server.ConnectionClass = TlsConnection
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

    def refuse_requests(self) -> None:
        """Refuse requests whose body is missing, without waiting for it.

        The application has to refuse the others.
        """
        self._server.refuses_requests = True

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
