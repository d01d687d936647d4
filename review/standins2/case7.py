"""Case 7: the next holder's claim is carried out and its answer is lost.

The holder of the right to order is killed after an order to a replica. The other node
claims the right; the store carries out the claim, and its answer is lost with the
channel. The orders of two holders must be ``LeaseMs`` apart at each replica.
"""

from __future__ import annotations

import itertools
import threading
import time
from typing import TYPE_CHECKING

from review.standins2.engine import Engine
from review.standins2.harness import TROUBLE, run

if TYPE_CHECKING:
    from review.standins2.harness import Deployment

LEASE_MS = 3_000
KILL_AFTER_S = 0.15
"""Time from an order of the holder to its SIGKILL."""

OBSERVED_S = 9.0
STREAM_EVENTS = 26


def engines(record) -> list[Engine]:
    """Return the engines."""
    return [
        Engine(name, record, version=3, events=STREAM_EVENTS)
        for name in ("engine-1", "engine-2")
    ]


def orders(deployment: Deployment) -> list[tuple[float, str, int]]:
    """Return the orders of all engines in the order of arrival."""
    return sorted(each for engine in deployment.engines for each in engine.orders)


def load_engines(deployment: Deployment, node) -> None:
    """Send streams until each engine runs one.

    Raises:
        RuntimeError: An engine gets none.
    """
    for number in range(1, 25):
        threading.Thread(
            target=deployment.ask,
            args=(node, f"{number:016x}", f"{number:02x}:290"),
            daemon=True,
        ).start()
        time.sleep(0.05)
        if all(engine.running for engine in deployment.engines):
            return
    raise RuntimeError("an engine got no stream")


def takes_turns(deployment: Deployment) -> list[str]:
    """Return the places at which two holders took turns too soon."""
    found = []
    for engine in deployment.engines:
        for before, after in itertools.pairwise(engine.orders):
            apart_ms = (after[0] - before[0]) * 1000
            if before[1] != after[1] and apart_ms < LEASE_MS:
                found.append(
                    f"{engine.id}: an order of {before[1]} (fence {before[2]}) and one "
                    f"of {after[1]} (fence {after[2]}) {apart_ms:.0f} ms later"
                )
    return found


def play(deployment: Deployment) -> int:
    """Play the case and return the exit code.

    Raises:
        RuntimeError: It can't be played.
    """
    deployment.start()
    # The streams pass the node that will not be the first holder.
    other, holder = deployment.nodes
    load_engines(deployment, other)
    if TROUBLE:
        deployment.store.lose_next_answer(
            lambda topic, raw: "lease" in topic and other.name.encode() in raw
        )
    deployment.name_weights(4)
    until_s = time.monotonic() + 5
    while not orders(deployment):
        if time.monotonic() > until_s:
            raise RuntimeError("no order for version 4")
        time.sleep(0.01)
    if orders(deployment)[0][1] != holder.name:
        raise RuntimeError(f"{other.name} holds the right to order")
    if TROUBLE:
        time.sleep(KILL_AFTER_S)
        holder.kill()
        deployment.record(f"trouble: SIGKILL of {holder.name}")
    time.sleep(OBSERVED_S)
    found = takes_turns(deployment)
    for line in found:
        deployment.record(f"BROKEN: ONE: {line}")
    if not found:
        deployment.record("held: no two holders took turns within LeaseMs")
    return 1 if found else 0


if __name__ == "__main__":
    run(7, engines, play, log_words=("right to order",))
