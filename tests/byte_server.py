"""Server that answers each request with given bytes and ends the connection in a given way."""

from __future__ import annotations

import contextlib
import enum
import re
import socket
import struct
import threading

__all__ = ["ByteServer", "End"]

SILENCE_S = 5.0


class End(enum.Enum):
    """What follows the last byte."""

    FIN = "fin"
    RST = "rst"
    SILENCE = "silence"


def read_head(connection: socket.socket) -> bytes:
    """Receive the head of a request, and possibly more."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = connection.recv(65_536)
        if not data:
            raise ConnectionError("the request has no end")
        received += data
    return received


def read_request(connection: socket.socket) -> None:
    """Receive a request with its body. Unread bytes would reset the connection."""
    head, _, body = read_head(connection).partition(b"\r\n\r\n")
    found = re.search(rb"content-length:[ ]*(\d+)", head, re.IGNORECASE)
    missing_bytes = int(found[1]) - len(body) if found else 0
    while missing_bytes > 0:
        missing_bytes -= len(connection.recv(65_536)) or missing_bytes


class ByteServer:
    """Serves one connection after the other."""

    def __init__(self):
        self.answer = b""
        self.end = End.FIN
        self.reads_body = True
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.host, self.port = self._socket.getsockname()
        self.address = f"{self.host}:{self.port}"
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self) -> None:
        """Close the port."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            with contextlib.suppress(OSError), connection:
                self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        if self.reads_body:
            read_request(connection)
        else:
            read_head(connection)
        connection.sendall(self.answer)
        if self.end is End.RST:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        elif self.end is End.SILENCE:
            connection.settimeout(SILENCE_S)
            connection.recv(1)
