"""Closing of a listening port without resetting connections that have just been opened."""

from __future__ import annotations

import ctypes
import socket
import struct

import logbook

__all__ = ["drop_handshakes"]

logger = logbook.Logger(__name__)

_SO_ATTACH_FILTER = 26
"""Linux socket option, which Python's library doesn't name."""

_RETURN = 0x06
"""Code of the filter's instruction that ends it with the number of bytes to accept."""


def drop_handshakes(listener: socket.socket) -> None:
    """Let the kernel ignore callers that open a connection to a port from now on.

    Connections that wait to be accepted stay. A port that is closed without this resets
    those that arrive between the last one that was accepted and the closing. Where socket
    filters are not available, nothing happens.

    Args:
        listener: The listening socket.
    """
    drop_all = ctypes.create_string_buffer(struct.pack("HBBI", _RETURN, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(drop_all))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError as error:
        logger.debug("the port takes no filter: {}", error)
