"""HTTP server for callers whose requests are relayed."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import threading
import time
from typing import TYPE_CHECKING

from cheroot import server
from result import Err, Ok, Result

from crocuswick.byte_budget import node_full
from crocuswick.draining import draining_refusal
from crocuswick.host_port import HostPort
from crocuswick.http_server import DISCARD_TIMEOUT_S, Request
from crocuswick.http_workers import HttpWorkers
from crocuswick.intake import (
    BodyFraming,
    MoreInputNeeded,
    Phase,
    TimeLimits,
    body_framing,
)
from crocuswick.intake.connection import IntakeConnection
from crocuswick.listening_port import drop_handshakes
from crocuswick.relay.answer_estimate import leaves_time
from crocuswick.relay.answer_sender import AnswerSender
from crocuswick.relay.caller_watch import is_closed
from crocuswick.relay.refusal_answer import refusal_answer
from crocuswick.relay.relay_run import RelayRun
from crocuswick.relay.request_router import no_configuration, route_request
from crocuswick.relay.slow_readers import SlowReaders
from crocuswick.strict_head import HeaderFields, StrictHeaderReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.errors import Refusal
    from crocuswick.quota.quota_gate import QuotaCharge
    from crocuswick.relay.caller_watch import CallerWatch
    from crocuswick.relay.refusal_answer import CompleteAnswer
    from crocuswick.relay.relay_context import RelayContext
    from crocuswick.relay.relay_request import RoutedRequest
    from crocuswick.relay.serving import CallerLimits, ServingConfiguration

__all__ = ["RelayServer"]

ACCEPT_BACKLOG = 1_024

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Receive buffer of a connection. The kernel doubles it; without a bound it grows to
several MB for each connection, which counts to the memory of the VM."""

EXPIRY_CHECK_S = 0.5
STOP_TIMEOUT_S = 0.5
MAX_IDLE_CONNECTIONS = 2_048
NODE_FULL_RETRY_S = 0.5
ACCEPT_REST_S = 0.5
"""Longest time for which connections are still accepted before the port is closed. The
thread that accepts them may be late by some tenths of a second on a busy machine."""

ACCEPT_POLL_S = 0.005
LARGE_BODY_BYTES = 64 * 1024
"""Size from which a body stays in the buffer in which it was received, without a copy."""

MIN_BODY_RATE = 1_024.0
"""Bytes a second at which a body must arrive. The slowest links to be served, with losses,
are far faster."""

IDLE_TIMEOUT_FACTOR = 1.2
"""Multiple of the callers' idle time limit after which the server closes an idle
connection."""

MAX_JOINED_BYTES = 64 * 1024
"""Size up to which a body is copied, to be sent together with its head."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` with which closing a connection resets it."""
_LINE_END = "\r\n"


class RelayedRequest(Request):
    """A request whose head is parsed strictly."""

    header_reader = StrictHeaderReader()
    method = b""
    """Empty until the request line is read."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.inheaders = HeaderFields()
        self._gateway: RelayGateway | None = None

    def read_request_headers(self) -> bool:
        """Read the headers and return whether they are valid."""
        if not super().read_request_headers():
            return False
        encoding = self.inheaders.get(b"Transfer-Encoding")
        if encoding is not None and (
            encoding.lower() != b"chunked" or self.response_protocol != "HTTP/1.1"
        ):
            self.simple_response("400 Bad Request", "Unknown Transfer-Encoding.")
            return False
        return True

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse the request and close its connection."""
        if status.startswith(("413", "414")) and not self.ready:
            # cheroot also reports oversized heads with these codes; only its message
            # about an oversized body contains "entity sent".
            is_body = "entity sent" in msg
            status = status if is_body else "431 Request Header Fields Too Large"
        super().simple_response(status, msg)

    def respond(self) -> None:
        """Pass the request to the gateway.

        Raises:
            MoreInputNeeded: The body has not arrived completely.
        """
        self._open_gateway().respond()

    def collect_body(self) -> bool:
        """Add the bytes that were received to the body.

        Returns:
            Whether it is complete or refused.
        """
        return self._open_gateway().collect_body()

    def is_too_late(self) -> bool:
        """Whether the node exits before the request, whose body is missing, could be
        answered.
        """
        return self._gateway is not None and self._gateway.is_too_late()

    def refuse_too_late(self) -> None:
        """Refuse the request, of which a part is missing, because the node exits."""
        if not self.sent_headers:
            self._open_gateway().refuse_too_late()
            self.end()

    def refuse_for_room(self) -> None:
        """Refuse the request because the node has no room for it."""
        if not self.sent_headers:
            self._open_gateway().refuse_for_room()

    def release_body(self) -> None:
        """Free the body, which is no longer needed."""
        if self._gateway is not None:
            self._gateway.release_body()

    def end(self) -> None:
        """End the request, which was answered or whose connection is closed."""
        gateway, self._gateway = self._gateway, None
        if gateway is not None:
            gateway.end()

    def _open_gateway(self) -> RelayGateway:
        if self._gateway is None:
            self._gateway = self.server.gateway(self)
        return self._gateway


class RelayConnection(IntakeConnection):
    """A caller's connection."""

    RequestHandlerClass = RelayedRequest

    def __init__(self, http_server: _CherootServer, sock: socket.socket, makefile):
        # cheroot applies the idle time limit, which is 0 once the port is being closed:
        # a write would fail for which the caller makes room late.
        sock.settimeout(http_server.read_timeout_s)
        super().__init__(http_server, sock, makefile)


class _CherootServer(server.HTTPServer):
    ConnectionClass = RelayConnection
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    expiration_interval = EXPIRY_CHECK_S
    read_timeout_s = server.HTTPServer.timeout
    """Time for which a write of a connection waits."""

    def _serve_unservicable(self) -> None:
        """End the thread that answers connections for which the workers have no room.

        `HttpWorkers` turns none away.
        """


class RelayServer:
    """Serves callers, with one thread for each request in flight.

    Args:
        address: ``host:port`` to listen at.
        context: Dependencies shared by all requests.
        watch: Detects callers that disconnect.
        configuration: Returns the current configuration, None before the first one.
        threads: Number of requests served concurrently.
        buffers_answers: Whether replicas are read ahead of callers that read slowly.
        max_connections: Number of connections that callers may keep open, 0 for no
            limit.
    """

    def __init__(
        self,
        *,
        address: str,
        context: RelayContext,
        watch: CallerWatch,
        configuration: Callable[[], ServingConfiguration | None],
        threads: int,
        buffers_answers: bool = False,
        max_connections: int = 0,
    ):
        listen = HostPort.parse(address)
        self.context = context
        self.watch = watch
        self.configuration = configuration
        self.is_draining = False
        self._is_closing = False
        self._in_flight = 0
        self._lock = threading.Lock()
        self._server = _CherootServer(
            (listen.host, listen.port),
            lambda request: RelayGateway(request, self),
            server_name="crocuswick",
        )
        self._server.requests = HttpWorkers(
            server=self._server, max_threads=threads, name="callers"
        )
        self._server.requests.connections.max_connections = max_connections
        self._server.byte_budget = context.byte_budget
        self._server.answer_deadline = context.answer_deadline
        self._server.request_queue_size = ACCEPT_BACKLOG
        self._server.shutdown_timeout = STOP_TIMEOUT_S
        self._server.max_request_body_size = 0
        self._thread = threading.Thread(
            target=self._server.serve, name="callers", daemon=True
        )
        self.slow_readers: SlowReaders | None = None
        if buffers_answers:
            self.slow_readers = SlowReaders(
                budget=context.byte_budget,
                waiting=lambda: self._server.requests.qsize,
            )

    @property
    def in_flight(self) -> int:
        """Number of requests in flight or waiting for a thread."""
        return self._in_flight + self._server.requests.qsize

    @property
    def unfinished(self) -> int:
        """Number of requests in flight, of those whose head has begun to arrive, and of
        those whose refusal their callers may not have read yet.
        """
        phases = self.connections_by_phase
        return self.in_flight + phases[Phase.HEAD] + phases[Phase.CLOSING]

    @property
    def connections_by_phase(self) -> dict[Phase, int]:
        """Number of open connections by what they wait for."""
        return self._server.requests.connections.counts_by_phase()

    @property
    def intake_refusals_by_cause(self) -> dict[str, int]:
        """Number of refused requests and closed connections since the start."""
        workers = self._server.requests
        return {
            "time": workers.waiting.total_timed_out,
            "yielded": workers.waiting.total_yielded,
            "connections": workers.connections.total_closed,
        }

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.prepare()
        if self.slow_readers is not None:
            self.slow_readers.start()
        # Accepted connections inherit the option of the port.
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._thread.start()

    def stop(self) -> None:
        """Close the port and all connections."""
        self._server.stop()
        if self.slow_readers is not None:
            self.slow_readers.stop()

    def stop_accepting(self) -> None:
        """Refuse new connections, close idle ones and keep serving the others.

        A request that arrives on a connection while it is being closed is not read,
        so its caller can safely send it again. Connections that wait to be accepted
        are accepted first, since closing the port resets them.
        """
        self._is_closing = True
        # A request that is taken long after the shutdown began may outlast the grace
        # period, so that idle connections are closed first.
        self._server.timeout = 0
        drop_handshakes(self._server.socket)
        deadline_s = time.monotonic() + ACCEPT_REST_S
        while self._has_pending_connections() and time.monotonic() < deadline_s:
            time.sleep(ACCEPT_POLL_S)
        self._server.socket.close()

    def _has_pending_connections(self) -> bool:
        return bool(select.select([self._server.socket], [], [], 0)[0])

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply the limits on what callers may send."""
        self._server.max_request_header_size = limits.max_header_bytes
        idle_timeout_s = IDLE_TIMEOUT_FACTOR * limits.idle_timeout_ms / 1000
        self._server.read_timeout_s = idle_timeout_s
        self._server.time_limits = TimeLimits(
            first_byte_s=idle_timeout_s,
            head_s=limits.header_timeout_ms / 1000,
            body_idle_s=limits.idle_timeout_ms / 1000,
            closing_s=DISCARD_TIMEOUT_S,
            min_body_rate=MIN_BODY_RATE,
        )
        if not self._is_closing:
            self._server.timeout = idle_timeout_s
        self.max_body_bytes = limits.max_body_bytes

    def count_in_flight(self, change: int) -> None:
        """Count a request as in flight, or no longer.

        Args:
            change: 1 once its head is known, -1 once it has ended.
        """
        with self._lock:
            self._in_flight += change


class RelayGateway(server.Gateway):
    """Relays one request and implements the exchange with its caller."""

    def __init__(self, req: RelayedRequest, relay_server: RelayServer):
        super().__init__(req)
        self._server = relay_server
        self._disconnected = threading.Event()
        self._disconnect_callback: Callable[[], None] | None = None
        self._received_s = time.monotonic()
        self._sender: AnswerSender | None = None
        if relay_server.slow_readers is not None:
            self._sender = AnswerSender(
                connection=req.conn.socket, readers=relay_server.slow_readers
            )
        self._body: BodyFraming | None = body_framing(
            req.inheaders, max_bytes=relay_server.max_body_bytes
        )
        self._is_head_checked = False
        self._routed_head: RoutedRequest | None = None
        self._is_ended = False
        relay_server.count_in_flight(1)

    @property
    def has_disconnected(self) -> bool:
        """Whether the caller has closed its connection.

        It is asked for before each attempt, when the watch may not have reported it yet.
        """
        if not self._disconnected.is_set() and is_closed(self.req.conn.socket):
            self._disconnected.set()
        return self._disconnected.is_set()

    def respond(self) -> None:
        """Collect the body, route the request and relay it.

        Raises:
            MoreInputNeeded: The body has not arrived completely.
        """
        if self.collect_body():
            self._respond()
        elif self._is_head_checked:
            raise MoreInputNeeded
        else:
            self._is_head_checked = True
            self._check_head()

    def collect_body(self) -> bool:
        """Add the bytes that were received to the body.

        Returns:
            Whether it is complete or refused.
        """
        body = self._body
        if not body.is_decided:
            received = self.req.conn.rfile
            data = received.take()
            used_bytes = body.feed(data)
            if used_bytes < len(data):
                received.put_back(data[used_bytes:])
            if received.has_ended:
                body.end()
            self.req.conn.hold_exactly(len(body.body))
        return body.is_decided

    def is_too_late(self) -> bool:
        """Whether the node exits before the request, whose body is missing, could be
        answered.
        """
        routed = self._routed_head
        if routed is None or self._body is None or self._body.is_decided:
            return False
        if not self._server.is_draining:
            return False
        allowed_s = routed.deadline_s - routed.caller.received_s
        deadline_s = time.monotonic() + allowed_s
        return not leaves_time(self._server.context, routed, deadline_s)

    def refuse_too_late(self) -> None:
        """Refuse the request, of which a part is missing, because the node exits."""
        # The thread that waits for all requests must not wait for this caller.
        self._sender = None
        routed = self._routed_head
        request_id = "" if routed is None else routed.caller.request_id
        self._refuse_unread(draining_refusal(), request_id)

    def refuse_for_room(self) -> None:
        """Refuse the request because the node has no room for it."""
        # The thread that waits for all requests must not wait for this caller.
        self._sender = None
        self._refuse_unread(node_full())

    def release_body(self) -> None:
        """Free the body, which is no longer needed.

        The request and this object refer to each other. The body would stay in memory
        until the next collection of cycles.
        """
        self._body = None
        self._disconnect_callback = None

    def end(self) -> None:
        """End the request, which was answered or whose connection is closed."""
        if not self._is_ended:
            self._is_ended = True
            self._server.count_in_flight(-1)
            self.release_body()

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Set the callback for a disconnect of the caller."""
        self._disconnect_callback = callback
        if self.has_disconnected:
            callback()

    def send_complete(self, answer: CompleteAnswer) -> None:
        """Send a complete answer.

        Raises:
            OSError: The caller can't be reached.
        """
        lines = self._head_lines(answer.status, answer.reason, answer.headers)
        has_body = answer.status >= 200 and answer.status not in (204, 304)
        if has_body:
            lines.append(f"Content-Length: {len(answer.body)}")
        body = answer.body if has_body and self.req.method != b"HEAD" else b""
        head = _encode_head(lines)
        if len(body) > MAX_JOINED_BYTES:
            self._write(head)
            self._write_last(body)
        else:
            self._write_last(head + body)

    def begin_stream(
        self, status: int, reason: str, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Send the head of an answer of unknown length."""
        if self.req.response_protocol != "HTTP/1.1":
            self.req.close_connection = True
        lines = self._head_lines(status, reason, headers)
        if self._is_chunked:
            lines.append("Transfer-Encoding: chunked")
        self._write(_encode_head(lines))

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a stream."""
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if self._sender is not None:
            self._sender.send_part(data)
        else:
            self._write(data)

    def end_stream(self) -> None:
        """Send the end of the stream."""
        if self._server.is_draining:
            # The head, sent before the shutdown began, left the connection open. A
            # request that arrives on it late may outlast the grace period.
            self.req.close_connection = True
        if self._is_chunked:
            self._write(b"0\r\n\r\n")

    def abort_answer(self) -> None:
        """Close the connection so that the answer can't appear complete."""
        self.req.close_connection = True
        if not self._is_chunked:
            self._reset_on_close()

    def _reset_on_close(self) -> None:
        with contextlib.suppress(OSError):
            self.req.conn.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )

    def finish(self) -> None:
        """Wait until the caller has read the answer or was cut off."""
        sender = self._sender
        if sender is None:
            return
        try:
            sender.drain()
        except OSError as error:
            self._server.context.log.record(
                "answer cut off", failed=True, detail=str(error)
            )
        finally:
            sender.close()
        if sender.has_failed:
            # A reset also frees what the kernel holds for the caller.
            self.req.close_connection = True
            self._reset_on_close()

    def want_room(self, size_bytes: int) -> None:
        """Cut off other callers that don't read, so that bytes become free."""
        if self._server.slow_readers is not None:
            self._server.slow_readers.want_room(size_bytes)

    @property
    def _is_chunked(self) -> bool:
        return self.req.response_protocol == "HTTP/1.1"

    def _respond(self) -> None:
        if self._body.refusal is not None:
            self._refuse_unread(self._body.refusal)
            return
        body = self._body.body
        routed = self._route(bytes(body) if len(body) < LARGE_BODY_BYTES else body)
        if routed.is_err():
            self._refuse(*routed.err_value)
        elif not leaves_time(
            self._server.context, routed.ok_value, routed.ok_value.deadline_s
        ):
            self._refuse(draining_refusal(), routed.ok_value.caller.request_id)
        else:
            self._relay_within_quota(routed.ok_value)

    def _check_head(self) -> None:
        """Refuse the request if its head decides that, without the rest of the body.

        Raises:
            MoreInputNeeded: The head is accepted.
        """
        routed = self._route(b"")
        if routed.is_err():
            self._refuse_unread(*routed.err_value)
            return
        self._routed_head = routed.ok_value
        if self.is_too_late():
            self._refuse_unread(draining_refusal(), routed.ok_value.caller.request_id)
            return
        raise MoreInputNeeded

    def _route(
        self, body: bytes | bytearray
    ) -> Result[RoutedRequest, tuple[Refusal, str]]:
        """Return the routed request, or a refusal with the request's id."""
        request = self.req
        configuration = self._server.configuration()
        self._received_s = time.monotonic()
        decoded = self._server.context.dialect.decode_request(
            method=request.method.decode("latin-1"),
            target=request.uri.decode("latin-1"),
            headers=tuple(request.inheaders.pairs),
            body=body,
            received_s=self._received_s,
        )
        if decoded.is_err():
            return Err((decoded.err_value, ""))
        if configuration is None:
            return Err((no_configuration(), ""))
        routed = route_request(configuration, decoded.ok_value)
        if routed.is_err():
            return Err((routed.err_value, decoded.ok_value.request_id))
        return routed

    def _relay_within_quota(self, routed: RoutedRequest) -> None:
        charge = self._charge(routed)
        if charge.is_err():
            self._refuse(charge.err_value, routed.caller.request_id)
        else:
            self._relay(routed, charge.ok_value)

    def _charge(self, routed: RoutedRequest) -> Result[QuotaCharge | None, Refusal]:
        if routed.organisation is None:
            return Ok(None)
        return self._server.context.quotas.charge(
            routed.organisation.name,
            routed.caller.stated_tokens,
            routed.caller.request_id,
        )

    def _relay(self, routed: RoutedRequest, charge: QuotaCharge | None) -> None:
        descriptor = self.req.conn.socket.fileno()
        self._server.watch.watch(descriptor, self._on_disconnected)
        try:
            run = RelayRun(
                context=self._server.context,
                request=routed,
                exchange=self,
                charge=charge,
            )
            run.run()
        finally:
            self._server.watch.unwatch(descriptor)
        if self.has_disconnected:
            self.req.close_connection = True

    def _refuse_unread(self, refusal: Refusal, request_id: str = "") -> None:
        """Refuse the request and close its connection without reading the rest."""
        self.req.conn.unread_body = True
        self._refuse(refusal, request_id, closes=True)

    def _refuse(
        self, refusal: Refusal, request_id: str = "", *, closes: bool = False
    ) -> None:
        if closes:
            self.req.close_connection = True
        self._server.context.metrics.refusals.inc({"title": refusal.title})
        configuration = self._server.configuration()
        self._server.context.log.record(
            "request refused",
            failed=True,
            request=request_id,
            status=refusal.status,
            detail=refusal.detail,
            configuration=configuration.version if configuration else None,
        )
        with contextlib.suppress(OSError):
            self.send_complete(refusal_answer(refusal, request_id))
        self.finish()

    def _on_disconnected(self) -> None:
        self._disconnected.set()
        if self._disconnect_callback is not None:
            self._disconnect_callback()

    def _head_lines(
        self, status: int, reason: str, headers: tuple[tuple[str, str], ...]
    ) -> list[str]:
        if self._server.is_draining:
            self.req.close_connection = True
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if self.req.close_connection:
            lines.append("Connection: close")
        elif not self._is_chunked:
            lines.append("Connection: Keep-Alive")
        return lines

    def _write_last(self, data: bytes | bytearray) -> None:
        """Write the last bytes of an answer, for which no thread has to wait."""
        if self._sender is not None:
            self._write(data)
            return
        self.req.sent_headers = True
        self.req.conn.send_last(data)

    def _write(self, data: bytes | bytearray) -> None:
        self.req.sent_headers = True
        if self._sender is not None:
            self._sender.send(data)
        else:
            self.req.conn.wfile.write(data)


def _encode_head(lines: list[str]) -> bytes:
    return _LINE_END.join([*lines, "", ""]).encode("latin-1")
