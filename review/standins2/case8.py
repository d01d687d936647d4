"""Case 8: sound requests are refused for good after replicas have crashed in turn.

Requesters look something up again and again. Twice, 0.2 s apart, two of seven replicas
crash; they are back a second later. What was lost at two of them is taken for the cause.
"""

from __future__ import annotations

import collections
import threading
import time
from typing import TYPE_CHECKING

from review.standins2.desk import Desk
from review.standins2.harness import CONFIGURATION, TROUBLE, run
from review.standins2.node import open_get

if TYPE_CHECKING:
    from review.standins2.harness import Deployment

REPLICAS = 7
WORK_S = 0.3
"""The site's requests take up to 450 ms."""

REQUESTERS = 60
PAUSE_S = 0.3
BEFORE_S = 4.0
CRASHES = ((0, 1), (2, 3))
"""Replicas that crash together. Two of seven are less than the site's share of 0.3."""

CRASH_GAP_S = 0.2
DOWN_S = 1.0
SETTLED_S = 8.0
"""Time after the last crash from which refusals are counted: StableWindowMs is 3,000."""

OBSERVED_S = 12.0
PROPER = "status 4xx of the node, though the request is proper"
ROUTE = {
    "Name": "lookup",
    "Host": "desk.example",
    "PathPrefix": "/lookup/",
    "Kind": "idempotent",
    "TimeoutMs": 2_000,
    "TargetLatencyMs": 300,
    "Priority": 2,
    "Service": "desk",
    "MaxAttempts": 2,
    "Public": False,
}
SERVICE = {"Name": "desk", "HealthPath": "/health", "MaxConnections": 100}


def desks(record) -> list[Desk]:
    """Return the replicas."""
    return [
        Desk(f"desk-{number}", record, work_s=WORK_S)
        for number in range(1, REPLICAS + 1)
    ]


class Traffic:
    """Requesters, each of which looks up one thing again and again."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._ends = threading.Event()
        self.answers: list[tuple[float, int, str, bool]] = []
        """Time of sending, status, path and whether a replica gave the answer."""

        self._threads = [
            threading.Thread(target=self._poll, args=(number,), daemon=True)
            for number in range(REQUESTERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Wait for the last answers."""
        self._ends.set()
        for thread in self._threads:
            thread.join()

    def _poll(self, number: int) -> None:
        node = self._deployment.nodes[number % len(self._deployment.nodes)]
        path = f"/lookup/{number}"
        count = 0
        while not self._ends.wait(PAUSE_S):
            count += 1
            sent_s = time.monotonic()
            request_id = f"{number:04x}{count:012x}"
            status, is_sealed = open_get(node, "desk.example", path, request_id)
            self.answers.append((sent_s, status, path, is_sealed))
            if status != 200:
                self._deployment.record(
                    f"requester: {request_id} {path} at {node.name}: status {status}"
                    f"{' of a replica' if is_sealed else ''}"
                )


def crash_in_turn(deployment: Deployment) -> None:
    """Let two pairs of replicas crash one after the other, each for a second."""

    def crash(desk: Desk) -> None:
        former = desk.id
        desk.crash()
        time.sleep(DOWN_S)
        desk.start()
        deployment.put_entry(desk)
        # The entry of the former process runs out after three status intervals.
        time.sleep(3 * 1.2 - DOWN_S)
        deployment.store.put("keyed.servers", former, None)

    threads = []
    for numbers in CRASHES:
        for number in numbers:
            desk = deployment.engines[number]
            thread = threading.Thread(target=crash, args=(desk,), daemon=True)
            thread.start()
            threads.append(thread)
        time.sleep(CRASH_GAP_S)
    for thread in threads:
        thread.join()


def play(deployment: Deployment) -> int:
    """Play the case and return the exit code."""
    deployment.start()
    traffic = Traffic(deployment)
    time.sleep(BEFORE_S)
    if TROUBLE:
        crash_in_turn(deployment)
    settled_s = time.monotonic() + SETTLED_S
    time.sleep(SETTLED_S + OBSERVED_S)
    traffic.stop()
    denied = [
        (status, path)
        for sent_s, status, path, is_sealed in traffic.answers
        if 300 <= status < 500
        and status not in (408, 421, 429)
        and not is_sealed
        and sent_s >= settled_s
    ]
    limit = 5 + len(traffic.answers) / 500
    is_broken = len(denied) > limit
    word = "BROKEN" if is_broken else "held"
    deployment.record(
        f"{word}: DENIED: of {len(traffic.answers)} requests, {len(denied)} that were "
        f"sent {SETTLED_S:.0f} s or more after the last crash got a {PROPER} (at most "
        f"{limit:.1f}): {sorted(collections.Counter(denied).items())}"
    )
    return 1 if is_broken else 0


if __name__ == "__main__":
    run(
        8,
        desks,
        play,
        log_words=("crash attributed",),
        configuration={
            **CONFIGURATION,
            "Routes": [*CONFIGURATION["Routes"], ROUTE],
            "Services": [*CONFIGURATION["Services"], SERVICE],
        },
    )
