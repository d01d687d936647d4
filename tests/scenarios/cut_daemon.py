"""Runs ``crocuswickd`` with sockets that a network partition can cut.

The file named by the environment variable ``CUT_FILE`` holds the ports, as a JSON
list, that the process cannot reach. As in a real partition, nothing is refused:
connecting and reading block, sent data is lost, and a connection that lost data
fails with a reset once the partition has healed.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import struct
import sys
import threading
import time
from pathlib import Path
from typing import Any

__all__ = ["CutSocket", "cut_ports", "main"]

CUT_FILE_VARIABLE = "CUT_FILE"
POLL_INTERVAL_S = 0.02
WAIT_STEP_S = 0.02
CONNECT_TIMEOUT_S = 30.0
TIMEVAL = struct.Struct("@ll")

cut_ports: set[int] = set()
"""Ports that can't be reached at present."""


def watch_cut_file(path: Path) -> None:
    """Update `cut_ports` whenever the file changes."""
    while True:
        cut = set(json.loads(path.read_text())) if path.exists() else set()
        if cut != cut_ports:
            cut_ports.clear()
            cut_ports.update(cut)
        time.sleep(POLL_INTERVAL_S)


class CutSocket(socket.socket):
    """A socket that simulates a partition from the ports in `cut_ports`."""

    _peer_port = 0
    _lost_data = False

    def connect(self, address: Any) -> None:
        """Connect; block until the peer can be reached or the timeout expires."""
        self._peer_port = address[1] if isinstance(address, tuple) else 0
        self._wait(self.gettimeout() or CONNECT_TIMEOUT_S)
        super().connect(address)

    def send(self, data: Any, *flags: int) -> int:
        """Send data, or discard it if the peer can't be reached."""
        if self._discards_data():
            return memoryview(data).nbytes
        return super().send(data, *flags)

    def sendall(self, data: Any, *flags: int) -> None:
        """Send all data, or discard it if the peer can't be reached."""
        if not self._discards_data():
            super().sendall(data, *flags)

    def sendto(self, data: Any, *rest: Any) -> int:
        """Send a datagram, or discard it if the peer can't be reached."""
        if rest[-1][1] in cut_ports:
            return memoryview(data).nbytes
        return super().sendto(data, *rest)

    def recv(self, *arguments: Any) -> bytes:
        """Receive data; block while the peer can't be reached."""
        self._wait_to_read()
        return super().recv(*arguments)

    def recv_into(self, *arguments: Any) -> int:
        """Receive data into a buffer; block while the peer can't be reached."""
        self._wait_to_read()
        return super().recv_into(*arguments)

    def _peer(self) -> int:
        """Return the peer's port, also for a socket made from a file descriptor."""
        if not self._peer_port:
            with contextlib.suppress(OSError):
                name = self.getpeername()
                self._peer_port = name[1] if isinstance(name, tuple) else 0
        return self._peer_port

    def _timeout_s(self) -> float:
        """Return the receive timeout that is set in Python or else in the kernel."""
        python_timeout_s = self.gettimeout()
        if python_timeout_s:
            return python_timeout_s
        option = self.getsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, TIMEVAL.size)
        seconds, microseconds = TIMEVAL.unpack(option)
        return seconds + microseconds / 1e6 or CONNECT_TIMEOUT_S

    def _discards_data(self) -> bool:
        if self._peer() in cut_ports:
            self._lost_data = True
        elif self._lost_data:
            raise ConnectionResetError("data was lost in a partition")
        return self._lost_data

    def _wait_to_read(self) -> None:
        if self._peer() in cut_ports and self.gettimeout() != 0:
            self._wait(self._timeout_s())
        if self._peer_port and self._lost_data:
            raise ConnectionResetError("data was lost in a partition")

    def _wait(self, timeout_s: float) -> None:
        until_s = time.monotonic() + timeout_s
        while self._peer_port in cut_ports:
            if time.monotonic() > until_s:
                raise TimeoutError("cut off by a partition")
            time.sleep(WAIT_STEP_S)


def main() -> None:
    """Replace the socket class and run the daemon."""
    path = Path(os.environ[CUT_FILE_VARIABLE])
    threading.Thread(target=watch_cut_file, args=(path,), daemon=True).start()
    socket.socket = CutSocket  # type: ignore[misc]
    # Imported here, so that every module uses the replaced class.
    from crocuswick.daemon import main as run_daemon

    run_daemon()


if __name__ == "__main__":
    sys.exit(main())
