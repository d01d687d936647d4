"""Case: the last tenant is removed; from then on requests with any key run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from review.standins3.deployment import Caller, Deployment
from review.standins3.replicas import Replica, Run
from review.standins3.runner import CaseError, run_case

if TYPE_CHECKING:
    from pathlib import Path

CONFIG_APPLY_S = 2.0
KEY = "ctnfzs989anu6wsjnban"
UNKNOWN_KEYS = ("guessed0", "guessed1", "guessed2", "guessed3", "guessed4", "guessed5")


def configuration(version: int, *, has_tenant: bool) -> dict[str, Any]:
    """Return a configuration, as the operator writes it."""
    tenants = [{"Name": "sese880", "ApiKeys": [KEY], "Isolated": False}]
    return {
        "Version": version,
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
        "Services": [
            {"Name": "tent-app", "HealthPath": "/health", "MaxConnections": 100}
        ],
        "Limits": {
            "HeaderBytes": 16_384,
            "BodyBytes": 4_194_304,
            "HeaderMs": 3_000,
            "IdleMs": 15_000,
        },
        "Tenants": tenants if has_tenant else [],
    }


class KeysCase:
    """The deployment of the case, and which requests its replicas ran."""

    rule = "ROUTE"

    def __init__(self, folder: Path):
        self.deployment = Deployment(folder, nodes=3)
        self.broken: list[str] = []
        self._keys_by_id: dict[str, str] = {}
        self.replicas = [
            Replica(
                f"i-{number}",
                service="tent-app",
                zone=zone,
                store=self.deployment.store,
                record=self.deployment.record,
                script=self.run,
            )
            for number, zone in enumerate(self.deployment.zones)
        ]

    def run(self, run: Run) -> None:
        """Run a request at a replica, and judge whether its key allows it."""
        key = self._keys_by_id[run.id]
        tenant = run.headers.get("x-tenant")
        self.deployment.record.add(
            f"replica {run.replica.id}: runs {run.id}, X-Tenant {tenant}"
        )
        if key != KEY:
            self.broken.append(
                f"replica {run.replica.id} runs {run.id}, whose key {key!r} no "
                "configuration ever held"
            )
        run.answer(200, b"booked")

    def play(self, *, has_trouble: bool) -> None:
        """Ask with keys that are known and unknown, before and after the change."""
        deployment = self.deployment
        deployment.configure(configuration(7, has_tenant=True))
        deployment.start()
        time.sleep(1.0)
        statuses = self._ask_all("before", [KEY, *UNKNOWN_KEYS])
        if statuses != [200, *[401] * len(UNKNOWN_KEYS)] * len(deployment.nodes):
            raise CaseError(f"before the change the answers are {statuses}")
        if has_trouble:
            deployment.configure(configuration(9, has_tenant=False))
        time.sleep(2 * CONFIG_APPLY_S)
        self._ask_all("after", [KEY, *UNKNOWN_KEYS])

    def _ask_all(self, name: str, keys: list[str]) -> list[int]:
        statuses = []
        for node in self.deployment.nodes:
            for number, key in enumerate(keys):
                request_id = f"{name}-{node.name}-{number}"
                self._keys_by_id[request_id] = key
                status, _, body, _ = Caller(node.front).ask(
                    "POST",
                    "/book/1",
                    {
                        "Host": "jepu9.example",
                        "X-Attempt-Id": request_id,
                        "X-Time-Budget": "4000",
                        "Authorization": f"Token {key}",
                    },
                    b'{"seats": 1}',
                )
                self.deployment.record.add(
                    f"requester: {request_id} with key {key!r} at {node.name} gets "
                    f"{status} {body[:60]!r}"
                )
                statuses.append(status)
        return statuses

    def stop(self) -> None:
        """End all stand-ins."""
        for replica in self.replicas:
            replica.stop()


if __name__ == "__main__":
    run_case(KeysCase)
