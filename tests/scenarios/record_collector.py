"""Converts the record files of the fakes into history records."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any

from tests.scenarios.history import (
    END_OF_TIME_S,
    EngineLifetime,
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

__all__ = ["collect_records"]

CLOCK_RESOLUTION_S = 0.001
"""The fakes write times in whole milliseconds, rounded down."""


def _read_json_lines(path: Path) -> list[dict[str, Any]]:
    """Read a fake's records; skip a line that is truncated because of a kill."""
    if not path.exists():
        return []
    records = []
    for line in path.read_text().splitlines():
        with contextlib.suppress(json.JSONDecodeError):
            records.append(json.loads(line))
    return records


def _interval(start_ms: int, end_ms: int | None) -> Interval:
    end_s = END_OF_TIME_S if end_ms is None else end_ms / 1000 + CLOCK_RESOLUTION_S
    return Interval(start_s=start_ms / 1000, end_s=end_s)


def _was_cancelled_in_queue(record: dict[str, Any]) -> bool:
    """Return whether a request was cancelled while it was still queued."""
    work = record["recomputed_tokens"] + record["generated_tokens"]
    return record["outcome"] == "cancelled" and work == 0


def _engine_runs(engine: str, lines: list[dict[str, Any]]) -> Iterator[EngineRun]:
    """Yield an engine's runs, each from the last line about its request."""
    last_by_id = {
        (line["incarnation"], line["request_id"]): line
        for line in lines
        if line["phase"] in ("start", "end")
    }
    for line in last_by_id.values():
        if _was_cancelled_in_queue(line):
            continue
        # Engines receive the node's request id with the attempt's number appended.
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
    for line in _read_json_lines(path):
        yield ServiceRun(
            interval=_interval(line["time_ms"], line["time_ms"]),
            service=service,
            key=line["idempotency_key"],
            seat=line["seat"],
            booking=line["booking"],
        )


def collect_records(state: RunState) -> list[Record]:
    """Return the records of the fakes and the lifetimes of nodes and engines."""
    deployment = state.deployment
    directory = deployment.launcher.directory
    records: list[Record] = [*state.node_lifetimes()]
    for engine in deployment.parts("engine"):
        lines = _read_json_lines(directory / f"{engine}.history")
        records += _engine_runs(engine, lines)
        records += _imports(engine, lines)
    for service in deployment.parts("service"):
        records += _service_runs(service, directory / f"{service}.runs")
    records += [
        EngineLifetime(
            interval=lifetime.interval,
            engine=lifetime.part,
            incarnation=lifetime.incarnation,
            alive_until_s=lifetime.alive_until_s,
        )
        for lifetime in state.lifetimes.of_kind("engine")
        if lifetime.incarnation
    ]
    return records
