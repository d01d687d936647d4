"""A small HTTP server for the fakes, with routes, requests and replies."""

from __future__ import annotations

import errno
import json
import re
import select
import socket
import time
from collections.abc import Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import attrs
from absl import flags
from cheroot import wsgi

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["Reply", "Request", "Routes", "serve", "wall_ms"]

HOST_FLAG = flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
PORT_FLAG = flags.DEFINE_integer("port", 0, "Port to listen on; 0: any free port.")
THREADS_FLAG = flags.DEFINE_integer("threads", 128, "Threads that serve requests.")

CONNECTION_TIMEOUT_S = 60
KEEP_ALIVE_CONNECTIONS = 1024
LISTEN_BACKLOG = 512
SOCKET_KEY = "fakes.socket"


def wall_ms() -> int:
    """Return the wall clock time in milliseconds."""
    return time.time_ns() // 1_000_000


@attrs.frozen(kw_only=True)
class Request:
    """An HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    """Header values by lower-case name."""

    body: bytes
    connection: socket.socket

    def json(self) -> Any:
        """Decode the JSON body; an empty body decodes to an empty object."""
        return json.loads(self.body or b"{}")

    def number(self, name: str, default: int = 0) -> int:
        """Return an integer parameter of the query."""
        return int(self.query.get(name, default))

    def caller_has_disconnected(self) -> bool:
        """Return whether the caller has closed its side of the connection."""
        readable, _, _ = select.select([self.connection], [], [], 0)
        if not readable:
            return False
        try:
            return not self.connection.recv(1, socket.MSG_PEEK)
        except OSError:
            return True


@attrs.frozen(kw_only=True)
class Reply:
    """An HTTP response with a JSON body, raw bytes, or a stream of chunks."""

    status: int = 200
    body: Any = None
    headers: dict[str, str] = attrs.field(factory=dict)
    content_type: str = "application/json"
    chunks: Iterator[bytes] | None = None

    def encoded(self) -> bytes:
        """Return the body as bytes."""
        if isinstance(self.body, bytes):
            return self.body
        return json.dumps(self.body).encode()


class Routes:
    """Request handlers by method and path, registered with a decorator."""

    def __init__(self) -> None:
        self._entries: list[tuple[str, re.Pattern[str], Callable[..., Reply]]] = []

    def route(self, method: str, path: str) -> Callable[[Any], Any]:
        """Register a method as the handler of a path.

        Args:
            method: HTTP method, or ``*`` for any.
            path: Path; the handler receives a ``{name}`` segment as an argument.

        Returns:
            The decorator.
        """
        pattern = re.compile(re.sub(r"{(\w+)}", r"(?P<\1>[^/]+)", path))

        def register(handler: Callable[..., Reply]) -> Callable[..., Reply]:
            self._entries.append((method, pattern, handler))
            return handler

        return register

    def dispatch(self, owner: Any, request: Request) -> Reply | None:
        """Call the handler of a request.

        Args:
            owner: Object of which the handlers are methods.
            request: The request.

        Returns:
            The response, or None if no route matches.
        """
        for method, pattern, handler in self._entries:
            found = pattern.fullmatch(request.path)
            if found and method in ("*", request.method):
                return handler(owner, request, **found.groupdict())
        return None


class SocketGateway(wsgi.Gateway_10):
    """A gateway that adds the connection's socket to the WSGI environment."""

    def get_environ(self) -> dict[str, Any]:
        """Return the environment with the socket."""
        return {**super().get_environ(), SOCKET_KEY: self.req.conn.socket}


class FakeServer(wsgi.Server):
    """A server whose port can be bound again as soon as the process has ended."""

    keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS

    @staticmethod
    def bind_socket(socket_: socket.socket, bind_addr: tuple[str, int]) -> Any:
        """Bind so that a restarted process can bind while old connections are closing."""
        socket_.bind(bind_addr)
        # If this were set before bind, the kernel might choose a port that is in use.
        socket_.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return socket_


def drop_connection() -> None:
    """End the current connection without a response.

    Raises:
        ConnectionResetError: Always; it makes the server end the connection.
    """
    raise ConnectionResetError(errno.ECONNRESET, "dropped by a fault")


def _read_request(environ: dict[str, Any]) -> Request:
    headers = {
        key.removeprefix("HTTP_").replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    headers["content-type"] = environ.get("CONTENT_TYPE", "")
    length = int(environ.get("CONTENT_LENGTH") or 0)
    chunked = environ["wsgi.input_terminated"]
    source = environ["wsgi.input"]
    query = parse_qs(environ["QUERY_STRING"], keep_blank_values=True)
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query={name: values[-1] for name, values in query.items()},
        headers=headers,
        body=source.read() if chunked else source.read(length),
        connection=environ[SOCKET_KEY],
    )


def _application(answer: Callable[[Request], Reply]) -> Callable[..., Iterable[bytes]]:
    def respond(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        reply = answer(_read_request(environ))
        status = f"{reply.status} {HTTPStatus(reply.status).phrase}"
        headers = [("Content-Type", reply.content_type), *reply.headers.items()]
        if reply.chunks is not None:
            start_response(status, headers)
            return reply.chunks
        body = reply.encoded()
        start_response(status, [*headers, ("Content-Length", str(len(body)))])
        return [body]

    return respond


def serve(answer: Callable[[Request], Reply]) -> None:
    """Print the ready line and serve until the process ends.

    Args:
        answer: Function that returns the response to a request. Called on a server
            thread.
    """
    server = FakeServer(
        (HOST_FLAG.value, PORT_FLAG.value),
        _application(answer),
        numthreads=THREADS_FLAG.value,
        request_queue_size=LISTEN_BACKLOG,
        timeout=CONNECTION_TIMEOUT_S,
    )
    # Set here because the base constructor overrides a class attribute.
    server.gateway = SocketGateway
    server.prepare()
    host, port = server.bind_addr[:2]
    print(f"ready {host}:{port}", flush=True)
    server.serve()
