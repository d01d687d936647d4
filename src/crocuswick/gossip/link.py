"""Outgoing connection on which a node sends gossip messages to one peer."""

from __future__ import annotations

import contextlib
import queue
import socket
import threading
import time
from typing import TYPE_CHECKING

import logbook
import msgpack

from crocuswick.backoff import backoff_s, with_jitter_s
from crocuswick.gossip.messages import encode_gossip
from crocuswick.host_port import HostPort

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.gossip.messages import GossipMessage

__all__ = ["PeerLink", "pack_gossip"]

logger = logbook.Logger(__name__)

CONNECT_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 1.0
"""Time limit for sending a batch, after which the link reconnects; a peer that reads
nothing exceeds it."""

ACKNOWLEDGEMENT_TIMEOUT_MS = 1_500
"""Time without acknowledgement of sent data after which the link reconnects."""

MAX_QUEUED = 2_000
"""Limit on queued messages. Further ones are dropped; records that the peer lacks are
sent again later."""

FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.0


def pack_gossip(gossip: GossipMessage) -> bytes:
    """Encode a message for the wire."""
    return msgpack.packb(encode_gossip(gossip))


class PeerLink:
    """Sends messages to one peer on its own thread, and reconnects after failures.

    Args:
        address: ``host:port`` of the peer.
        handshake: Returns the first messages to send on each connection.
    """

    def __init__(self, *, address: str, handshake: Callable[[], list[GossipMessage]]):
        self.address = address
        self._handshake = handshake
        self._queue: queue.Queue[bytes | None] = queue.Queue(maxsize=MAX_QUEUED)
        self._connected = threading.Event()
        self._stopped = threading.Event()
        # Monotonic time since which there is no connection, None while connected.
        self.disconnected_since_s: float | None = time.monotonic()
        self._thread = threading.Thread(
            target=self._run, name=f"link-{address}", daemon=True
        )

    def start(self) -> None:
        """Start connecting."""
        self._thread.start()

    def stop(self) -> None:
        """Close the connection and end the thread."""
        self._stopped.set()
        with contextlib.suppress(queue.Full):
            self._queue.put_nowait(None)

    def send(self, packed: bytes) -> bool:
        """Queue an encoded message.

        Returns:
            False if it was dropped: there is no connection or the queue is full.
        """
        if not self._connected.is_set():
            return False
        try:
            self._queue.put_nowait(packed)
        except queue.Full:
            logger.warning(
                "send queue of peer {} is full, message dropped", self.address
            )
            return False
        return True

    def _run(self) -> None:
        failures = 0
        while not self._stopped.is_set():
            try:
                with self._connect() as connection:
                    failures = 0
                    self._send_until_closed(connection)
            except OSError as error:
                logger.debug("link to {} failed: {}", self.address, error)
            self._connected.clear()
            self.disconnected_since_s = self.disconnected_since_s or time.monotonic()
            failures += 1
            pause_s = backoff_s(
                failures, initial_s=FIRST_BACKOFF_S, max_s=MAX_BACKOFF_S
            )
            self._stopped.wait(with_jitter_s(pause_s))

    def _connect(self) -> socket.socket:
        peer = HostPort.parse(self.address)
        connection = socket.create_connection((peer.host, peer.port), CONNECT_TIMEOUT_S)
        connection.settimeout(SEND_TIMEOUT_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS
        )
        return connection

    def _send_until_closed(self, connection: socket.socket) -> None:
        self._drop_queued()
        for gossip in self._handshake():
            connection.sendall(pack_gossip(gossip))
        self.disconnected_since_s = None
        self._connected.set()
        while True:
            packed = self._queue.get()
            if packed is None:
                return
            batch = [packed]
            while not self._queue.empty():
                more = self._queue.get_nowait()
                if more is None:
                    return
                batch.append(more)
            connection.sendall(b"".join(batch))

    def _drop_queued(self) -> None:
        with contextlib.suppress(queue.Empty):
            while True:
                self._queue.get_nowait()
