"""A replica spoils a few of its answers; callers get them as successes."""

from __future__ import annotations

import random
import re
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.configuration import configuration  # noqa: E402
from review.standins.deployment import Answer, Deployment, run_case  # noqa: E402

ZONES = ("a", "b", "c")
RATE_PER_S = 90.0
SPOIL_AFTER_S = 6.0
"""Time from the start of the replicas to the first spoiled answer."""

SPOIL_FOR_S = 5.5
SPOIL_EACH = 50
"""One answer in so many is spoiled."""

LENGTH_S = 14.0
SUCCESSES = range(200, 300)


def case(folder: Path, has_trouble: bool) -> bool:
    """Return whether a caller got a success whose body isn't the replica's."""
    deployment = Deployment(folder, configuration())
    try:
        for zone in ZONES:
            spoils = has_trouble and zone == ZONES[0]
            deployment.add_replica(
                f"desk-{zone}",
                "desk",
                zone=zone,
                spoil_from=time.time() + SPOIL_AFTER_S,
                spoil_for=SPOIL_FOR_S,
                spoil_each=SPOIL_EACH if spoils else 0,
            )
            deployment.add_node(f"edge-{zone}-1", zone)
        deployment.start()
        return _play(deployment)
    finally:
        deployment.stop()


def _play(deployment: Deployment) -> bool:
    generator = random.Random(11)
    wrong: list[str] = []
    callers = []
    started_s = time.monotonic()
    while time.monotonic() - started_s < LENGTH_S:
        name, method = generator.choice((("lookup", "GET"), ("book", "POST")))
        path = f"/{name}/tent-{generator.randrange(10_000)}"
        node = generator.choice(deployment.nodes)

        def call(node=node, path=path, method=method) -> None:
            answer = deployment.ask(
                node,
                method,
                "desk.example",
                path,
                headers={"Authorization": "Token k1"},
                body=b"seats: 2" if method == "POST" else None,
            )
            if _is_wrong(path, answer):
                wrong.append(f"{method} {path}: {answer}")

        callers.append(threading.Thread(target=call, daemon=True))
        callers[-1].start()
        time.sleep(generator.expovariate(RATE_PER_S))
    for caller in callers:
        caller.join()
    spoiled = [line for line in deployment.runs() if line["event"] == "spoiled"]
    summary = (
        f"{len(callers)} requests, {len(spoiled)} answers spoiled, "
        f"{len(wrong)} successes with another body than the replica's"
    )
    for text in (*wrong, summary):
        deployment.record.write(text)
        print(text)
    return bool(wrong)


def _is_wrong(path: str, answer: Answer) -> bool:
    """Whether a success has another body than the replica that ran the request sends."""
    expected = rf"{re.escape(path)} at i-desk-[abc]-\d+".encode()
    return answer.outcome in SUCCESSES and not re.fullmatch(expected, answer.body)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)
