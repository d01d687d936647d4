"""Fake of the rate-limited weight store.

Loading weights takes ``load_ms`` while at most ``--full_rate_loads`` loads run
concurrently, and proportionally longer while more loads run.

Fault settings (`WeightFaults`): those of `CallFaults`, and ``load_ms``.
"""

from __future__ import annotations

import time
from typing import Any

import attrs
from absl import app, flags

from crocuswick.actor import Message
from tests.fakes.control import CallFaults, Controlled
from tests.fakes.http_service import Reply, Request, Routes, serve, wall_ms
from tests.fakes.task import Task

__all__ = ["WeightFaults", "WeightStore"]

WEIGHTS_FLAG = flags.DEFINE_list(
    "weights", [], "Known weights as model=version; empty: all are known."
)
LOAD_FLAG = flags.DEFINE_integer(
    "load_ms", 1000, "Time of a load at full rate, in milliseconds."
)
FULL_RATE_FLAG = flags.DEFINE_integer(
    "full_rate_loads", 2, "Maximum number of concurrent loads at full rate."
)

POLL_INTERVAL_S = 0.02


@attrs.frozen(kw_only=True)
class WeightFaults(CallFaults):
    """Fault settings of the weight store."""

    load_ms: int = 1000


@attrs.frozen(kw_only=True)
class StartLoad(Message):
    """Command to record the start of a load."""

    weights: str


@attrs.frozen(kw_only=True)
class ReadRate(Message):
    """Query for the current fraction of the full rate."""


@attrs.frozen(kw_only=True)
class EndLoad(Message):
    """Command to record the end of a load."""

    number: int


@attrs.frozen(kw_only=True)
class CopyLoads(Message):
    """Query for a copy of the records of all loads."""


class LoadsTask(Task):
    """The task that records loads and counts those that run."""

    def __init__(self, *, full_rate_loads: int):
        super().__init__(name="weights")
        self._full_rate_loads = full_rate_loads
        self._loads: list[dict[str, Any]] = []
        self._running = 0

    def on_start_load(self, message: StartLoad) -> int:
        """Record the start of a load and return its number."""
        self._running += 1
        self._loads.append(
            {
                "weights": message.weights,
                "start_ms": wall_ms(),
                "end_ms": None,
                "running": self._running,
            }
        )
        return len(self._loads) - 1

    def on_read_rate(self, message: ReadRate) -> float:
        """Return the fraction of the full rate that each load gets."""
        return min(1.0, self._full_rate_loads / max(1, self._running))

    def on_end_load(self, message: EndLoad) -> None:
        """Record the end of a load."""
        self._running -= 1
        self._loads[message.number]["end_ms"] = wall_ms()

    def on_copy_loads(self, message: CopyLoads) -> list[dict[str, Any]]:
        """Copy the records of all loads."""
        return [dict(load) for load in self._loads]


class WeightStore(Controlled):
    """HTTP interface of the weight store."""

    routes = Routes()

    def __init__(self, *, faults: WeightFaults, task: LoadsTask, known: set[str]):
        super().__init__(faults=faults)
        self._task = task
        self._known = known

    def history(self) -> Any:
        """Return all loads, each with the number of loads that ran at its start."""
        return {"loads": self._task.ask(CopyLoads())}

    @routes.route("GET", "/v1/weights/{model}/{version}")
    def get_weights(self, request: Request, model: str, version: str) -> Reply:
        """Return a response after the time that the load takes."""
        weights = f"{model}={version}"
        if self._known and weights not in self._known:
            return Reply(status=404, body={"error": "unknown weights"})
        number = self._task.ask(StartLoad(weights=weights))
        try:
            self._wait_for_load(request)
        finally:
            self._task.tell(EndLoad(number=number))
        return Reply(body={"model": model, "version": version})

    def _wait_for_load(self, request: Request) -> None:
        remaining_s = self.faults.load_ms / 1000
        previous_s = time.monotonic()
        while remaining_s > 0 and not request.caller_has_disconnected():
            time.sleep(min(POLL_INTERVAL_S, remaining_s))
            now_s = time.monotonic()
            remaining_s -= (now_s - previous_s) * self._task.ask(ReadRate())
            previous_s = now_s


def main(argv: list[str]) -> None:
    """Run the fake."""
    task = LoadsTask(full_rate_loads=FULL_RATE_FLAG.value)
    task.start()
    faults = WeightFaults(load_ms=LOAD_FLAG.value)
    known = set(WEIGHTS_FLAG.value)
    serve(WeightStore(faults=faults, task=task, known=known).answer)


if __name__ == "__main__":
    app.run(main)
