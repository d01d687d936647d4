"""Case 10: a tenant becomes isolated, and another one uses what its request has made."""

from __future__ import annotations

import copy
import time
from typing import TYPE_CHECKING

from review.standins2.engine import Engine
from review.standins2.harness import CONFIGURATION, TROUBLE, run

if TYPE_CHECKING:
    from review.standins2.harness import Deployment

TENANTS = [
    {"Name": "t1", "ApiKeys": ["k1"], "Priority": 1, "Isolated": False},
    {"Name": "t2", "ApiKeys": ["k2"], "Priority": 1, "Isolated": False},
]
SETTLED_S = 4.0
"""Time from the new configuration to the next request; ConfigApplyMs is 2,000."""


def engines(record) -> list[Engine]:
    """Return the engines."""
    return [Engine("engine-1", record, version=3, events=3, interval_s=0.05)]


def play(deployment: Deployment) -> int:
    """Play the case and return whether the rule was broken.

    Raises:
        RuntimeError: It can't be played.
    """
    deployment.start()
    node = deployment.nodes[0]
    deployment.ask(node, "a" * 16, "aa:2600,b1:200", key="k2")
    time.sleep(1.0)
    if TROUBLE:
        tenants = copy.deepcopy(TENANTS)
        tenants[1]["Isolated"] = True
        deployment.configure(Tenants=tenants)
    time.sleep(SETTLED_S)
    deployment.ask(node, "c" * 16, "aa:2600,b2:200", key="k2")
    deployment.ask(node, "d" * 16, "aa:2600,b3:200", key="k1")
    if sum(engine.runs for engine in deployment.engines) < 3:
        raise RuntimeError("a request was not run")
    isolated = {
        each["Name"] for each in deployment.configuration["Tenants"] if each["Isolated"]
    }
    found = [
        f"request {request_id} of {tenant} used a part that request {maker[0]} of "
        f"{maker[1]} made; isolated: {sorted(isolated)}"
        for engine in deployment.engines
        for _, request_id, tenant, maker, _ in engine.uses
        if tenant != maker[1] and {tenant, maker[1]} & isolated
    ]
    for line in found:
        deployment.record(f"BROKEN: WALL: {line}")
    if not found:
        deployment.record("held: no isolated tenant shares a part")
    return 1 if found else 0


if __name__ == "__main__":
    run(10, engines, play, configuration={**CONFIGURATION, "Tenants": TENANTS})
