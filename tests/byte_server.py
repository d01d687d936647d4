"""Server that answers each request with given bytes and ends the connection in a given way."""

from __future__ import annotations

import contextlib
import enum
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


class ByteServer:
    """Serves one connection after the other."""

    def __init__(self):
        self.answer = b""
        self.end = End.FIN
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
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65_536)
        connection.sendall(self.answer)
        if self.end is End.RST:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        elif self.end is End.SILENCE:
            connection.settimeout(SILENCE_S)
            connection.recv(1)
