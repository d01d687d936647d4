"""Turns what the stand-ins wrote down into records of the history."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any

from tests.scenarios.history import (
    END_OF_TIME_S,
    EngineLife,
    EngineRun,
    Interval,
    KvImport,
    ServiceRun,
)

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from tests.scenarios.history import Record
    from tests.scenarios.run_state import RunState

__all__ = ["harvest"]

CLOCK_STEP_S = 0.001
"""The stand-ins write times in whole milliseconds, rounded down."""


def _lines(path: Path) -> list[dict[str, Any]]:
    """Read a stand-in's records, but for one that a kill tore while it was written."""
    if not path.exists():
        return []
    records = []
    for line in path.read_text().splitlines():
        with contextlib.suppress(json.JSONDecodeError):
            records.append(json.loads(line))
    return records


def _interval(start_ms: int, end_ms: int | None) -> Interval:
    end_s = END_OF_TIME_S if end_ms is None else end_ms / 1000 + CLOCK_STEP_S
    return Interval(start_s=start_ms / 1000, end_s=end_s)


def _never_began(record: dict[str, Any]) -> bool:
    """Return whether a request was cancelled while it was still queued."""
    work = record["recomputed_tokens"] + record["generated_tokens"]
    return record["outcome"] == "cancelled" and work == 0


def _engine_runs(engine: str, lines: list[dict[str, Any]]) -> Iterator[EngineRun]:
    """Yield an engine's runs: the last line about a request says most."""
    last_by_id = {
        (line["incarnation"], line["request_id"]): line
        for line in lines
        if line["phase"] in ("start", "end")
    }
    for line in last_by_id.values():
        if _never_began(line):
            continue
        request_id = line["request_id"].rpartition("-")[0]
        yield EngineRun(
            interval=_interval(line["start_ms"], line["end_ms"]),
            engine=engine,
            incarnation=line["incarnation"],
            request_id=request_id,
            prompt=line["prompt"],
            cache_salt=line["cache_salt"],
            model=line["model"],
            weights_version=line["weights_version"],
            served_version=line["served_version"],
            cached_tokens=line["cached_tokens"],
        )


def _imports(engine: str, lines: list[dict[str, Any]]) -> Iterator[KvImport]:
    for line in lines:
        if line["phase"] == "import":
            yield KvImport(
                interval=_interval(line["time_ms"], line["time_ms"]),
                engine=engine,
                incarnation=line["incarnation"],
                source=line["source"],
                keys=tuple(line["keys"]),
            )


def _service_runs(service: str, path: Path) -> Iterator[ServiceRun]:
    for line in _lines(path):
        yield ServiceRun(
            interval=_interval(line["time_ms"], line["time_ms"]),
            service=service,
            key=line["idempotency_key"],
            seat=line["seat"],
            booking=line["booking"],
        )


def harvest(state: RunState) -> list[Record]:
    """Return the records of stand-ins and of the lives of all parts."""
    deployment = state.deployment
    directory = deployment.launcher.directory
    records: list[Record] = [*state.node_lives()]
    for engine in deployment.parts("engine"):
        lines = _lines(directory / f"{engine}.history")
        records += _engine_runs(engine, lines)
        records += _imports(engine, lines)
    for service in deployment.parts("service"):
        records += _service_runs(service, directory / f"{service}.runs")
    records += [
        EngineLife(
            interval=life.interval,
            engine=life.part,
            incarnation=life.incarnation,
            alive_until_s=life.alive_until_s,
        )
        for life in state.lives.lives("engine")
        if life.incarnation
    ]
    return records
