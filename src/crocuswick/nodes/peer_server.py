"""Server that answers other nodes' requests over TCP."""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING, TypeVar

import logbook
from result import Err, Ok

from crocuswick.nodes._framing import accept_connection
from crocuswick.nodes.peer_messages import (
    PeerReply,
    PeerRequest,
    RequestFailed,
    peer_registry,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.errors import PeerError
    from crocuswick.nodes._framing import FramedConnection
    from crocuswick.nodes.peer_keys import PeerKeys

__all__ = ["PeerServer"]

MAX_CONNECTIONS = 64
"""Maximum number of open connections; further ones are closed immediately."""

IDLE_TIMEOUT_S = 30.0
"""Time without a request after which a connection is closed."""

FIRST_REQUEST_TIMEOUT_S = 2.0
"""Time within which a new connection must send an authenticated request."""

REPLY_TIMEOUT_S = 5.0
"""Time within which a reply must be sent."""

ACCEPT_RETRY_S = 0.05
"""Delay after a failed accept."""

_BACKLOG = 128

_log = logbook.Logger("crocuswick.peer_server")

Request = TypeVar("Request", bound=PeerRequest)


class PeerServer:
    """Answers each class of requests with its registered handler.

    One thread accepts connections. Each connection has its own thread, which owns
    the connection and calls the handlers. Handlers must be thread-safe; they
    normally read published state or send a request to an actor.
    """

    def __init__(self, *, host: str, port: int, keys: PeerKeys):
        """Create a server without handlers.

        Args:
            host: IP address to listen on.
            port: TCP port to listen on, 0 for a free one.
            keys: Keys of the fleet.
        """
        self._host = host
        self._port = port
        self._keys = keys
        self._handlers_by_type: dict[type, Callable[..., PeerReply | bytes]] = {}
        self._slots = threading.BoundedSemaphore(MAX_CONNECTIONS)
        self._stopped = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._thread = threading.Thread(
            target=self._accept_loop, name="peer-server", daemon=True
        )

    @property
    def port(self) -> int:
        """Port that the server listens on once it is started."""
        return self._socket.getsockname()[1]

    def register_handler(
        self,
        request_type: type[Request],
        handler: Callable[[Request], PeerReply | bytes],
    ) -> None:
        """Set the handler of a class of requests; call it before `start`.

        Args:
            request_type: Class of the requests.
            handler: Returns the reply, or a reply already encoded by
                ``peer_registry.encode``, so that it can be shared by requests.
        """
        self._handlers_by_type[request_type] = handler

    def start(self) -> None:
        """Listen and start the accepting thread.

        Raises:
            OSError: If the port is not available.
        """
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((self._host, self._port))
        self._socket.listen(_BACKLOG)
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting; each connection ends with its next request or timeout."""
        self._stopped.set()
        if self._thread.is_alive():
            # Wakes the accepting thread.
            self._socket.shutdown(socket.SHUT_RDWR)
            self._thread.join()
        self._socket.close()

    def _accept_loop(self) -> None:
        while not self._stopped.is_set():
            try:
                connection, (host, port) = self._socket.accept()
            except OSError:
                # The server is stopping or has run out of file descriptors.
                self._stopped.wait(ACCEPT_RETRY_S)
                continue
            if not self._slots.acquire(blocking=False):
                connection.close()
                continue
            threading.Thread(
                target=self._serve,
                args=(connection, f"{host}:{port}"),
                name="peer-connection",
                daemon=True,
            ).start()

    def _serve(self, connection: socket.socket, peer: str) -> None:
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            deadline_s = time.monotonic() + FIRST_REQUEST_TIMEOUT_S
            accepted = accept_connection(
                connection, keys=self._keys, peer=peer, deadline_s=deadline_s
            )
            if isinstance(accepted, Ok):
                self._serve_requests(accepted.ok_value, deadline_s=deadline_s)
        except OSError:
            # The other end has closed the connection.
            return
        finally:
            connection.close()
            self._slots.release()

    def _serve_requests(self, framed: FramedConnection, *, deadline_s: float) -> None:
        while True:
            body = framed.receive(deadline_s=deadline_s)
            if isinstance(body, Err):
                self._log_refused(body.err_value)
                return
            if self._stopped.is_set():
                return
            reply = self._reply(body.ok_value, peer=framed.peer)
            reply_deadline_s = time.monotonic() + REPLY_TIMEOUT_S
            if isinstance(framed.send(reply, deadline_s=reply_deadline_s), Err):
                return
            deadline_s = time.monotonic() + IDLE_TIMEOUT_S

    def _reply(self, body: bytes, *, peer: str) -> bytes:
        request = peer_registry.decode(body, peer=peer)
        if isinstance(request, Err):
            return _encoded_failure(str(request.err_value))
        handler = self._handlers_by_type.get(type(request.ok_value))
        if handler is None:
            return _encoded_failure(f"no handler for {type(request.ok_value).__name__}")
        try:
            reply = handler(request.ok_value)
        except Exception as error:
            _log.exception("handler of {} failed", type(request.ok_value).__name__)
            return _encoded_failure(f"{type(error).__name__}: {error}")
        return reply if isinstance(reply, bytes) else peer_registry.encode(reply)

    @staticmethod
    def _log_refused(error: PeerError) -> None:
        if error.step == "authenticate":
            _log.warning("connection closed after failed authentication: {}", error)


def _encoded_failure(detail: str) -> bytes:
    return peer_registry.encode(RequestFailed(detail=detail))
