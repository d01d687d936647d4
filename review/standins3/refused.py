"""Case: a replica runs bookings and answers 503; callers are told that they never ran."""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from review.standins3.deployment import Caller, Deployment
from review.standins3.replicas import Replica, Run
from review.standins3.runner import CaseError, run_case

if TYPE_CHECKING:
    from pathlib import Path

BOOKINGS = 120
REPLICAS = 8
"""Replicas, one of them grey: 0.125, the share of `srv_grey` is 0.14."""

FAILED_EVERY = 5
"""A grey replica fails two of so many requests: 0.4, the share of `srv_grey`."""

KEY = "ctnfzs989anu6wsjnban"
CONFIGURATION: dict[str, Any] = {
    "Version": 7,
    "Routes": [
        {
            "Name": "seat-booking",
            "Host": "jepu9.example",
            "PathPrefix": "/book/",
            "Kind": "non_idempotent",
            "TimeoutMs": 2000,
            "TargetLatencyMs": 300,
            "Priority": 2,
            "Service": "tent-app",
            "MaxAttempts": 1,
            "Public": False,
        }
    ],
    "Services": [{"Name": "tent-app", "HealthPath": "/health", "MaxConnections": 100}],
    "Limits": {
        "HeaderBytes": 16_384,
        "BodyBytes": 4_194_304,
        "HeaderMs": 3_000,
        "IdleMs": 15_000,
    },
    "Tenants": [{"Name": "sese880", "ApiKeys": [KEY], "Isolated": False}],
}


class RefusedCase:
    """The deployment of the case, and the seats that its replicas have booked."""

    rule = "REFUSED"

    def __init__(self, folder: Path):
        self.deployment = Deployment(folder, nodes=3)
        self.broken: list[str] = []
        self._ran: set[str] = set()
        self._seats = Counter()
        self._lock = threading.Lock()
        self._runs_at_grey = 0
        self._has_trouble = False
        self.replicas = [
            Replica(
                f"i-{number}",
                service="tent-app",
                zone=self.deployment.zones[number % 3],
                store=self.deployment.store,
                record=self.deployment.record,
                script=self.run,
            )
            for number in range(REPLICAS)
        ]

    def run(self, run: Run) -> None:
        """Book a seat; the grey replica then fails some of these requests."""
        is_grey = run.replica is self.replicas[0] and self._has_trouble
        with self._lock:
            self._ran.add(run.id)
            self._seats[run.path] += 1
            self._runs_at_grey += is_grey
            fails = is_grey and self._runs_at_grey % FAILED_EVERY in (0, 3)
        time.sleep(0.02)
        status = 503 if fails else 200
        self.deployment.record.add(
            f"replica {run.replica.id}: has run {run.id} ({run.path}), answers {status} "
            "without X-Not-Executed"
        )
        run.answer(
            status, b"the ledger failed after the commit" if fails else b"booked"
        )

    def play(self, *, has_trouble: bool) -> None:
        """Let families book, each once; they ask again after a promise."""
        self._has_trouble = has_trouble
        deployment = self.deployment
        deployment.configure(CONFIGURATION)
        deployment.start()
        time.sleep(1.0)
        statuses = Counter(self._book(number) for number in range(BOOKINGS))
        doubled = [path for path, count in self._seats.items() if count > 1]
        deployment.record.add(
            f"final statuses {dict(statuses)}, bookings entered twice: {doubled}"
        )
        if statuses[200] < BOOKINGS / 2:
            raise CaseError(f"the statuses are {statuses}")

    def _book(self, number: int) -> int:
        node = self.deployment.nodes[number % len(self.deployment.nodes)]
        for attempt in (1, 2):
            request_id = f"family-{number}-{attempt}"
            status, headers, _, _ = Caller(node.front).ask(
                "POST",
                f"/book/{number}",
                {
                    "Host": "jepu9.example",
                    "X-Attempt-Id": request_id,
                    "X-Time-Budget": "4000",
                    "Authorization": f"Token {KEY}",
                },
                b'{"seats": 1}',
            )
            has_run = request_id in self._ran
            self.deployment.record.add(
                f"requester: {request_id} at {node.name} gets {status}, receipt "
                f"{headers.get('x-replica-seal')}, has run {has_run}"
            )
            if status not in (408, 421, 429, 503):
                return status
            if has_run:
                self.broken.append(f"{request_id} is answered {status} and has run")
            time.sleep(min(1.0, float(headers.get("retry-after", 0.1))))
        return status

    def stop(self) -> None:
        """End all stand-ins."""
        for replica in self.replicas:
            replica.stop()


if __name__ == "__main__":
    run_case(RefusedCase)
