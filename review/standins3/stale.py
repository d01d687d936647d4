"""Case: a late heartbeat of an earlier boot; requests run on KV cache of older weights."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from review.standins3.deployment import Caller, Deployment
from review.standins3.replicas import Engine, KvStore, Run
from review.standins3.runner import CaseError, run_case

if TYPE_CHECKING:
    from pathlib import Path

MODEL = "daka510000"
KEY = "ctnfzs989anu6wsjnban"
SHARED_TOKENS = 30_000
OWN_TOKENS = 500
PROMPTS = 12
ASK_GAP_S = 0.05
ENGINES = 6
"""Engines, one of which crashes: 0.17, the share of `srv_crash` is 0.3 at most."""

# Times after the crash of the engine, in seconds.
RESTART_S = 1.0
"""Start of the new boot, which writes a heartbeat every 1.2 s from then on."""

FIRST_LATE_S = 2.3
"""The store carries out the heartbeat that the old boot sent 1.25 s before the crash."""

NAMED_S = 4.65
"""New weights are named."""

SECOND_LATE_S = 5.9
"""The store carries out the heartbeat that the old boot sent 0.05 s before the crash."""

MAX_LATE_SHARE = 0.3
"""Largest share of the writes that are carried out late (`platform_lost`)."""

KNOWN_AFTER_S = 0.45
"""Time after which the nodes have read what the store has carried out."""


def configuration(store: str) -> dict[str, Any]:
    """Return the configuration.

    Args:
        store: Address of the store of kept KV cache.
    """
    engine = {
        "Slots": 64,
        "KvCapacityTokens": 146_851,
        "KvBytes": 18_432,
        "LinkMbps": 180_000.0,
        "MaxInFlight": 12,
        "Models": [{"Name": MODEL}],
    }
    return {
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
                "Engine": engine,
            },
            {
                "Name": "prompt-keep",
                "KvStoreAddr": store,
                "Zone": "perth-b",
                "KvCapacityTokens": 2_062_123,
                "LinkMbps": 22_000.0,
            },
        ],
        "Limits": {
            "HeaderBytes": 16_384,
            "BodyBytes": 4_194_304,
            "HeaderMs": 3_000,
            "IdleMs": 15_000,
        },
        "Tenants": [{"Name": "sese880", "ApiKeys": [KEY], "Isolated": False}],
    }


class StaleCase:
    """The deployment of the case, and what its engines have used."""

    rule = "STALE"

    def __init__(self, folder: Path):
        self.deployment = Deployment(folder, nodes=3)
        self.broken: list[str] = []
        self._unpinned: list[str] = []
        self._served = 0
        self._kv_store = KvStore(self.deployment.record)
        self._peers: dict[str, Any] = {self._kv_store.address: self._kv_store}
        self.engines = [self._engine(number) for number in range(ENGINES)]

    def _engine(self, number: int) -> Engine:
        return Engine(
            f"i-{number}",
            service="lm-pool",
            zone=self.deployment.zones[number % 3],
            store=self.deployment.store,
            record=self.deployment.record,
            script=self.run,
            model=MODEL,
            peers=self._peers,
            prefill_tokens_per_ms=48.2,
        )

    def run(self, run: Run) -> None:
        """Run a request at an engine, and judge what it uses."""
        engine = run.replica
        version = engine.version
        used = engine.use_cache(run, run.headers.get("x-tenant", ""))
        salt = run.headers.get("x-cache-salt")
        expected = run.headers.get("x-expect-version")
        self.deployment.record.add(
            f"engine {engine.id}: runs {run.id} on version {version}, X-Expect-Version "
            f"{expected}, salt {salt!r}, X-Kv-Fetch-From "
            f"{run.headers.get('x-kv-fetch-from')}, uses "
            f"{[(made['part'], made['version'], made['request']) for made in used]}"
        )
        if expected is None:
            self._unpinned.append(engine.parts(run)[0][0])
        self.broken += [
            f"{run.id} runs on version {version} at {engine.id} and uses part "
            f"{made['part']}, which {made['request']} made under version "
            f"{made['version']}"
            for made in used
            if made["version"] != version
        ]
        engine.stream(run, 4)

    def play(self, *, has_trouble: bool) -> None:
        """Let an engine crash and start again, and name new weights after that."""
        deployment = self.deployment
        deployment.configure(configuration(self._kv_store.address))
        deployment.start()
        time.sleep(2.0)
        crashing = self.engines[0]
        # Its last two heartbeats get no answer.
        lost = crashing.lost_entries = []
        while not lost:
            time.sleep(0.005)
        lost_s = time.monotonic()
        while len(lost) < 2:
            time.sleep(0.005)
        time.sleep(0.05)
        crashing.lost_entries = None if not has_trouble else lost
        crashed_s = time.monotonic()
        self._check_dose(
            sum(when_s >= lost_s for when_s in deployment.store.write_times_s)
        )
        if has_trouble:
            crashing.stop()
            deployment.record.add("engine i-0 crashes")
        _wait_until(crashed_s + RESTART_S)
        if has_trouble:
            self.engines[0] = self._engine(0)
            deployment.record.add("engine i-0 starts again under its id")
        callers = [
            threading.Thread(
                target=self._ask_all, args=("before", crashed_s + FIRST_LATE_S)
            ),
            threading.Thread(
                target=self._ask_all, args=("after", crashed_s + SECOND_LATE_S)
            ),
        ]
        for caller in callers:
            caller.start()
        _wait_until(crashed_s + FIRST_LATE_S)
        self._carry_out(lost[0], has_trouble=has_trouble)
        _wait_until(crashed_s + NAMED_S)
        version = {"Model": MODEL, "Version": 2}
        deployment.store.put("keyed.op", f"version/{MODEL}", version)
        deployment.record.add(f"operator: {version} acknowledged")
        _wait_until(crashed_s + SECOND_LATE_S)
        self._carry_out(lost[1], has_trouble=has_trouble)
        for caller in callers:
            caller.join()
        if self._served < PROMPTS:
            raise CaseError(f"only {self._served} requests were served")

    def _check_dose(self, other_writes: int) -> None:
        writes = 2 + other_writes
        self.deployment.record.add(f"store: 2 of {writes} writes get no answer")
        if writes * MAX_LATE_SHARE < 2:
            raise CaseError("the share of late writes is too large")

    def _carry_out(self, entry: dict[str, Any], *, has_trouble: bool) -> None:
        if has_trouble:
            self.deployment.store.put("keyed.servers", "i-0", entry)
            self.deployment.record.add(
                f"store: carries out a heartbeat of i-0 of its boot {entry['born']}"
            )

    def _ask_all(self, name: str, late_s: float) -> None:
        """Ask one after the other, without waiting for the answers.

        The second time, prompts whose shared part was read without a version come again.
        """
        _wait_until(late_s + KNOWN_AFTER_S)
        numbers = range(PROMPTS)
        if name == "after" and self._unpinned:
            parts = list(dict.fromkeys(self._unpinned))
            numbers = [int(part, 16) - 0x5C1E0700 for part in parts]
        callers = []
        for count in range(PROMPTS):
            number = numbers[count % len(numbers)]
            caller = threading.Thread(target=self._ask, args=(name, number, count))
            caller.start()
            callers.append(caller)
            time.sleep(ASK_GAP_S)
        for caller in callers:
            caller.join()

    def _ask(self, name: str, number: int, count: int) -> None:
        node = self.deployment.nodes[0]
        request_id = f"{name}-{number}-{count}"
        status, _, body, is_complete = Caller(node.front).ask(
            "POST",
            "/digest/1",
            {
                "Host": "jepu9.example",
                "X-Attempt-Id": request_id,
                "X-Time-Budget": "6000",
                "Authorization": f"Token {KEY}",
                "X-Model": MODEL,
                "X-Token-Counts": f"{SHARED_TOKENS + OWN_TOKENS},4",
                "X-Prompt-Prefix": f"{0x5C1E0700 + number:08x}:{SHARED_TOKENS},"
                f"{0xABC00000 + 4096 * len(name) + count:08x}:{OWN_TOKENS}",
            },
            b"{}",
        )
        self._served += status == 200 and is_complete
        self.deployment.record.add(
            f"requester: {request_id} at {node.name} gets {status}, {len(body)} bytes, "
            f"complete {is_complete}"
        )

    def stop(self) -> None:
        """End all stand-ins."""
        for engine in self.engines:
            engine.stop()
        self._kv_store.stop()


def _wait_until(when_s: float) -> None:
    time.sleep(max(0.0, when_s - time.monotonic()))


if __name__ == "__main__":
    run_case(StaleCase)
