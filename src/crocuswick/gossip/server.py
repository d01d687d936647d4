"""Server that receives gossip messages from peers."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

import logbook
import msgpack

from crocuswick.gossip.messages import decode_gossip
from crocuswick.host_port import HostPort

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.gossip.messages import GossipMessage

__all__ = ["GossipServer"]

logger = logbook.Logger(__name__)

BACKLOG = 128
READ_BYTES = 64 * 1024
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""More than any configuration needs; a larger message closes the connection."""

SILENCE_TIMEOUT_S = 5.0
"""Time without data after which a connection is closed; peers send at least once a
second."""


class GossipServer:
    """Receives messages, with one thread for each connection.

    Args:
        address: ``host:port`` to listen at.
        on_message: Called with each message and the number of its connection.
        on_closed: Called with that number when the connection has closed.
    """

    def __init__(
        self,
        *,
        address: str,
        on_message: Callable[[GossipMessage, int], None],
        on_closed: Callable[[int], None],
    ):
        listen = HostPort.parse(address)
        self._bind_address = (listen.host, listen.port)
        self._on_message = on_message
        self._on_closed = on_closed
        self._socket: socket.socket | None = None
        self._stopped = threading.Event()

    def start(self) -> None:
        """Bind the port and start accepting."""
        self._socket = socket.create_server(self._bind_address, backlog=BACKLOG)
        threading.Thread(target=self._accept, name="news-accept", daemon=True).start()

    def stop(self) -> None:
        """Close the port."""
        self._stopped.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _accept(self) -> None:
        connections = 0
        while not self._stopped.is_set():
            try:
                accepted, peer = self._socket.accept()
            except OSError as error:
                if self._stopped.is_set():
                    return
                logger.warning("accepting a peer connection failed: {}", error)
                self._stopped.wait(0.1)
                continue
            connections += 1
            threading.Thread(
                target=self._read,
                args=(accepted, f"{peer[0]}:{peer[1]}", connections),
                name=f"news-{peer[0]}",
                daemon=True,
            ).start()

    def _read(self, accepted: socket.socket, peer: str, connection: int) -> None:
        accepted.settimeout(SILENCE_TIMEOUT_S)
        unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        try:
            while data := accepted.recv(READ_BYTES):
                unpacker.feed(data)
                for value in unpacker:
                    self._handle(value, peer, connection)
        except (OSError, ValueError, msgpack.exceptions.UnpackException) as error:
            logger.debug("connection from peer {} closed: {}", peer, error)
        finally:
            accepted.close()
            self._on_closed(connection)

    def _handle(self, value: object, peer: str, connection: int) -> None:
        decoded = decode_gossip(value, peer)
        if decoded.is_err():
            logger.warning("{}", decoded.err_value)
            return
        self._on_message(decoded.ok_value, connection)
