"""A threaded HTTP server as a component with a life cycle."""

from __future__ import annotations

import io
import socket
import ssl
import threading
import time
from typing import TYPE_CHECKING

from cheroot import server, wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from crocuswick.timeout_socket import TimeoutSocket

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["HttpServer"]

ACCEPT_BACKLOG = 512
STOP_TIMEOUT_S = 2


class SocketReader(io.BufferedReader):
    """Buffers what a connection receives."""

    def __init__(self, sock: socket.socket):
        self._received = ReceivedBytes(sock, "rb")
        super().__init__(self._received)
        self.bytes_read = 0

    def read(self, size: int | None = -1) -> bytes:
        """Read as any buffered reader does."""
        data = super().read(size)
        self.bytes_read += len(data)
        return data

    def readline(self, size: int | None = -1) -> bytes:
        """Read one line as any buffered reader does."""
        line = super().readline(size)
        self.bytes_read += len(line)
        return line

    def has_data(self) -> bool:
        """Tell whether received bytes are left to be read."""
        return self._received.total > self.bytes_read


class ReceivedBytes(socket.SocketIO):
    """The receiving side of a socket, which counts its bytes."""

    total = 0

    def readinto(self, buffer: memoryview) -> int | None:
        """Receive into a buffer."""
        count = super().readinto(buffer)
        self.total += count or 0
        return count


class SocketWriter:
    """Sends each piece of an answer at once, with one call."""

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send everything.

        Args:
            data: The piece.

        Returns:
            Its length.
        """
        self._socket.sendall(data)
        self.bytes_written += len(data)
        return len(data)


def socket_file(
    sock: socket.socket, mode: str, _buffer_bytes: int
) -> SocketReader | SocketWriter:
    """Return the file through which the server uses a connection.

    Args:
        sock: Socket of the connection.
        mode: ``"rb"`` or ``"wb"``.
    """
    return SocketReader(sock) if mode == "rb" else SocketWriter(sock)


class Connection(server.HTTPConnection):
    """A caller's connection whose timeouts are kept by the kernel."""

    def __init__(self, http_server: server.HTTPServer, sock: socket.socket, makefile):
        # TLS needs the socket's own timeouts and files.
        if not isinstance(sock, ssl.SSLSocket):
            sock = TimeoutSocket.adopt(sock)
            makefile = socket_file
        super().__init__(http_server, sock, makefile)


class Server(wsgi.Server):
    """The WSGI server with connections of our own class."""

    ConnectionClass = Connection


class HttpServer:
    """Serves one WSGI application on one port.

    Args:
        host: IP number to listen at.
        port: Port to listen at, 0 for any free one.
        application: WSGI application.
        threads: Requests served at once.
        idle_timeout_s: Seconds without a byte after which a connection ends.
        certificate_file: Certificate chain in PEM, empty for plain HTTP.
        key_file: Private key in PEM.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        application: Callable,
        threads: int,
        idle_timeout_s: float = 10.0,
        certificate_file: str = "",
        key_file: str = "",
    ):
        self._server = Server(
            (host, port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=idle_timeout_s,
            shutdown_timeout=STOP_TIMEOUT_S,
            server_name="crocuswick",
        )
        if certificate_file:
            self._server.ssl_adapter = BuiltinSSLAdapter(certificate_file, key_file)
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{host}:{port}", daemon=True
        )

    @property
    def address(self) -> str:
        """``host:port`` that the server listens at."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.prepare()
        self._thread.start()
        while not self._server.ready:
            time.sleep(0.001)

    def reload_certificate(self) -> None:
        """Read the certificate and its key again, for new connections.

        Raises:
            OSError: The files can't be read or don't fit together.
        """
        adapter = self._server.ssl_adapter
        if adapter is not None:
            adapter.context.load_cert_chain(adapter.certificate, adapter.private_key)

    def stop(self) -> None:
        """Close the port and end the serving threads."""
        self._server.stop()
        self._thread.join(timeout=STOP_TIMEOUT_S)
