"""Authenticated, length-prefixed frames on a TCP connection between nodes.

The server first sends a random nonce. The authentication code of every frame covers
that nonce, the direction and the frame's number, so that no frame can be replayed,
reordered or reflected. Frames are authenticated but not encrypted.
"""

from __future__ import annotations

import secrets
import struct
import time
from typing import TYPE_CHECKING

from result import Err, Ok

from crocuswick.errors import PeerError
from crocuswick.nodes.peer_keys import MAC_BYTES
from crocuswick.outcome import Outcome

if TYPE_CHECKING:
    import socket

    from result import Result

    from crocuswick.nodes.peer_keys import PeerKeys

__all__ = ["FramedConnection", "accept_connection", "open_connection"]

NONCE_BYTES = 16
"""Size of the server's nonce in bytes."""

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Maximum size of a frame's content in bytes."""

_PURPOSE = b"crocuswick-tcp"
_LENGTH = struct.Struct("!I")
_NUMBER = struct.Struct("!Q")
_FROM_SERVER = b"s"
_FROM_CLIENT = b"c"


class FramedConnection:
    """One end of a connection; owned by one thread at a time."""

    def __init__(
        self,
        *,
        connection: socket.socket,
        keys: PeerKeys,
        nonce: bytes,
        peer: str,
        is_server: bool,
    ):
        """Wrap a connection on which the nonce has been exchanged.

        Args:
            connection: Connected socket; the object takes ownership.
            keys: Keys of the fleet.
            nonce: The server's nonce.
            peer: Name of the other end, used in errors.
            is_server: Whether this end has accepted the connection.
        """
        self._socket = connection
        self._keys = keys
        self._nonce = nonce
        self._send_direction = _FROM_SERVER if is_server else _FROM_CLIENT
        self._receive_direction = _FROM_CLIENT if is_server else _FROM_SERVER
        self._sent = 0
        self._received = 0
        self.peer = peer

    def send(self, body: bytes, *, deadline_s: float) -> Result[None, PeerError]:
        """Send one frame.

        Args:
            body: Content of the frame.
            deadline_s: Monotonic time at which to give up.
        """
        context = self._context(self._send_direction, self._sent)
        code = self._keys.sign(context + body, purpose=_PURPOSE)
        try:
            self._socket.settimeout(_remaining_s(deadline_s))
            self._socket.sendall(_LENGTH.pack(len(body)) + code + body)
        except OSError as error:
            return self._failure("send", error)
        self._sent += 1
        return Ok(None)

    def receive(self, *, deadline_s: float) -> Result[bytes, PeerError]:
        """Receive one frame.

        Args:
            deadline_s: Monotonic time at which to give up.

        Returns:
            The content of the authenticated frame.
        """
        try:
            head = _read(self._socket, _LENGTH.size + MAC_BYTES, deadline_s=deadline_s)
            (length,) = _LENGTH.unpack(head[: _LENGTH.size])
            if length > MAX_FRAME_BYTES:
                raise ConnectionError(f"frame of {length} bytes is too large")
            body = _read(self._socket, length, deadline_s=deadline_s)
        except OSError as error:
            return self._failure("receive", error)
        context = self._context(self._receive_direction, self._received)
        code = head[_LENGTH.size :]
        if not self._keys.verifies(context + body, code, purpose=_PURPOSE):
            return self._failure("authenticate", ConnectionError("invalid MAC"))
        self._received += 1
        return Ok(body)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _context(self, direction: bytes, number: int) -> bytes:
        return self._nonce + direction + _NUMBER.pack(number)

    def _failure(self, step: str, error: Exception) -> Err[PeerError]:
        return Err(_peer_error(step, self.peer, error))


def accept_connection(
    connection: socket.socket, *, keys: PeerKeys, peer: str, deadline_s: float
) -> Result[FramedConnection, PeerError]:
    """Send the nonce on an accepted connection.

    Args:
        connection: Accepted socket.
        keys: Keys of the fleet.
        peer: Name of the other end.
        deadline_s: Monotonic time at which to give up.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    try:
        connection.settimeout(_remaining_s(deadline_s))
        connection.sendall(nonce)
    except OSError as error:
        return Err(_peer_error("greet", peer, error))
    return Ok(
        FramedConnection(
            connection=connection, keys=keys, nonce=nonce, peer=peer, is_server=True
        )
    )


def open_connection(
    connection: socket.socket, *, keys: PeerKeys, peer: str, deadline_s: float
) -> Result[FramedConnection, PeerError]:
    """Read the server's nonce on a connection that this end has opened.

    Args:
        connection: Connected socket.
        keys: Keys of the fleet.
        peer: Name of the other end.
        deadline_s: Monotonic time at which to give up.
    """
    try:
        nonce = _read(connection, NONCE_BYTES, deadline_s=deadline_s)
    except OSError as error:
        return Err(_peer_error("greet", peer, error))
    return Ok(
        FramedConnection(
            connection=connection, keys=keys, nonce=nonce, peer=peer, is_server=False
        )
    )


def _read(connection: socket.socket, size: int, *, deadline_s: float) -> bytes:
    data = bytearray()
    while len(data) < size:
        connection.settimeout(_remaining_s(deadline_s))
        chunk = connection.recv(size - len(data))
        if not chunk:
            raise ConnectionError("closed by the peer")
        data += chunk
    return bytes(data)


def _remaining_s(deadline_s: float) -> float:
    remaining_s = deadline_s - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("deadline passed")
    return remaining_s


def _peer_error(step: str, peer: str, error: Exception) -> PeerError:
    return PeerError(
        step=step,
        peer=peer,
        detail=f"{type(error).__name__}: {error}",
        outcome=Outcome.UNKNOWN,
    )
