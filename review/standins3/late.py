"""Case: a stopping node takes a stream late, judges it by faster ones, and cuts it off."""

from __future__ import annotations

import signal
import threading
import time
from typing import TYPE_CHECKING, Any

from review.standins3.deployment import Caller, Deployment
from review.standins3.replicas import Engine, Run
from review.standins3.runner import CaseError, run_case

if TYPE_CHECKING:
    from pathlib import Path

EVENTS = 60
CALM_GAP_S = 0.04
BUSY_GAP_S = 0.066
"""Times between two events; `GapAimMs`, the longest that is on time, is 400 ms."""

BUSY_RUNS = 24
"""Requests at once from which an engine makes its tokens slowly."""

OPENED_S = 1.8
"""Time after the SIGTERM at which the channels are opened, as the balancer still does."""

SENT_S = 3.3
"""Time after the SIGTERM at which the late requests are sent on them."""

LATE_CALLERS = 6
EARLY_EVENTS = 68
"""Events of a stream that the node takes soon after its SIGTERM, and ends in time."""

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


class LateCase:
    """The deployment of the case, and which late requests its engines ran."""

    rule = "LOST"

    def __init__(self, folder: Path):
        self.deployment = Deployment(folder, nodes=3)
        self.broken: list[str] = []
        self._ran: set[str] = set()
        self._running = 0
        self._lock = threading.Lock()
        self._served = 0
        peers: dict[str, Engine] = {}
        self.engines = [
            Engine(
                f"i-{number}",
                service="lm-pool",
                zone=zone,
                store=self.deployment.store,
                record=self.deployment.record,
                script=self.run,
                model=MODEL,
                peers=peers,
            )
            for number, zone in enumerate(self.deployment.zones)
        ]

    def run(self, run: Run) -> None:
        """Answer with a stream whose pace depends on the number of running requests."""
        first = int(run.headers.get("last-event-id", -1)) + 1
        with self._lock:
            self._running += 1
            self._ran.add(run.id)
        self.deployment.record.add(
            f"engine {run.replica.id}: runs {run.id} from {first}"
        )
        try:
            run.head(
                200,
                Content_Type="text/event-stream",
                Transfer_Encoding="chunked",
                X_Weight_Versions="1",
            )
            is_early = run.id.startswith("early")
            for number in range(first, EARLY_EVENTS if is_early else EVENTS):
                run.chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))
                is_busy = self._running >= BUSY_RUNS and not is_early
                time.sleep(BUSY_GAP_S if is_busy else CALM_GAP_S)
            run.chunk(b"")
        except OSError:
            self.deployment.record.add(f"engine {run.replica.id}: {run.id} was cut off")
            raise
        finally:
            with self._lock:
                self._running -= 1

    def play(self, *, has_trouble: bool) -> None:
        """Stop a node after calm traffic, while much traffic begins at the others."""
        deployment = self.deployment
        deployment.configure(CONFIGURATION)
        deployment.start()
        stopping, *others = deployment.nodes
        time.sleep(1.0)
        callers = [
            threading.Thread(target=self._ask, args=(f"calm-{number}", stopping))
            for number in range(12)
        ]
        for caller in callers:
            caller.start()
            time.sleep(0.2)
        for caller in callers:
            caller.join()
        stopped_s = time.monotonic()
        if has_trouble:
            stopping.signal(signal.SIGTERM)
            deployment.record.add(f"platform: SIGTERM to {stopping.name}")
        time.sleep(OPENED_S)
        early = threading.Thread(target=self._ask, args=("early", stopping))
        early.start()
        channels = [Caller(stopping.front) for _ in range(LATE_CALLERS)]
        deployment.record.add("requesters open channels")
        _wait_until(stopped_s + SENT_S - 0.1)
        crowd = [
            threading.Thread(
                target=self._ask, args=(f"crowd-{number}", others[number % len(others)])
            )
            for number in range(BUSY_RUNS + 6)
        ]
        late = [
            threading.Thread(
                target=self._ask, args=(f"late-{number}", stopping, channel)
            )
            for number, channel in enumerate(channels)
        ]
        for caller in crowd:
            caller.start()
        _wait_until(stopped_s + SENT_S)
        for caller in late:
            caller.start()
        for caller in (early, *crowd, *late):
            caller.join()
        if self._served < 12:
            raise CaseError(f"only {self._served} streams are complete")

    def _ask(self, request_id: str, node: Any, channel: Caller | None = None) -> None:
        caller = channel or Caller(node.front)
        events = EARLY_EVENTS if request_id == "early" else EVENTS
        headers = {
            "Host": "jepu9.example",
            "X-Attempt-Id": request_id,
            "X-Time-Budget": "6000",
            "Authorization": f"Token {KEY}",
            "X-Model": MODEL,
            "X-Token-Counts": f"383,{events}",
            "X-Prompt-Prefix": "5c1e07a2:92,91bd3f06:291",
        }
        try:
            caller.send("POST", "/digest/1", headers, b"{}")
            status, _, body, is_complete = caller.read()
        except OSError as error:
            self.deployment.record.add(f"requester: {request_id} fails: {error!r}")
            return
        finally:
            caller.close()
        self._served += status == 200 and is_complete
        self.deployment.record.add(
            f"requester: {request_id} at {node.name} gets {status}, {len(body)} bytes, "
            f"complete {is_complete}"
        )
        if not is_complete and request_id in self._ran:
            self.broken.append(
                f"{request_id} was read and passed on, and its channel ends without a "
                "complete answer"
            )

    def stop(self) -> None:
        """End all stand-ins."""
        for engine in self.engines:
            engine.stop()


def _wait_until(when_s: float) -> None:
    time.sleep(max(0.0, when_s - time.monotonic()))


if __name__ == "__main__":
    run_case(LateCase)
