"""The history that the fake engine records for the checkers.

Each record is also appended to a file as a JSON line, so that the history survives
a crash. Its ``phase`` is ``life`` (the start of an incarnation), ``start`` or ``end``
(of a request), ``import`` or ``order``.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import attrs

from tests.fakes.engine_cache import key_to_hex
from tests.fakes.http_service import wall_ms

if TYPE_CHECKING:
    from pathlib import Path

    from tests.fakes.engine_jobs import Job
    from tests.fakes.engine_messages import ImportKeys, Order

__all__ = ["EngineHistory"]


class EngineHistory:
    """Records of one engine process, over all its incarnations."""

    def __init__(self, *, file: Path | None, with_prompts: bool):
        self.incarnation = ""
        self._file = file
        self._with_prompts = with_prompts
        self._incarnations: list[dict[str, Any]] = []
        self._requests: list[dict[str, Any]] = []
        self._imports: list[dict[str, Any]] = []
        self._orders: list[dict[str, Any]] = []

    def begin_incarnation(self, incarnation: str) -> None:
        """Record the end of an incarnation and the start of the next."""
        if self._incarnations:
            self._incarnations[-1]["end_ms"] = wall_ms()
        self.incarnation = incarnation
        record = {"incarnation": incarnation, "start_ms": wall_ms(), "end_ms": None}
        self._incarnations.append(record)
        self._write("life", record)

    def start_request(self, job: Job, *, served_version: str) -> None:
        """Record that a request was accepted."""
        self._write("start", self._request(job, served_version))

    def end_request(self, job: Job, *, served_version: str) -> None:
        """Record how a request ended."""
        record = self._request(job, served_version)
        self._requests.append(record)
        self._write("end", record)

    def add_import(self, message: ImportKeys) -> None:
        """Record blocks that were imported from another engine."""
        record = {
            "time_ms": wall_ms(),
            "incarnation": self.incarnation,
            "source": message.source,
            "keys": [key_to_hex(key) for key in message.keys],
        }
        self._imports.append(record)
        self._write("import", record)

    def add_order(self, order: Order, *, fenced: bool) -> None:
        """Record an order, accepted or fenced."""
        record = {
            "time_ms": wall_ms(),
            "incarnation": self.incarnation,
            "fenced": fenced,
            **attrs.asdict(order),
        }
        self._orders.append(record)
        self._write("order", record)

    def copy(self, *, active: list[tuple[Job, str]]) -> dict[str, Any]:
        """Copy all records.

        Args:
            active: Requests that have not ended, each with the version that is served.

        Returns:
            The records by kind.
        """
        unfinished = [self._request(job, version) for job, version in active]
        return {
            "incarnation": self.incarnation,
            "lives": [dict(record) for record in self._incarnations],
            "requests": self._requests + unfinished,
            "imports": list(self._imports),
            "orders": list(self._orders),
        }

    def _request(self, job: Job, served_version: str) -> dict[str, Any]:
        record = job.record(incarnation=self.incarnation)
        record["served_version"] = served_version
        if self._with_prompts:
            record["prompt"] = job.completion.prompt
        return record

    def _write(self, phase: str, record: dict[str, Any]) -> None:
        if self._file:
            with self._file.open("a") as file:
                file.write(json.dumps({"phase": phase, **record}) + "\n")
