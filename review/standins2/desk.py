"""Stand-in of a plain replica that answers after some work and may crash."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time

from review.standins2.store import reset

__all__ = ["Desk"]


class Desk:
    """A replica of a plain service; each start has a new id.

    Args:
        name: Begin of its ids.
        record: Called with a line for each crash and start.
        work_s: Time that a request takes.
    """

    def __init__(self, name: str, record, *, work_s: float):
        self.runs: list[tuple[float, str, str]] = []
        """Time, id and path of each request that it has begun."""

        self._name = name
        self._record = record
        self._work_s = work_s
        self._starts = 0
        self._port = 0
        self.id = ""
        self.born = 0
        self.beats = 0
        self.is_up = False
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self.start()

    @property
    def address(self) -> str:
        """Its address, which stays the same."""
        return f"127.0.0.1:{self._port}"

    def start(self) -> None:
        """Start under a new id."""
        self._socket = socket.create_server(("127.0.0.1", self._port))
        self._port = self._socket.getsockname()[1]
        self._starts += 1
        self.id = f"{self._name}-{self._starts}"
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.is_up = True
        threading.Thread(target=self._accept, args=(self._socket,), daemon=True).start()

    def crash(self) -> None:
        """End at once: reset all connections and refuse new ones."""
        self.is_up = False
        with self._lock:
            running = len(self._connections)
            for connection in self._connections:
                with contextlib.suppress(OSError):
                    reset(connection)
            self._connections.clear()
        self.stop()
        self._record(f"trouble: {self.id} crashes, {running} requests are lost")

    def stop(self) -> None:
        """Close the port."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def entry(self) -> dict:
        """Return its next entry in the store."""
        self.beats += 1
        return {
            "Service": "desk",
            "Address": self.address,
            "Zone": "a",
            "Version": "v1",
            "Slots": 6,
            "State": "ready",
            "ColdLeftMs": 0,
            "Sequence": self.beats,
            "born": self.born,
        }

    def _accept(self, listening: socket.socket) -> None:
        while True:
            try:
                connection, _ = listening.accept()
            except OSError:
                return
            if not self.is_up:
                connection.close()
                continue
            with self._lock:
                self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError):
            self._answer(connection)
        with self._lock:
            self._connections.discard(connection)
        with contextlib.suppress(OSError):
            connection.close()

    def _answer(self, connection: socket.socket) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            piece = connection.recv(65536)
            if not piece:
                return
            data += piece
        lines = data.decode("latin-1").split("\r\n")
        path = lines[0].split(" ")[1]
        pairs = (line.partition(":") for line in lines[1:])
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        request_id = headers.get("x-attempt-id", "")
        if headers.get("x-expect-replica", self.id) != self.id:
            head = f"HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: {self.id}\r\n"
            connection.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        boot = self._starts
        self.runs.append((time.monotonic(), request_id, path))
        time.sleep(self._work_s)
        if boot != self._starts:
            return
        body = json.dumps({"path": path}).encode()
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Replica-Seal: seal.{request_id}\r\nX-Replica-Id: {self.id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection.sendall(head.encode() + body)
