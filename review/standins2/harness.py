"""What the cases from 6 on share: a small deployment, its configuration and the record."""

from __future__ import annotations

import itertools
import os
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

from review.standins2.desk import Desk
from review.standins2.node import Node, open_request
from review.standins2.store import Store

__all__ = ["CONFIGURATION", "TROUBLE", "Deployment", "Record", "run"]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.2
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 3
"""Exit codes. An error of Python's own exits with 1; run.sh turns 3 into 1."""

CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "ask",
            "Host": "ai.example",
            "PathPrefix": "/ask/",
            "Kind": "streaming",
            "TimeoutMs": 6_000,
            "TargetLatencyMs": 800,
            "Priority": 1,
            "Service": "engines",
            "MaxAttempts": 1,
            "Public": False,
            "Sticky": True,
            "Resumable": False,
            "GapAimMs": 400,
        }
    ],
    "Services": [
        {
            "Name": "engines",
            "HealthPath": "/health",
            "MaxConnections": 360,
            "Engine": {
                "Slots": 64,
                "KvCapacityTokens": 146_851,
                "KvBytes": 18_432,
                "LinkMbps": 180_000.0,
                "MaxInFlight": 12,
                "Models": [{"Name": "m"}],
            },
        }
    ],
    "Limits": {
        "HeaderBytes": 16_384,
        "BodyBytes": 4_194_304,
        "HeaderMs": 3_000,
        "IdleMs": 15_000,
    },
    "Tenants": [{"Name": "t1", "ApiKeys": ["k1"], "Priority": 1, "Isolated": False}],
}


class Record:
    """Lines with the time since the start, written to a file at the end.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def __call__(self, line: str) -> None:
        """Add a line."""
        self._lines.append(f"{time.monotonic() - self._started_s:8.3f} {line}")

    def write(self) -> None:
        """Write the file."""
        (self._folder / "record.txt").write_text("\n".join([*self._lines, ""]))


class Deployment:
    """Nodes, engines and a store.

    Args:
        folder: Temporary folder.
        record: Record of what happens.
        engines: Engines, which the store gets to know.
        configuration: The first configuration.
        names: Names of the nodes; the last letter but two is the zone.
    """

    def __init__(
        self,
        folder: Path,
        record: Record,
        engines: list,
        *,
        configuration: dict = CONFIGURATION,
        names: tuple[str, ...] = ("edge-a-1", "edge-b-1"),
    ):
        self.record = record
        self.store = Store(record)
        self.engines = engines
        self.configuration = configuration
        self.store.put("keyed.op", "config", configuration)
        self.born = int(time.time() * 1000)
        self._number = itertools.count(1)
        self.beat()
        self.nodes: list[Node] = []
        for name in names:
            self.nodes.append(
                Node(name, name[-3], folder, self.store.address, *self.nodes[:1])
            )
        self._ends = threading.Event()
        threading.Thread(target=self._beat_on, daemon=True).start()

    def beat(self) -> None:
        """Write the entries of the engines."""
        number = next(self._number)
        for engine in self.engines:
            if isinstance(engine, Desk):
                self.put_entry(engine)
                continue
            entry = engine.entry(number, self.born)
            self.store.put("keyed.servers", engine.id, entry)

    def put_entry(self, desk: Desk) -> None:
        """Write the entry of a plain replica if it is up."""
        if desk.is_up:
            self.store.put("keyed.servers", desk.id, desk.entry())

    def _beat_on(self) -> None:
        while not self._ends.wait(BEAT_S):
            self.beat()

    def start(self) -> None:
        """Start the nodes and let them get to know each other."""
        for node in self.nodes:
            node.start()
        time.sleep(3.0)

    def stop(self) -> None:
        """End all that was started."""
        self._ends.set()
        for node in self.nodes:
            node.stop()
        for each in (*self.engines, self.store):
            each.stop()

    def configure(self, **changes) -> None:
        """Write a newer configuration."""
        version = self.configuration["Version"] + 3
        self.configuration = {**self.configuration, **changes, "Version": version}
        self.store.put("keyed.op", "config", self.configuration)
        self.record(f"operator: configuration {version}: {sorted(changes)}")

    def name_weights(self, version: int) -> None:
        """Name new weights."""
        self.store.put("keyed.op", "version/m", {"Model": "m", "Version": version})
        self.record(f"operator: names version {version}")

    def ask(
        self, node: Node, request_id: str, prefix: str, *, key: str = "k1", **options
    ) -> int:
        """Send a request for a stream and read its answer.

        Args:
            node: The node.
            request_id: Id of the requester's attempt.
            prefix: Parts of the prompt.
            key: Key of the requester's tenant.
            options: ``is_quiet`` leaves a success out of the record.

        Returns:
            The status, 0 for none.
        """
        tokens = sum(int(part.partition(":")[2]) for part in prefix.split(","))
        head = [
            f"POST /ask/{request_id} HTTP/1.1",
            "Host: ai.example",
            f"X-Attempt-Id: {request_id}",
            "X-Time-Budget: 6000",
            "X-Model: m",
            f"X-Token-Counts: {tokens},26",
            f"X-Prompt-Prefix: {prefix}",
            f"Authorization: Token {key}",
        ]
        answer = b""
        error = ""
        try:
            connection = open_request(node, head, b"x")
            while piece := connection.recv(65536):
                answer += piece
        except OSError as failure:
            error = f", {failure!r}"
        status = int(answer[9:12] or 0)
        is_whole = answer.endswith(b"0\r\n\r\n") and not error
        if not (options.get("is_quiet") and status == 200 and is_whole):
            self.record(
                f"requester: {request_id} at {node.name}, key {key}, {prefix}: "
                f"status {status}, whole: {is_whole}{error}"
            )
        return status


def run(number: int, engines, play, *, log_words: tuple[str, ...] = (), **options):
    """Run a case and exit with its code.

    Args:
        number: Number of the case.
        engines: Returns the engines, given the record.
        play: Plays the case, given the deployment, and returns the exit code.
        log_words: Words of the nodes' log lines that are added to the record.
        options: Further arguments of the deployment.
    """
    # The time limit of run.sh ends this process with SIGTERM; its nodes must end, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(Path(__file__).parents[1] / str(number))
    code = COULD_NOT_RUN
    deployment = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            deployment = Deployment(Path(folder), record, engines(record), **options)
            code = BROKEN if play(deployment) else HELD
        except Exception as error:  # noqa: BLE001
            record(f"could not run: {error!r}")
        finally:
            if deployment is not None:
                _end(deployment, record, log_words)
            record.write()
    sys.exit(code)


def _end(deployment: Deployment, record: Record, log_words: tuple[str, ...]) -> None:
    """Add lines of the nodes' logs to the record and end all that was started."""
    for node in deployment.nodes:
        for word in log_words:
            if node.output.exists():
                for line in node.log_lines(word):
                    record(f"log of {node.name}: {line[:300]}")
    deployment.stop()
