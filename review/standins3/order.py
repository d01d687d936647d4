"""Case: one byte of an event is wrong; pieces of the stream are missing or come twice."""

from __future__ import annotations

import re
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from review.standins3.deployment import Caller, Deployment
from review.standins3.replicas import Engine, Run
from review.standins3.runner import CaseError, run_case

if TYPE_CHECKING:
    from pathlib import Path

STREAMS = 400
EVENTS = 17
SPOILED_EVERY = 50
"""An engine spoils one of so many answers: 0.02, the share of `garble`."""

ENGINES = 5
SPOILED_EVENTS = {"i-0": 0, "i-1": EVENTS // 2}
"""Event that a faulty engine spoils: the number of its id, or the name of that field."""

SPOILED_NUMBER = (b"id: 0", b"id: 8")
SPOILED_NAME = (b"id: ", b"iF: ")

MODEL = "daka510000"
KEY = "ctnfzs989anu6wsjnban"
CONFIGURATION: dict[str, Any] = {
    "Version": 7,
    "Routes": [
        {
            "Name": "roster-digest",
            "Host": "jepu9.example",
            "PathPrefix": "/digest/",
            "Kind": "streaming",
            "TimeoutMs": 6000,
            "TargetLatencyMs": 800,
            "Priority": 1,
            "Service": "lm-pool",
            "MaxAttempts": 2,
            "Public": False,
            "Sticky": True,
            "Resumable": True,
            "GapAimMs": 400,
        }
    ],
    "Services": [
        {
            "Name": "lm-pool",
            "HealthPath": "/health",
            "MaxConnections": 360,
            "Engine": {
                "Slots": 64,
                "KvCapacityTokens": 146_851,
                "KvBytes": 18_432,
                "LinkMbps": 180_000.0,
                "MaxInFlight": 12,
                "Models": [{"Name": MODEL}],
            },
        }
    ],
    "Limits": {
        "HeaderBytes": 16_384,
        "BodyBytes": 4_194_304,
        "HeaderMs": 3_000,
        "IdleMs": 15_000,
    },
    "Tenants": [{"Name": "sese880", "ApiKeys": [KEY], "Isolated": False}],
}
_PIECE = re.compile(rb"data: (piece [0-9]+ )")


class OrderCase:
    """The deployment of the case, and the pieces that its requesters got."""

    rule = "ORDER"

    def __init__(self, folder: Path):
        self.deployment = Deployment(folder, nodes=3)
        self.broken: list[str] = []
        self._has_trouble = False
        self._answers = Counter()
        self._lock = threading.Lock()
        peers: dict[str, Engine] = {}
        self.engines = [
            Engine(
                f"i-{number}",
                service="lm-pool",
                zone=self.deployment.zones[number % 3],
                store=self.deployment.store,
                record=self.deployment.record,
                script=self.run,
                model=MODEL,
                peers=peers,
            )
            for number in range(ENGINES)
        ]

    def run(self, run: Run) -> None:
        """Answer with a stream; the faulty engine spoils a byte of some of them."""
        engine = run.replica
        first = int(run.headers.get("last-event-id", -1)) + 1
        spoiled = None
        if engine.id in SPOILED_EVENTS and self._has_trouble and first == 0:
            with self._lock:
                self._answers[engine.id] += 1
                if self._answers[engine.id] % SPOILED_EVERY == 0:
                    spoiled = SPOILED_EVENTS[engine.id]
        self.deployment.record.add(
            f"engine {engine.id}: runs {run.id} from event {first}, "
            f"spoils a byte of event {spoiled}"
        )
        run.head(
            200,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
            X_Weight_Versions=str(engine.version),
        )
        for number in range(first, EVENTS):
            event = b"id: %d\ndata: piece %d of text\n\n" % (number, number)
            if number == spoiled:
                event = event.replace(
                    *(SPOILED_NUMBER if number == 0 else SPOILED_NAME)
                )
            run.chunk(event)
            time.sleep(0.005)
        run.chunk(b"")

    def play(self, *, has_trouble: bool) -> None:
        """Ask for streams and count their pieces."""
        self._has_trouble = has_trouble
        deployment = self.deployment
        deployment.configure(CONFIGURATION)
        deployment.start()
        time.sleep(1.0)
        with ThreadPoolExecutor(6) as callers:
            complete = sum(callers.map(self._ask, range(STREAMS)))
        deployment.record.add(f"{complete} of {STREAMS} streams are complete")
        if complete < STREAMS / 2:
            raise CaseError(f"only {complete} streams are complete")

    def _ask(self, number: int) -> bool:
        node = self.deployment.nodes[number % len(self.deployment.nodes)]
        request_id = f"digest-{number}"
        status, _, body, is_complete = Caller(node.front).ask(
            "POST",
            "/digest/1",
            {
                "Host": "jepu9.example",
                "X-Attempt-Id": request_id,
                "X-Time-Budget": "6000",
                "Authorization": f"Token {KEY}",
                "X-Model": MODEL,
                "X-Token-Counts": f"383,{EVENTS}",
                "X-Prompt-Prefix": f"5c1e07a2:92,{number:08x}:291",
            },
            b"{}",
        )
        pieces = [found.decode().strip() for found in _PIECE.findall(body)]
        wanted = [f"piece {piece}" for piece in range(EVENTS)]
        self.deployment.record.add(
            f"requester: {request_id} at {node.name} gets {status}, complete "
            f"{is_complete}, pieces {' '.join(each[6:] for each in pieces)}"
        )
        doubled = [piece for piece in wanted if pieces.count(piece) > 1]
        missing = [piece for piece in wanted if piece not in pieces]
        if status == 200 and doubled:
            self.broken.append(f"in {request_id}, {doubled} comes twice")
        if status == 200 and missing and is_complete:
            self.broken.append(f"{request_id} ends as complete without {missing}")
        return status == 200 and is_complete

    def stop(self) -> None:
        """End all stand-ins."""
        for engine in self.engines:
            engine.stop()


if __name__ == "__main__":
    run_case(OrderCase)
