"""Case: a tenant becomes isolated; what its requests left in the caches stays shared."""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING, Any

from review.standins3.deployment import Caller, Deployment
from review.standins3.replicas import Engine, Run
from review.standins3.runner import CaseError, run_case

if TYPE_CHECKING:
    from pathlib import Path

PROMPTS = 8
CONFIG_APPLY_S = 2.0
MODEL = "daka510000"


def configuration(version: int, *, is_isolated: bool) -> dict[str, Any]:
    """Return a configuration, as the operator writes it."""
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "steward-query",
                "Host": "jepu9.example",
                "PathPrefix": "/ask/",
                "Kind": "streaming",
                "TimeoutMs": 4000,
                "TargetLatencyMs": 400,
                "Priority": 0,
                "Service": "lm-pool",
                "MaxAttempts": 1,
                "Public": False,
                "Sticky": True,
                "Resumable": False,
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
        "Tenants": [
            {"Name": "mosque", "ApiKeys": ["key-mosque"], "Isolated": is_isolated},
            {"Name": "council", "ApiKeys": ["key-council"], "Isolated": False},
        ],
    }


class WallCase:
    """The deployment of the case, and what its engines have used."""

    rule = "WALL"

    def __init__(self, folder: Path):
        self.deployment = Deployment(folder, nodes=3)
        self.broken: list[str] = []
        self.served = 0
        self._isolated_from_s: float | None = None
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
        """Run a request at an engine, and judge what it uses."""
        engine = run.replica
        tenant = run.headers.get("x-tenant", "")
        used = engine.use_cache(run, tenant)
        salt = run.headers.get("x-cache-salt", "")
        self.deployment.record.add(
            f"engine {engine.id}: runs {run.id} of {tenant}, salt {salt!r}, uses "
            f"{[(made['part'], made['by'], made['request']) for made in used]}"
        )
        for made in used:
            is_foreign = made["by"] != tenant
            if is_foreign and "mosque" in (made["by"], tenant) and self._is_isolated():
                self.broken.append(
                    f"request {run.id} of {tenant} uses part {made['part']}, which "
                    f"request {made['request']} of {made['by']} made; mosque is Isolated"
                )
        engine.stream(run, 6)

    def _is_isolated(self) -> bool:
        # Requests sent up to this time may be handled by the older version.
        since_s = self._isolated_from_s
        return since_s is not None and time.monotonic() > since_s + CONFIG_APPLY_S

    def play(self, *, has_trouble: bool) -> None:
        """Let one tenant ask, change the configuration, let the other one ask."""
        deployment = self.deployment
        deployment.configure(configuration(7, is_isolated=False))
        deployment.start()
        time.sleep(1.0)
        self._ask_all("mosque")
        time.sleep(0.5)
        if has_trouble:
            deployment.configure(configuration(9, is_isolated=True))
            self._isolated_from_s = time.monotonic()
        time.sleep(2 * CONFIG_APPLY_S)
        self._ask_all("council")
        wanted = 2 * PROMPTS * len(deployment.nodes)
        if self.served < wanted:
            raise CaseError(f"only {self.served} of {wanted} requests were served")

    def _ask_all(self, tenant: str) -> None:
        for number in range(PROMPTS):
            for node in self.deployment.nodes:
                request_id = f"{tenant}-{number}-{node.name}"
                # The first part is shared, the last one belongs to the request itself.
                own = f"{zlib.crc32(request_id.encode()):08x}"
                status, _, body, is_complete = Caller(node.front).ask(
                    "POST",
                    "/ask/1",
                    {
                        "Host": "jepu9.example",
                        "X-Attempt-Id": request_id,
                        "X-Time-Budget": "4000",
                        "Authorization": f"Token key-{tenant}",
                        "X-Model": MODEL,
                        "X-Token-Counts": "383,6",
                        "X-Prompt-Prefix": f"5c1e07{number:02x}:92,{own}:291",
                    },
                    b"{}",
                )
                self.deployment.record.add(
                    f"requester: {request_id} at {node.name} gets {status}, "
                    f"{len(body)} bytes, complete {is_complete}"
                )
                self.served += status == 200 and is_complete

    def stop(self) -> None:
        """End all stand-ins."""
        for engine in self.engines:
            engine.stop()


if __name__ == "__main__":
    run_case(WallCase)
