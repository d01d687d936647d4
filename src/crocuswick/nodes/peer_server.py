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
"""Connections served at once; further ones are closed at once."""

IDLE_TIMEOUT_S = 30.0
"""Time without a request after which a connection is closed."""

FIRST_REQUEST_TIMEOUT_S = 2.0
"""Time that a new connection has to send an authenticated request."""

REPLY_TIMEOUT_S = 5.0
"""Time in which a reply must be taken by the other node."""

ACCEPT_RETRY_S = 0.05
"""Time to wait after a connection could not be accepted."""

_BACKLOG = 128

_log = logbook.Logger("crocuswick.peer_server")

Request = TypeVar("Request", bound=PeerRequest)


class PeerServer:
    """Answers each registered request with an injected handler.

    One thread accepts; each connection has a thread of its own, which owns the
    connection and calls the handlers. Handlers must be safe to call from any
    thread, as a rule by reading something published or by asking an actor.
    """

    def __init__(self, *, host: str, port: int, keys: PeerKeys):
        """Create a server without handlers.

        Args:
            host: IP number to listen at.
            port: TCP port to listen at, 0 for a free one.
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
            target=self._accept_all, name="peer-server", daemon=True
        )

    @property
    def port(self) -> int:
        """Port that the server listens at, once started."""
        return self._socket.getsockname()[1]

    def handle(
        self,
        request_type: type[Request],
        handler: Callable[[Request], PeerReply | bytes],
    ) -> None:
        """Set the handler of a class of requests; to be called before `start`.

        Args:
            request_type: Class of the requests.
            handler: Returns the reply, possibly already encoded by
                ``peer_registry.encode`` so that many get the same bytes.
        """
        self._handlers_by_type[request_type] = handler

    def start(self) -> None:
        """Listen and start the accepting thread.

        Raises:
            OSError: If the port cannot be had.
        """
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((self._host, self._port))
        self._socket.listen(_BACKLOG)
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting; connections end at the latest with their next request."""
        self._stopped.set()
        if self._thread.is_alive():
            # Wakes the accepting thread up.
            self._socket.shutdown(socket.SHUT_RDWR)
            self._thread.join()
        self._socket.close()

    def _accept_all(self) -> None:
        while not self._stopped.is_set():
            try:
                connection, (host, port) = self._socket.accept()
            except OSError:
                # The server stops, or descriptors ran out.
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
            # The other end is gone.
            return
        finally:
            connection.close()
            self._slots.release()

    def _serve_requests(self, framed: FramedConnection, *, deadline_s: float) -> None:
        while True:
            body = framed.receive(deadline_s=deadline_s)
            if isinstance(body, Err):
                self._note_refused(body.err_value)
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
            return _failed(str(request.err_value))
        handler = self._handlers_by_type.get(type(request.ok_value))
        if handler is None:
            return _failed(f"no handler for {type(request.ok_value).__name__}")
        try:
            reply = handler(request.ok_value)
        except Exception as error:
            _log.exception("handler of {} failed", type(request.ok_value).__name__)
            return _failed(f"{type(error).__name__}: {error}")
        return reply if isinstance(reply, bytes) else peer_registry.encode(reply)

    @staticmethod
    def _note_refused(error: PeerError) -> None:
        if error.step == "authenticate":
            _log.warning("refused a connection: {}", error)


def _failed(detail: str) -> bytes:
    return peer_registry.encode(RequestFailed(detail=detail))
