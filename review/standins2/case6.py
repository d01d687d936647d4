"""Case 6: the next holder's claim is carried out and its answer is lost.

The holder of the right to order is killed after an order to a replica. The other node
claims the right; the store carries out the claim, and its answer is lost with the
channel. The orders of two holders must be ``LeaseMs`` apart at each replica.
"""

from __future__ import annotations

import itertools
import os
import sys
import tempfile
import threading
import time
from pathlib import Path

from review.standins2.engine import Engine
from review.standins2.node import Node, open_request
from review.standins2.store import Store

LEASE_MS = 3_000
KILL_AFTER_S = 0.15
"""Time from an order of the holder to its SIGKILL."""

OBSERVED_S = 9.0
STREAM_EVENTS = 26
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = Path(__file__).parents[1] / "6"
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
    """Lines with the time since the start, written to a file at the end."""

    def __init__(self):
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def __call__(self, line: str) -> None:
        """Add a line."""
        self._lines.append(f"{time.monotonic() - self._started_s:8.3f} {line}")

    def write(self) -> None:
        """Write the file."""
        (FOLDER / "record.txt").write_text("\n".join([*self._lines, ""]))


class Case:
    """Two nodes, two engines and a store."""

    def __init__(self, folder: Path, record: Record):
        self.record = record
        self.store = Store(record)
        self.engines = [
            Engine(name, record, version=3, events=STREAM_EVENTS)
            for name in ("engine-1", "engine-2")
        ]
        self.store.put("keyed.op", "config", CONFIGURATION)
        self._born = int(time.time() * 1000)
        self._number = itertools.count(1)
        self.beat()
        first = Node("edge-a-1", "a", folder, self.store.address)
        self.nodes = [first, Node("edge-b-1", "b", folder, self.store.address, first)]
        self._ends = threading.Event()
        threading.Thread(target=self._beat_on, daemon=True).start()

    def beat(self) -> None:
        """Write the entries of the engines."""
        number = next(self._number)
        for engine in self.engines:
            entry = engine.entry(number, self._born)
            self.store.put("keyed.servers", engine.id, entry)

    def _beat_on(self) -> None:
        while not self._ends.wait(1.2):
            self.beat()

    def stop(self) -> None:
        """End all that was started."""
        self._ends.set()
        for node in self.nodes:
            node.stop()
        for each in (*self.engines, self.store):
            each.stop()

    def name_weights(self, version: int) -> None:
        """Name new weights."""
        self.store.put("keyed.op", "version/m", {"Model": "m", "Version": version})
        self.record(f"operator: names version {version}")

    def orders(self) -> list[tuple[float, str, int]]:
        """Return the orders of all engines in the order of arrival."""
        return sorted(each for engine in self.engines for each in engine.orders)

    def stream(self, node: Node, number: int) -> None:
        """Send a request for a stream and read its answer."""
        request_id = f"{number:016x}"
        head = [
            f"POST /ask/{number} HTTP/1.1",
            "Host: ai.example",
            f"X-Attempt-Id: {request_id}",
            "X-Time-Budget: 6000",
            "X-Model: m",
            "X-Token-Counts: 290,26",
            f"X-Prompt-Prefix: {number:02x}:290",
            "Authorization: Token k1",
        ]
        self.record(f"requester: sends {request_id} to {node.name}")
        answer = b""
        try:
            connection = open_request(node, head, b"x")
            while piece := connection.recv(65536):
                answer += piece
        except OSError as error:
            self.record(f"requester: {request_id}: {error!r}")
        status = answer[9:12].decode()
        is_whole = answer.endswith(b"0\r\n\r\n")
        self.record(f"requester: {request_id}: status {status}, whole: {is_whole}")

    def load_engines(self, node: Node) -> None:
        """Send streams until each engine runs one.

        Raises:
            RuntimeError: An engine gets none.
        """
        for number in range(1, 25):
            threading.Thread(
                target=self.stream, args=(node, number), daemon=True
            ).start()
            time.sleep(0.05)
            if all(engine.running for engine in self.engines):
                return
        raise RuntimeError("an engine got no stream")


def takes_turns(case: Case) -> list[str]:
    """Return the places at which two holders took turns too soon."""
    found = []
    for engine in case.engines:
        for before, after in itertools.pairwise(engine.orders):
            apart_ms = (after[0] - before[0]) * 1000
            if before[1] != after[1] and apart_ms < LEASE_MS:
                found.append(
                    f"{engine.id}: an order of {before[1]} (fence {before[2]}) and one "
                    f"of {after[1]} (fence {after[2]}) {apart_ms:.0f} ms later"
                )
    return found


def play(case: Case) -> int:
    """Play the case and return the exit code."""
    for node in case.nodes:
        node.start()
    time.sleep(3.0)
    # The streams pass the node that will not be the first holder.
    other, holder = case.nodes
    case.load_engines(other)
    if TROUBLE:
        case.store.lose_next_answer(
            lambda topic, raw: "lease" in topic and other.name.encode() in raw
        )
    case.name_weights(4)
    until_s = time.monotonic() + 5
    while not case.orders():
        if time.monotonic() > until_s:
            raise RuntimeError("no order for version 4")
        time.sleep(0.01)
    if case.orders()[0][1] != holder.name:
        raise RuntimeError(f"{other.name} holds the right to order")
    if TROUBLE:
        time.sleep(KILL_AFTER_S)
        holder.kill()
        case.record(f"trouble: SIGKILL of {holder.name}")
    time.sleep(OBSERVED_S)
    found = takes_turns(case)
    for line in found:
        case.record(f"BROKEN: ONE: {line}")
    if not found:
        case.record("held: no two holders took turns within LeaseMs")
    return 1 if found else 0


def main() -> int:
    """Run the case."""
    record = Record()
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder), record)
        try:
            return play(case)
        except Exception as error:  # noqa: BLE001
            record(f"could not run: {error!r}")
            return 2
        finally:
            for node in case.nodes:
                if node.output.exists():
                    for line in node.log_lines("right to order"):
                        record(f"log of {node.name}: {line}")
            case.stop()
            record.write()


if __name__ == "__main__":
    sys.exit(main())
