"""A small deployment: the store, replicas and nodes as processes, and callers."""

from __future__ import annotations

import base64
import contextlib
import http.client
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from tests.platform.metadata_store import MetadataStore  # noqa: E402

START_TIMEOUT_S = 20.0
PORTS = (20_000, 32_000)
ENTRY_LIFETIME_S = 3.6
"""Three intervals of silence, after which the platform removes a replica's entry."""

BOUNDS = """FaultTolerance.Machines=1
FaultTolerance.Zones=1
HeartbeatMs=1200
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.StableWindowMs=3000
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.DowngradeMs=250
Bounds.BudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.BudgetSlack=54
Bounds.RecoveryS=12
Bounds.FencingEnforced=false
Bounds.LeaseMs=3000
Bounds.ThawMs=300
Bounds.VersionMs=10000
Bounds.VersionAllMs=14000
"""

_used_ports: set[int] = set()


def free_port() -> int:
    """Return a free port of the loopback address, each time another one.

    Ports that the kernel gives to outgoing connections are left out: one of them could be
    taken while a replica is down.
    """
    while True:
        port = random.randrange(*PORTS)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with (
            contextlib.suppress(OSError),
            socket.create_server(("127.0.0.1", port)),
        ):
            return port


class Answer(NamedTuple):
    """What a caller got for one request."""

    outcome: int | str
    """Status, or ``failed`` without a complete answer."""

    body: bytes
    is_sealed: bool
    """Whether the answer bears a replica's seal."""


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_s = time.time()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.time() - self.started_s:8.3f} {text}\n")
            self._file.flush()


class Process:
    """A process that the case started."""

    def __init__(self, command: list[str], *, environment: dict, output: Path):
        self._output = output.open("ab")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._output,
            stderr=self._output,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process, and to no other."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()
        self._output.close()


class Node:
    """A machine with one process of the system, started as the deploy file says."""

    def __init__(self, deployment: Deployment, name: str, zone: str):
        self.name = name
        self.zone = zone
        self._deployment = deployment
        self.front, self.ready, self.control = (
            f"127.0.0.1:{free_port()}" for _ in range(3)
        )
        self._internal = free_port()
        self.process: Process | None = None

    def start(self, *, is_first: bool = True) -> None:
        """Write the settings file and start the process."""
        deployment = self._deployment
        settings = deployment.folder / f"{self.name}.conf"
        zones = sorted({node.zone for node in deployment.nodes})
        seeds = ",".join(node.control for node in deployment.nodes[:3])
        lines = [
            f"NodeName={self.name}",
            "Role=router",
            "MachineClass=edge",
            "Serves=edge,control_plane",
            "Ip=127.0.0.1",
            f"Zone={self.zone}",
            "Region=r",
            *(f"Zones.{zone}=r" for zone in zones),
            f"Listen.Front={self.front}",
            f"Listen.Ready={self.ready}",
            f"Listen.Control={self.control}",
            f"InternalPorts={self._internal},{self._internal}",
            f"Seeds={seeds}",
            f"FirstStart={str(is_first).lower()}",
            f"Platform.Address={deployment.store.address}",
            "Platform.form=log",
        ]
        settings.write_text("\n".join(lines) + "\n" + BOUNDS)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CROCUSWICK_BOOT"] = str(settings)
        self.process = Process(
            ["python3", "-m", "crocuswick"],
            environment=environment,
            output=deployment.folder / f"{self.name}.log",
        )

    def wait_ready(self) -> None:
        """Wait until the node says that it is ready."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > deadline_s:
                raise CouldNotRunError(f"{self.name} isn't ready")
            time.sleep(0.05)

    def is_ready(self) -> bool:
        """Whether the node answers the platform's question with 200."""
        host, _, port = self.ready.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def events(self) -> list[dict]:
        """Return the lines of the node's log that are JSON."""
        path = self._deployment.folder / f"{self.name}.log"
        events = []
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
            if line.startswith("{"):
                events.append(json.loads(line))
        return events


class ReplicaProcess:
    """A replica that is started, killed and started again at the same address."""

    def __init__(self, deployment: Deployment, name: str, service: str, **options: Any):
        self.name = name
        self.service = service
        self.port = free_port()
        self._deployment = deployment
        self._options = options
        self._starts = 0
        self.id = ""
        self._process: Process | None = None

    @property
    def address(self) -> str:
        """``host:port`` of the replica."""
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Start the replica under a new id."""
        self._starts += 1
        self.id = f"i-{self.name}-{self._starts}"
        deployment = self._deployment
        command = [sys.executable, str(ROOT / "review/standins/replica.py")]
        options = {
            "id": self.id,
            "service": self.service,
            "port": self.port,
            "store": deployment.store.address,
            "log": deployment.folder / "replicas.log",
            **self._options,
        }
        for name, value in options.items():
            command += [f"--{name.replace('_', '-')}", str(value)]
        self._process = Process(
            command, environment=dict(os.environ), output=deployment.folder / "out.log"
        )

    def crash(self) -> None:
        """Kill the replica; the platform removes its entry after some silence."""
        self._process.kill()
        gone_id = self.id
        timer = threading.Timer(
            ENTRY_LIFETIME_S,
            lambda: self._deployment.store.put("keyed.servers", gone_id, None),
        )
        timer.daemon = True
        timer.start()

    def leave(self) -> None:
        """Let the platform remove the entry; the replica goes on serving."""
        self._process.signal(signal.SIGUSR1)
        self._deployment.store.put("keyed.servers", self.id, None)

    def entry(self) -> dict:
        """Return the newest entry of the replica."""
        page = self._deployment.store.call_log_newest({"Topic": "keyed.servers"}, b"")
        values = {item["Key"]: item["Value"] for item in json.loads(page[1])["items"]}
        return json.loads(base64.b64decode(values[self.id]))

    def stop(self) -> None:
        """End the process."""
        if self._process is not None and self._process.is_running:
            self._process.kill()


class CouldNotRunError(Exception):
    """The case could not run."""


class Deployment:
    """The store, nodes and replicas of a case."""

    def __init__(self, folder: Path, configuration: dict):
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.record = Record(folder)
        self.store = MetadataStore()
        self.configuration = configuration
        self.nodes: list[Node] = []
        self.replicas: list[ReplicaProcess] = []
        self._numbers = itertools.count(1)
        self.configure()

    def configure(self, **changes: Any) -> None:
        """Write the configuration, or a new version of it, to the store."""
        self.configuration = {**self.configuration, **changes}
        self.configuration["Version"] = self.configuration.get("Version", 4) + 3
        self.store.put("keyed.op", "config", self.configuration)
        self.record.write(f"configuration {self.configuration['Version']} acknowledged")

    def name_weights(self, model: str, version: int) -> None:
        """Name new weights of a model."""
        value = {"Model": model, "Version": version}
        self.store.put("keyed.op", f"version/{model}", value)
        self.record.write(f"weights {version} of {model} named")

    def add_node(self, name: str, zone: str) -> Node:
        """Add a machine of the system."""
        node = Node(self, name, zone)
        self.nodes.append(node)
        return node

    def add_replica(self, name: str, service: str, **options: Any) -> ReplicaProcess:
        """Add a replica."""
        replica = ReplicaProcess(self, name, service, **options)
        self.replicas.append(replica)
        return replica

    def start(self) -> None:
        """Start all replicas and nodes, and wait until the nodes are ready."""
        for replica in self.replicas:
            replica.start()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.wait_ready()
        self.record.write("all nodes are ready")

    def runs(self) -> list[dict]:
        """Return what the replicas have logged."""
        path = self.folder / "replicas.log"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def ask(
        self,
        node: Node,
        method: str,
        host: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        budget_ms: int = 3_000,
        label: str = "",
    ) -> Answer:
        """Send one request on a new channel and return what came back."""
        request_id = f"{next(self._numbers):016x}"
        fields = {
            "Host": host,
            "X-Attempt-Id": request_id,
            "X-Time-Budget": str(budget_ms),
            "Connection": "close",
            **(headers or {}),
        }
        at, _, port = node.front.partition(":")
        connection = http.client.HTTPConnection(
            at, int(port), timeout=budget_ms / 1000 + 1
        )
        text = f"{method} {path}"
        sent_s = time.time()
        content, is_sealed = b"", False
        try:
            connection.request(method, path, body=body, headers=fields)
            answer = connection.getresponse()
            content = answer.read()
            outcome: int | str = answer.status
            is_sealed = answer.getheader("X-Replica-Seal") is not None
            detail = f"{'sealed' if is_sealed else 'own'} {content[:160]!r}"
        except (OSError, http.client.HTTPException) as error:
            outcome, detail = "failed", repr(error)
        finally:
            connection.close()
        elapsed_ms = round((time.time() - sent_s) * 1000)
        self.record.write(
            f"{node.name} {request_id} {text} {label} -> {outcome} "
            f"after {elapsed_ms} ms {detail}"
        )
        return Answer(outcome, content, is_sealed)

    def stop(self) -> None:
        """End all processes, and copy what the replicas ran to the record."""
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
        for replica in self.replicas:
            replica.stop()
        self._record_leases()
        for line in self.runs():
            time_s = line.pop("t") - self.record.started_s
            self.record.write(f"replica, at {time_s:.3f}: {json.dumps(line)}")
        self.store.stop()
        self._temporary.cleanup()

    def _record_leases(self) -> None:
        """Copy what the nodes logged of the right to order to the record."""
        for node in self.nodes:
            if node.process is None:
                continue
            for event in node.events():
                if "right to order" in event["event"] or "drain" in event["event"]:
                    time_s = event.pop("t") - self.record.started_s
                    self.record.write(f"node, at {time_s:.3f}: {json.dumps(event)}")


def run_case(folder: Path, case: Any) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 on a failure.

    Args:
        folder: Folder of the case.
        case: Called with the folder and whether to cause the disruption; returns whether
            the rule was broken.
    """
    try:
        is_broken = case(folder, os.environ.get("TROUBLE", "1") != "0")
    except Exception as error:  # noqa: BLE001 - any failure means that it could not run
        print(f"the case could not run: {error!r}", file=sys.stderr)
        raise SystemExit(2) from error
    print("the rule was broken" if is_broken else "the rule held")
    raise SystemExit(int(is_broken))
