"""Starts nodes as the deploy file does, and sends requests to them."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

__all__ = ["Node", "free_ports", "open_get", "open_request"]

START_TIMEOUT_S = 20
SETTINGS = """\
NodeName={name}
Role=router
MachineClass=edge
Serves=edge,control_plane
Ip=127.0.0.1
Zone={zone}
Region=r
Zones.a=r
Zones.b=r
Listen.Front={front}
Listen.Ready={ready}
Listen.Control={control}
InternalPorts={internal},{internal}
Seeds={seeds}
FirstStart=true
Limits.MemoryMb=300
Limits.MaxFds=4100
Discovery=platform
Entry=vip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
Bounds.StableWindowMs=3000
Bounds.AckMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.ConfigApplyMs=2000
Bounds.BudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.BudgetSlack=54
Bounds.FencingEnforced=false
Bounds.LeaseMs=3000
Bounds.ThawMs=300
Bounds.VersionMs=10000
Bounds.VersionAllMs=14000
Platform.Address={store}
Platform.form=log
"""


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Node:
    """A node process.

    Args:
        name: Its name.
        zone: Its zone.
        folder: Temporary folder for its settings and its output.
        store: Address of the store.
        seeds: Nodes whose addresses it is given.
    """

    def __init__(self, name: str, zone: str, folder: Path, store: str, *seeds: Node):
        self.name = name
        ports = free_ports(4)
        self.front, self.ready, self.control = (
            f"127.0.0.1:{port}" for port in ports[:3]
        )
        self.settings = folder / f"{name}.conf"
        self.output = folder / f"{name}.log"
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                front=self.front,
                ready=self.ready,
                control=self.control,
                internal=ports[3],
                seeds=",".join([*(seed.control for seed in seeds), self.control]),
                store=store,
            )
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process and wait until it is ready.

        Raises:
            RuntimeError: It does not become ready.
        """
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(Path("target/deps").resolve())
        environment["CROCUSWICK_BOOT"] = str(self.settings)
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "crocuswick"],
                env=environment,
                stdout=output,
                stderr=output,
            )
        until_s = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > until_s or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready")
            time.sleep(0.05)

    def is_ready(self) -> bool:
        """Return whether it answers 200 at its address for readiness."""
        host, _, port = self.ready.rpartition(":")
        try:
            with socket.create_connection((host, int(port)), 1.0) as connection:
                connection.sendall(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def log_lines(self, word: str) -> list[str]:
        """Return the lines of its log that contain a word."""
        return [line for line in self.output.read_text().splitlines() if word in line]

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL."""
        self.process.send_signal(signal.SIGKILL)

    def stop(self) -> None:
        """End the process if it runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait(10)


def open_request(node: Node, head: list[str], body: bytes) -> socket.socket:
    """Send a request to a node on a new channel.

    Args:
        node: The node.
        head: Request line and headers, without those for the length of the body.
        body: The body.
    """
    host, _, port = node.front.rpartition(":")
    connection = socket.create_connection((host, int(port)), 10.0)
    lines = [*head, f"Content-Length: {len(body)}", "Connection: close", "", ""]
    connection.sendall("\r\n".join(lines).encode() + body)
    return connection


def open_get(node: Node, host: str, path: str, request_id: str) -> tuple[int, bool]:
    """Send a request without a body on a new channel and read its answer.

    Args:
        node: The node.
        host: Host of the route.
        path: The path.
        request_id: Id of the requester's attempt.

    Returns:
        The status, 0 for none, and whether a replica has sealed the answer.
    """
    address, _, port = node.front.rpartition(":")
    lines = [
        f"GET {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Attempt-Id: {request_id}",
        "X-Time-Budget: 4000",
        "Authorization: Token k1",
        "Connection: close",
        "",
        "",
    ]
    answer = b""
    try:
        with socket.create_connection((address, int(port)), 6.0) as connection:
            connection.sendall("\r\n".join(lines).encode())
            while piece := connection.recv(65536):
                answer += piece
    except OSError:
        return 0, False
    return int(answer[9:12] or 0), b"X-Replica-Seal" in answer
