"""Another writer's entry hides that a model replica drains."""

from __future__ import annotations

import base64
import json
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.configuration import configuration  # noqa: E402
from review.standins.deployment import (  # noqa: E402
    CouldNotRunError,
    Deployment,
    ReplicaProcess,
    run_case,
)

ZONES = ("a", "b", "c")
RATE_PER_S = 40.0
FORGED_AT_S = 3.0
DRAINS_AT_S = 6.0
LENGTH_S = 14.0
DRAIN_S = 2.0
"""`Bounds.DrainMs`."""

FORGED_AHEAD = 1_000
"""By how much the other writer's `Sequence` is ahead of the replica's own."""

PROMPT = {
    "Authorization": "Token k1",
    "X-Model": "m",
    "X-Token-Counts": "300,20",
}


def case(folder: Path, has_trouble: bool) -> bool:
    """Return whether requests reached a replica too long after it reported draining."""
    deployment = Deployment(folder, configuration())
    try:
        for zone in ZONES:
            deployment.add_replica(
                f"engine-{zone}", "engines", zone=zone, model="m", work_ms=60, slots=64
            )
            deployment.add_node(f"edge-{zone}-1", zone)
        deployment.start()
        time.sleep(2)
        return _play(deployment, has_trouble)
    finally:
        deployment.stop()


def _play(deployment: Deployment, has_trouble: bool) -> bool:
    generator = random.Random(5)
    leaving = deployment.replicas[0]
    events = [(DRAINS_AT_S, lambda: _drain(deployment, leaving))]
    if has_trouble:
        events.insert(0, (FORGED_AT_S, lambda: _forge(deployment, leaving)))
    callers = []
    started_s = time.monotonic()
    while (now_s := time.monotonic() - started_s) < LENGTH_S:
        while events and now_s >= events[0][0]:
            events.pop(0)[1]()
        number = generator.randrange(10_000)
        arguments = (generator.choice(deployment.nodes), "POST", "ai.example")
        call = threading.Thread(
            target=deployment.ask,
            args=(*arguments, f"/ask/{number}"),
            kwargs={
                "headers": {**PROMPT, "X-Prompt-Prefix": f"a1:100,{number:x}:200"},
                "body": b"question",
            },
            daemon=True,
        )
        call.start()
        callers.append(call)
        time.sleep(generator.expovariate(RATE_PER_S))
    for call in callers:
        call.join()
    return _is_broken(deployment, leaving)


def _forge(deployment: Deployment, replica: ReplicaProcess) -> None:
    """Write an entry that lacks the field `Models` under the replica's id."""
    items = json.loads(
        deployment.store.call_log_newest({"Topic": "keyed.servers"}, b"")[1]
    )["items"]
    entry = next(
        json.loads(base64.b64decode(item["Value"]))
        for item in items
        if item["Key"] == replica.id
    )
    del entry["Models"]
    entry["Sequence"] += FORGED_AHEAD
    deployment.store.put("keyed.servers", replica.id, entry)
    deployment.record.write(f"another writer writes under {replica.id}: {entry}")


def _drain(deployment: Deployment, replica: ReplicaProcess) -> None:
    deployment.record.write(f"{replica.id} drains")
    replica.drain()


def _is_broken(deployment: Deployment, leaving: ReplicaProcess) -> bool:
    lines = [line for line in deployment.runs() if line["replica"] == leaving.id]
    acknowledged = [
        line["t"] for line in lines if line["event"] == "draining acknowledged"
    ]
    if not acknowledged:
        raise CouldNotRunError("the replica didn't report draining")
    late = [
        line["t"] - acknowledged[0]
        for line in lines
        if line["event"] == "run" and line["t"] > acknowledged[0] + DRAIN_S
    ]
    text = f"{len(late)} requests reached {leaving.id} later than {DRAIN_S} s"
    if late:
        text += (
            f", the last one {max(late):.2f} s after the store accepted its draining"
        )
    deployment.record.write(text)
    print(text)
    return bool(late)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
