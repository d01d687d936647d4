"""Fake of a plain service that makes bookings.

Fault settings (`PlainFaults`): those of `CallFaults`, and

* ``run_ms``: duration of a run;
* ``lose_answers``: fraction of the runs that take effect but whose response is lost;
* ``lose_next_answers``: how many of the next runs lose their response;
* ``crash_after_runs``: number of further runs after which the process crashes;
  0: never.

Each run is recorded with the request's headers ``Idempotency-Key`` and
``X-Request-Id``, and the history counts the runs by idempotency key.
"""

from __future__ import annotations

import json
import os
import random
import time
from pathlib import Path
from typing import Any

import attrs
from absl import app, flags

from crocuswick.actor import Message
from tests.fakes.control import CallFaults, Controlled
from tests.fakes.http_service import (
    Reply,
    Request,
    Routes,
    drop_connection,
    serve,
    wall_ms,
)
from tests.fakes.task import Task

__all__ = ["PlainFaults", "PlainService", "Run"]

RUNS_FLAG = flags.DEFINE_string(
    "runs", "", "File to which each run is appended as a JSON line."
)

CRASH_EXIT_CODE = 70
"""Exit code of a simulated crash; scenario runs restart a process that ends with it."""


@attrs.frozen(kw_only=True)
class PlainFaults(CallFaults):
    """Fault settings of the plain service."""

    run_ms: int = 0
    lose_answers: float = 0.0
    lose_next_answers: int = 0
    crash_after_runs: int = 0


@attrs.frozen(kw_only=True)
class Run(Message):
    """One execution of a booking request."""

    idempotency_key: str
    request_id: str
    seat: str
    time_ms: int


@attrs.frozen(kw_only=True)
class RecordedRun:
    """A run with the booking that it created."""

    run: Run
    booking: str

    def as_record(self) -> dict[str, Any]:
        """Return the history record for the checkers."""
        return {**attrs.asdict(self.run), "booking": self.booking}


@attrs.frozen(kw_only=True)
class CopyRuns(Message):
    """Query for a copy of the runs."""


class BookingTask(Task):
    """The task that owns the runs."""

    def __init__(self, *, runs_file: Path | None):
        super().__init__(name="bookings")
        self._runs: list[RecordedRun] = []
        self._runs_file = runs_file

    def on_run(self, run: Run) -> dict[str, Any]:
        """Record a run and return the booking."""
        booking = f"booking-{run.time_ms}-{len(self._runs) + 1}"
        recorded = RecordedRun(run=run, booking=booking)
        self._runs.append(recorded)
        if self._runs_file:
            with self._runs_file.open("a") as file:
                file.write(json.dumps(recorded.as_record()) + "\n")
        runs_of_seat = [item for item in self._runs if item.run.seat == run.seat]
        return {"booking": booking, "seat": run.seat, "runs": len(runs_of_seat)}

    def on_copy_runs(self, message: CopyRuns) -> list[dict[str, Any]]:
        """Copy the runs."""
        return [run.as_record() for run in self._runs]


class PlainService(Controlled):
    """HTTP interface of the booking service."""

    routes = Routes()

    def __init__(self, *, faults: PlainFaults, task: BookingTask):
        super().__init__(faults=faults)
        self._task = task

    def history(self) -> Any:
        """Return all runs, and their number by idempotency key."""
        runs = self._task.ask(CopyRuns())
        runs_by_key: dict[str, int] = {}
        for run in runs:
            key = run["idempotency_key"]
            runs_by_key[key] = runs_by_key.get(key, 0) + 1
        return {"runs": runs, "runs_by_key": runs_by_key}

    @routes.route("GET", "/control/runs")
    def get_runs(self, request: Request) -> Reply:
        """Return the runs."""
        return Reply(body=self.history())

    @routes.route("POST", "/bookings")
    def book(self, request: Request) -> Reply:
        """Make a booking."""
        run = Run(
            idempotency_key=request.headers.get("idempotency-key", ""),
            request_id=request.headers.get("x-request-id", ""),
            seat=str(request.json().get("seat", "")),
            time_ms=wall_ms(),
        )
        booking = self._task.ask(run)
        time.sleep(self.faults.run_ms / 1000)
        self._apply_run_faults()
        return Reply(status=201, body=booking)

    @routes.route("GET", "/echo")
    def echo(self, request: Request) -> Reply:
        """Return the request's query and headers; the call is idempotent."""
        return Reply(body={"query": request.query, "headers": request.headers})

    def _apply_run_faults(self) -> None:
        if self.consume_count("crash_after_runs") == 1:
            os._exit(CRASH_EXIT_CODE)
        if self.consume_count("lose_next_answers"):
            drop_connection()
        if random.random() < self.faults.lose_answers:
            drop_connection()


def main(argv: list[str]) -> None:
    """Run the fake."""
    runs_file = Path(RUNS_FLAG.value) if RUNS_FLAG.value else None
    task = BookingTask(runs_file=runs_file)
    task.start()
    serve(PlainService(faults=PlainFaults(), task=task).answer)


if __name__ == "__main__":
    app.run(main)
