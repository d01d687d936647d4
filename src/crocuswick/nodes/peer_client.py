"""Client for requests to other nodes over TCP, with reused connections."""

from __future__ import annotations

import socket
import time
from collections import deque
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from crocuswick.errors import PeerError
from crocuswick.nodes._framing import open_connection
from crocuswick.nodes.peer_messages import RequestFailed, peer_registry
from crocuswick.outcome import Outcome

if TYPE_CHECKING:
    from result import Result

    from crocuswick.nodes._framing import FramedConnection
    from crocuswick.nodes.node_state import PeerAddress
    from crocuswick.nodes.peer_keys import PeerKeys
    from crocuswick.nodes.peer_messages import PeerRequest

__all__ = ["PeerClient"]

IDLE_CONNECTIONS = 4
"""Maximum number of idle connections to one node that are kept for reuse."""


class PeerClient:
    """Sends requests to other nodes; safe to use from any thread.

    A connection belongs to the thread that took it from the idle connections until
    it is put back; taking and putting back are each one atomic operation.
    """

    def __init__(self, *, keys: PeerKeys):
        """Create a client without connections.

        Args:
            keys: Keys of the fleet.
        """
        self._keys = keys
        self._idle_by_address: dict[PeerAddress, deque[FramedConnection]] = {}

    def request(
        self, address: PeerAddress, request: PeerRequest, *, timeout_s: float
    ) -> Result[Any, PeerError]:
        """Send a request and wait for the reply.

        All requests are read-only, so a request that fails on an idle connection,
        which the other node may have closed, is sent again on a new one.

        Args:
            address: Node that receives the request.
            request: A registered request.
            timeout_s: Total time, including the time to connect.

        Returns:
            The decoded reply, or an error.
        """
        deadline_s = time.monotonic() + timeout_s
        body = peer_registry.encode(request)
        idle = self._take_idle(address)
        if idle is not None:
            reply = self._exchange(address, idle, body, deadline_s=deadline_s)
            if isinstance(reply, Ok) or time.monotonic() >= deadline_s:
                return _decode_reply(reply, peer=_address_text(address))
        opened = self._connect(address, deadline_s=deadline_s)
        if isinstance(opened, Err):
            return opened
        reply = self._exchange(address, opened.ok_value, body, deadline_s=deadline_s)
        return _decode_reply(reply, peer=_address_text(address))

    def warm(self, address: PeerAddress, *, timeout_s: float) -> None:
        """Open a connection before the first request.

        Args:
            address: Node to which requests will be sent.
            timeout_s: Time to connect.
        """
        if self._idle_by_address.get(address):
            return
        opened = self._connect(address, deadline_s=time.monotonic() + timeout_s)
        if isinstance(opened, Ok):
            self._put_idle(address, opened.ok_value)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle_by_address.values():
            while connections:
                connections.pop().close()

    def _exchange(
        self,
        address: PeerAddress,
        connection: FramedConnection,
        body: bytes,
        *,
        deadline_s: float,
    ) -> Result[bytes, PeerError]:
        sent = connection.send(body, deadline_s=deadline_s)
        reply = sent
        if isinstance(sent, Ok):
            reply = connection.receive(deadline_s=deadline_s)
        if isinstance(reply, Err):
            # A late reply must not be mistaken for the reply to the next request.
            connection.close()
        else:
            self._put_idle(address, connection)
        return reply

    def _connect(
        self, address: PeerAddress, *, deadline_s: float
    ) -> Result[FramedConnection, PeerError]:
        timeout_s = deadline_s - time.monotonic()
        try:
            connection = socket.create_connection(
                (address.host, address.port), timeout=max(0.001, timeout_s)
            )
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            return Err(
                PeerError(
                    step="connect",
                    peer=_address_text(address),
                    detail=f"{type(error).__name__}: {error}",
                    outcome=Outcome.NOT_RUN,
                )
            )
        opened = open_connection(
            connection,
            keys=self._keys,
            peer=_address_text(address),
            deadline_s=deadline_s,
        )
        if isinstance(opened, Err):
            connection.close()
        return opened

    def _take_idle(self, address: PeerAddress) -> FramedConnection | None:
        connections = self._idle_by_address.get(address)
        try:
            return connections.pop() if connections else None
        except IndexError:
            # Another thread took the last one.
            return None

    def _put_idle(self, address: PeerAddress, connection: FramedConnection) -> None:
        connections = self._idle_by_address.setdefault(address, deque())
        if len(connections) >= IDLE_CONNECTIONS:
            connection.close()
            return
        connections.append(connection)


def _decode_reply(
    reply: Result[bytes, PeerError], *, peer: str
) -> Result[Any, PeerError]:
    if isinstance(reply, Err):
        return reply
    message = peer_registry.decode(reply.ok_value, peer=peer)
    if isinstance(message, Ok) and isinstance(message.ok_value, RequestFailed):
        return Err(
            PeerError(
                step="answer",
                peer=peer,
                detail=message.ok_value.detail,
                outcome=Outcome.UNKNOWN,
            )
        )
    return message


def _address_text(address: PeerAddress) -> str:
    return f"{address.host}:{address.port}"
