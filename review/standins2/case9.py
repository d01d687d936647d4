"""Case 9: wrong bytes in four answers keep two of four replicas on old weights for good."""

from __future__ import annotations

import collections
import itertools
import threading
import time
from typing import TYPE_CHECKING

from review.standins2.engine import Engine
from review.standins2.harness import TROUBLE, run

if TYPE_CHECKING:
    from review.standins2.harness import Deployment

VERSION_MS = 10_000
GARBLE_S = 5.5
REQUESTS = 340
"""Requests to each node during the garble."""

SPOILED_ANSWER = 50
MAX_SHARE = 0.03
"""Largest share of their answers that the site's replicas spoil."""

STEADY_PER_S = 4
OBSERVED_S = 1.5 * VERSION_MS / 1000 + 2.0
"""Time from the naming of a version to the end of the traffic."""


class Spoiler:
    """Spoils one answer to each node: the fiftieth.

    A node's requests begin with its own digit.
    """

    def __init__(self):
        self._answers = collections.Counter()
        self.spoiled = 0

    @property
    def share(self) -> float:
        """Share of the answers that were spoiled."""
        return self.spoiled / max(1, self._answers.total())

    def __call__(self, request_id: str) -> bool:
        """Return whether the answer to a request is spoiled."""
        self._answers[request_id[0]] += 1
        is_spoiled = self._answers[request_id[0]] == SPOILED_ANSWER
        self.spoiled += is_spoiled
        return is_spoiled


def engines(record) -> list[Engine]:
    """Return the engines."""
    return [
        Engine(
            f"engine-{number}",
            record,
            version=3,
            events=2,
            interval_s=0.02,
            is_quiet=True,
        )
        for number in range(1, 5)
    ]


def send(deployment: Deployment, seconds: float, per_s: float, numbers) -> list[int]:
    """Send requests to all nodes for some seconds and return the statuses."""
    statuses: list[int] = []

    def ask(node, digit: int, number: int) -> None:
        request_id = f"{digit}{number:015x}"
        prefix = f"{number:06x}:290"
        statuses.append(deployment.ask(node, request_id, prefix, is_quiet=True))

    threads = []
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        number = next(numbers)
        for digit, node in enumerate(deployment.nodes, 1):
            thread = threading.Thread(target=ask, args=(node, digit, number))
            thread.start()
            threads.append(thread)
        time.sleep(1 / per_s)
    for thread in threads:
        thread.join()
    return statuses


def play(deployment: Deployment) -> int:
    """Play the case and return whether the rule was broken.

    Raises:
        RuntimeError: It can't be played.
    """
    deployment.start()
    numbers = itertools.count(1)
    if TROUBLE:
        for engine in deployment.engines[:2]:
            engine.spoils = Spoiler()
    statuses = send(deployment, GARBLE_S, REQUESTS / GARBLE_S, numbers)
    for engine in deployment.engines:
        if engine.spoils is not None:
            spoiler = engine.spoils
            deployment.record(
                f"trouble: {engine.id} has spoiled {spoiler.spoiled} answers, a share of "
                f"{spoiler.share:.3f}"
            )
            if spoiler.spoiled != len(deployment.nodes) or spoiler.share > MAX_SHARE:
                raise RuntimeError("the garble is not as it should be")
        engine.spoils = None
    served = sum(status == 200 for status in statuses)
    deployment.record(
        f"traffic: {served} of {len(statuses)} served, runs by engine: "
        f"{[engine.runs for engine in deployment.engines]}"
    )
    send(deployment, 3.0, STEADY_PER_S, numbers)
    deployment.name_weights(4)
    runs = [engine.runs for engine in deployment.engines]
    statuses = send(deployment, OBSERVED_S, STEADY_PER_S, numbers)
    served = sum(status == 200 for status in statuses)
    runs = [
        engine.runs - before
        for engine, before in zip(deployment.engines, runs, strict=True)
    ]
    deployment.record(
        f"traffic: {served} of {len(statuses)} served, runs by engine: {runs}"
    )
    old = [engine.id for engine in deployment.engines if engine.version < 4]
    orders = {engine.id: len(engine.orders) for engine in deployment.engines}
    is_broken = len(old) > 1 and len(old) > len(deployment.engines) / 10
    word = "BROKEN" if is_broken else "held"
    deployment.record(
        f"{word}: VERSION: {OBSERVED_S:.0f} s after the naming of version 4, these "
        f"replicas have version 3: {old}; orders: {orders}"
    )
    return 1 if is_broken else 0


if __name__ == "__main__":
    run(9, engines, play, log_words=("weights named", "right to order"))
