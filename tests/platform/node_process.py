"""A node that runs as a child process, in front of fakes of the platform."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from tests.ports import stable_ports

__all__ = ["NodeProcess", "RawCaller"]

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 15


class NodeProcess:
    """A node process with its settings file."""

    def __init__(
        self,
        *,
        store_address: str,
        name: str = "edge-a-1",
        zone: str = "a",
        seeds: tuple[str, ...] = (),
    ):
        self.name = name
        self._folder = tempfile.TemporaryDirectory()
        ports = stable_ports(4)
        self.front, self.readiness, self.control, self.metrics = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.settings_file = Path(self._folder.name) / "node.conf"
        self.settings_file.write_text(
            f"NodeName={name}\nZone={zone}\nZones.a=r\nZones.b=r\n"
            f"Listen.Front={self.front}\nListen.Ready={self.readiness}\n"
            f"Listen.Control={self.control}\nInternalPorts={ports[3]},{ports[3]}\n"
            f"Seeds={','.join(seeds)}\nPlatform.Address={store_address}\n"
            "Bounds.GraceS=6\nBounds.BudgetSlack=400\nFirstStart=true\n"
        )
        self.output = Path(self._folder.name) / "output"
        self.process: subprocess.Popen | None = None

    def start(self, *, waits: bool = True) -> None:
        """Start the process and, unless ``waits`` is false, wait until it is ready."""
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "crocuswick"],
                env={**os.environ, "CROCUSWICK_BOOT": str(self.settings_file)},
                stdout=output,
                stderr=output,
            )
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while waits and not self.is_ready():
            if time.monotonic() > deadline_s or self.process.poll() is not None:
                raise AssertionError(f"not ready: {self.output.read_text()}")
            time.sleep(0.02)

    def is_ready(self) -> bool:
        """Return whether the node reports that it is ready."""
        try:
            answer = RawCaller(self.readiness).exchange(
                b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
        except OSError:
            return False
        return answer.startswith(b"HTTP/1.1 200")

    def log(self) -> str:
        """Return what the process has written."""
        return self.output.read_text()

    def terminate(self) -> None:
        """Ask the process to stop."""
        self.process.send_signal(signal.SIGTERM)

    def rewrite_settings(self, old: str, new: str) -> None:
        """Change the settings file and signal the running node to reload it."""
        text = self.settings_file.read_text()
        self.settings_file.write_text(text.replace(old, new))
        self.process.send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """Kill the process and remove its files."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(STOP_TIMEOUT_S)
        self._folder.cleanup()


class RawCaller:
    """A caller that writes and reads raw bytes."""

    def __init__(self, address: str, timeout_s: float = 8.0):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), timeout_s)

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.socket.sendall(data)

    def receive_all(self) -> bytes:
        """Return all bytes until the node closes or resets the connection."""
        data = b""
        try:
            while piece := self.socket.recv(65536):
                data += piece
        except ConnectionResetError:
            pass
        self.socket.close()
        return data

    def receive_until(self, end: bytes) -> bytes:
        """Return the bytes up to an end marker or the end of the stream."""
        data = b""
        while end not in data:
            piece = self.socket.recv(65536)
            if not piece:
                return data
            data += piece
        return data

    def exchange(self, data: bytes) -> bytes:
        """Send bytes and return all bytes until the node closes the connection."""
        self.send(data)
        return self.receive_all()

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
