"""Nodes as processes, with the settings of a small deployment."""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from typing import Any

from review.standins3.record import Record
from review.standins3.store import Store

__all__ = ["Caller", "Deployment", "Node", "free_ports"]

ROOT = Path(__file__).resolve().parents[2]
READY_S = 25.0
HEARTBEAT_S = 1.2
FIRST_PORT, END_PORT = 12_000, 32_000

_given_ports: set[int] = set()


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return free ports, none of them twice in a process.

    They lie below those that the kernel gives to outgoing connections.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(FIRST_PORT, END_PORT)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            if port not in _given_ports:
                _given_ports.add(port)
                ports.append(port)
    return ports


class Node:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, folder: Path):
        self.name = name
        self.zone = zone
        self.front, self.ready, self.control, first, last = (
            f"127.0.0.1:{port}" for port in free_ports(5)
        )
        self._internal = ",".join(
            sorted((first.rpartition(":")[2], last.rpartition(":")[2]), key=int)
        )
        self._settings = folder / f"{name}.conf"
        self._output = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.is_told_to_stop = False

    def write_settings(self, store: str, seeds: list[str], zones: list[str]) -> None:
        """Write the settings file, with the fields and figures of DEPLOY.md."""
        lines = [
            f"NodeName={self.name}",
            "Role=router",
            "MachineClass=edge",
            "Serves=edge,control_plane",
            "Ip=127.0.0.1",
            f"Zone={self.zone}",
            "Region=wa-south",
            *(f"Zones.{zone}=wa-south" for zone in zones),
            f"Listen.Front={self.front}",
            f"Listen.Ready={self.ready}",
            f"Listen.Control={self.control}",
            f"InternalPorts={self._internal}",
            f"Seeds={','.join(seeds)}",
            "FirstStart=true",
            "LossCounted=false",
            "Limits.CpuShare=0.537",
            "Limits.Cores=2",
            "Limits.MemoryMb=300",
            "Limits.MaxFds=4100",
            "Limits.LinkMbps=1000.0",
            "Limits.DiskMb=0",
            "Discovery=platform",
            "Entry=vip",
            "HeartbeatMs=1200",
            "Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,"
            "tenants,platform",
            "FaultTolerance.Machines=1",
            "FaultTolerance.Zones=1",
            "FaultTolerance.Regions=0",
            "Bounds.ReuseAfterS=2",
            "Bounds.StableWindowMs=3000",
            "Bounds.AckMs=4000",
            "Bounds.CatchUpS=4",
            "Bounds.DrainMs=2000",
            "Bounds.GraceS=8",
            "Bounds.LossSlackMs=200",
            "Bounds.ConfigApplyMs=2000",
            "Bounds.DowngradeMs=250",
            "Bounds.MaxStretchMs=5000",
            "Bounds.BudgetRatio=0.2",
            "Bounds.BudgetWindowS=10",
            "Bounds.BudgetSlack=54",
            "Bounds.RecoveryS=12",
            "Bounds.TransitMs=120",
            "Bounds.ReuseWindowS=10",
            "Bounds.FencingEnforced=false",
            "Bounds.LeaseMs=3000",
            "Bounds.ThawMs=300",
            "Bounds.VersionMs=10000",
            "Bounds.VersionAllMs=14000",
            f"Platform.Address={store}",
            "Platform.form=log",
            "Platform.WritesPerS=400",
            "Platform.ReadsPerS=2000",
            "Platform.parts=16",
            "Platform.AppendMs=3.0",
            "Platform.RecordBytes=262144",
            "Platform.CallBytes=2097152",
            "Platform.keep_s=300",
            "Platform.PartMb=200",
            "Platform.TtlMinMs=1000",
        ]
        self._settings.write_text("\n".join([*lines, ""]), encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CROCUSWICK_BOOT"] = str(self._settings)
        with self._output.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "crocuswick"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            return Caller(self.ready).ask("GET", "/readiness", {"Host": "x"})[0] == 200
        except OSError:
            return False

    def log(self) -> str:
        """Return what the process has written."""
        return self._output.read_text(encoding="utf-8", errors="replace")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.is_told_to_stop |= number == signal.SIGTERM
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)


class Caller:
    """A requester with a channel of its own."""

    def __init__(self, address: str, timeout_s: float = 8.0):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), timeout_s)
        self._data = b""

    def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a request."""
        fields = dict(headers)
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        self.socket.sendall("\r\n".join([*lines, "", ""]).encode() + body)

    def ask(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes, bool]:
        """Send a request on a channel that ends with it, and read the answer."""
        try:
            self.send(method, path, {**headers, "Connection": "close"}, body)
            return self.read()
        finally:
            self.close()

    def read(self) -> tuple[int, dict[str, str], bytes, bool]:
        """Read one answer: status, headers, body, and whether it is complete.

        The status is 0 if the channel ended without a whole head.
        """
        head = self._until(b"\r\n\r\n")
        if head is None:
            return 0, {}, b"", False
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            body, is_complete = self._chunks()
        elif "content-length" in headers:
            body = self._exactly(int(headers["content-length"]))
            is_complete = len(body) == int(headers["content-length"])
        else:
            body, is_complete = self._rest(), True
        return status, headers, body, is_complete

    def close(self) -> None:
        """Close the channel."""
        with contextlib.suppress(OSError):
            self.socket.close()

    def _chunks(self) -> tuple[bytes, bool]:
        body = b""
        while True:
            line = self._until(b"\r\n")
            if line is None:
                return body, False
            size = int(line, 16)
            if size == 0:
                return body, self._until(b"\r\n") is not None
            chunk = self._exactly(size + 2)
            body += chunk[:size]
            if len(chunk) < size + 2:
                return body, False

    def _until(self, end: bytes) -> bytes | None:
        while end not in self._data:
            if not self._receive():
                return None
        found, _, self._data = self._data.partition(end)
        return found

    def _exactly(self, size: int) -> bytes:
        while len(self._data) < size and self._receive():
            pass
        found, self._data = self._data[:size], self._data[size:]
        return found

    def _rest(self) -> bytes:
        while self._receive():
            pass
        found, self._data = self._data, b""
        return found

    def _receive(self) -> bool:
        try:
            data = self.socket.recv(65536)
        except OSError:
            return False
        self._data += data
        return bool(data)


class Deployment:
    """A store, nodes in three zones, and replicas that a case registers."""

    def __init__(self, folder: Path, *, nodes: int):
        self.record = Record(folder / "record.txt")
        self._folder = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        self.zones = ["perth-a", "perth-b", "bunbury-c"]
        self.nodes = [
            Node(f"edge-{number}", self.zones[number % 3], Path(self._folder.name))
            for number in range(nodes)
        ]
        self.configuration: dict[str, Any] = {}

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration to the store, which acknowledges it."""
        self.configuration = configuration
        self.store.put("keyed.op", "config", configuration)
        tenants = json.dumps(configuration.get("Tenants", []))
        self.record.add(
            f"operator: configuration {configuration['Version']} acknowledged, "
            f"Tenants {tenants}"
        )

    def start(self) -> None:
        """Start all nodes and wait until they are ready.

        Raises:
            RuntimeError: One does not become ready.
        """
        seeds = [node.control for node in self.nodes[:3]]
        for node in self.nodes:
            node.write_settings(self.store.address, seeds, self.zones)
            node.start()
        ends_s = time.monotonic() + READY_S
        for node in self.nodes:
            while not node.is_ready():
                if time.monotonic() > ends_s or node.process.poll() is not None:
                    raise RuntimeError(
                        f"{node.name} isn't ready:\n{node.log()[-3000:]}"
                    )
                time.sleep(0.05)
        self.record.add(f"{len(self.nodes)} nodes are ready")

    def check_nodes(self) -> None:
        """Check that no node has ended but one that was told to stop.

        Raises:
            RuntimeError: One has ended otherwise, so that the case can't be judged.
        """
        for node in self.nodes:
            code = node.process.poll()
            if code is not None and not (node.is_told_to_stop and code == 0):
                raise RuntimeError(f"{node.name} has ended with {code}")

    def record_nodes(self) -> None:
        """Note how the nodes ended and what they wrote last."""
        for node in self.nodes:
            if node.process is not None:
                code = node.process.poll()
                self.record.add(f"{node.name}: exit code {code}, {node.log()[-800:]}")

    def stop(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            node.stop()
        self.store.stop()
        self._folder.cleanup()
