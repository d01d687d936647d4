"""A threaded HTTP server as a component with a life cycle."""

from __future__ import annotations

import ssl
import threading
import time
from typing import TYPE_CHECKING

from cheroot import server, wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from crocuswick.timeout_socket import TimeoutSocket

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

__all__ = ["HttpServer"]

ACCEPT_BACKLOG = 512
STOP_TIMEOUT_S = 2


class Connection(server.HTTPConnection):
    """A caller's connection whose timeouts are kept by the kernel."""

    def __init__(self, http_server: server.HTTPServer, sock: socket.socket, makefile):
        # TLS needs the socket's own timeouts.
        if not isinstance(sock, ssl.SSLSocket):
            sock = TimeoutSocket.adopt(sock)
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
