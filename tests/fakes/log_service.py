"""Fake of the platform's append-only log service.

Fault settings (`LogFaults`): those of `CallFaults`, and

* ``reads``, ``appends``: an outage of one kind of call only, with the values of
  ``outage``;
* ``streams``: names of the streams that outages affect; empty: all;
* ``lose_answers``: fraction of the appends that take effect but whose response is
  lost;
* ``lose_next_answers``: how many of the next appends lose their response;
* ``retention_records``, ``retention_ms``: retention of records; 0: unlimited.
"""

from __future__ import annotations

import json
import random
import time
from collections import defaultdict
from concurrent.futures import Future
from pathlib import Path
from typing import Any

import attrs
from absl import app, flags

from crocuswick.actor import Message
from tests.fakes.control import CallFaults, Controlled, apply_call_fault
from tests.fakes.http_service import (
    Reply,
    Request,
    Routes,
    drop_connection,
    serve,
    wall_ms,
)
from tests.fakes.task import Task

__all__ = ["LogFaults", "LogService"]

RETENTION_RECORDS_FLAG = flags.DEFINE_integer(
    "retention_records", 0, "Retention in records of each stream; 0: unlimited."
)
RETENTION_MS_FLAG = flags.DEFINE_integer(
    "retention_ms", 0, "Retention in milliseconds; 0: unlimited."
)
APPENDS_PER_S_FLAG = flags.DEFINE_integer(
    "appends_per_s", 400, "Limit of appends per second."
)
STORE_FLAG = flags.DEFINE_string(
    "store", "", "File that preserves the records when the fake restarts."
)

MAX_BACKLOG_S = 2.0
"""Time that queued appends may take before further ones are refused."""

MAX_READ_RECORDS = 1000


@attrs.frozen(kw_only=True)
class LogFaults(CallFaults):
    """Fault settings of the log service."""

    reads: str = "none"
    appends: str = "none"
    streams: list[str] = attrs.field(factory=list)
    lose_answers: float = 0.0
    lose_next_answers: int = 0
    retention_records: int = 0
    retention_ms: int = 0


@attrs.frozen(kw_only=True)
class Record:
    """One record of a stream."""

    offset: int
    time_ms: int
    value: Any


@attrs.define(kw_only=True)
class Stream:
    """All appended records, and the offset of the first that is still retained."""

    records: list[Record] = attrs.field(factory=list)
    first_retained: int = 0

    def apply_retention(self, *, faults: LogFaults) -> None:
        """Advance the first retained offset by the retention settings."""
        if faults.retention_records:
            oldest = len(self.records) - faults.retention_records
            self.first_retained = max(self.first_retained, oldest)
        if not faults.retention_ms:
            return
        limit_ms = wall_ms() - faults.retention_ms
        while (
            self.first_retained < len(self.records)
            and self.records[self.first_retained].time_ms < limit_ms
        ):
            self.first_retained += 1


@attrs.frozen(kw_only=True)
class Append(Message):
    """Command to append a batch of records."""

    stream: str
    values: list[Any]


@attrs.frozen(kw_only=True)
class Read(Message):
    """Query for the records from an offset; waits while there are none."""

    stream: str
    start: int
    limit: int
    wait_s: float
    faults: LogFaults


@attrs.frozen(kw_only=True)
class CopyAll(Message):
    """Query for a copy of all streams, for the checkers."""


@attrs.frozen(kw_only=True)
class WaitingRead:
    """A long poll that waits for a record."""

    read: Read
    until_s: float
    reply: Future[Reply]


class LogTask(Task):
    """The task that owns the streams."""

    def __init__(self, *, appends_per_s: int, store: Path | None):
        super().__init__(name="log")
        self._append_cost_s = 1 / appends_per_s
        self._free_at_s = 0.0
        """Monotonic time at which all accepted appends are done."""

        self._streams_by_name: defaultdict[str, Stream] = defaultdict(Stream)
        self._waiting: list[WaitingRead] = []
        self._store = store
        self._load_store()

    def on_append(self, append: Append) -> tuple[Reply, float]:
        """Append a batch.

        Returns:
            The response, and the monotonic time at which it may be sent.
        """
        now_s = time.monotonic()
        if self._free_at_s - now_s > MAX_BACKLOG_S:
            return Reply(status=503, body={"error": "overloaded"}), now_s
        self._free_at_s = max(now_s, self._free_at_s) + self._append_cost_s
        stream = self._streams_by_name[append.stream]
        first = len(stream.records)
        for offset, value in enumerate(append.values, start=first):
            record = Record(offset=offset, time_ms=wall_ms(), value=value)
            stream.records.append(record)
            self._save(append.stream, record)
        self._wake(append.stream)
        body = {"first_offset": first, "next_offset": len(stream.records)}
        return Reply(body=body), self._free_at_s

    def on_read(self, read: Read) -> Reply | Future[Reply]:
        """Read at once if there are records, else when one is appended."""
        stream = self._streams_by_name[read.stream]
        stream.apply_retention(faults=read.faults)
        must_wait = read.start >= len(stream.records) and read.wait_s > 0
        if not must_wait:
            return self._read_now(read)
        waiting = WaitingRead(
            read=read, until_s=time.monotonic() + read.wait_s, reply=Future()
        )
        self._waiting.append(waiting)
        return waiting.reply

    def on_copy_all(self, message: CopyAll) -> dict[str, Any]:
        """Copy all streams, including records that are no longer retained."""
        return {
            name: {
                "first_retained": stream.first_retained,
                "records": [attrs.asdict(record) for record in stream.records],
            }
            for name, stream in self._streams_by_name.items()
        }

    def next_due_s(self) -> float | None:
        """Return the time at which the first long poll ends."""
        return min((waiting.until_s for waiting in self._waiting), default=None)

    def on_due(self) -> None:
        """Answer the long polls whose time is over."""
        now_s = time.monotonic()
        self._end_waiting([item for item in self._waiting if item.until_s <= now_s])

    def _wake(self, stream: str) -> None:
        self._end_waiting(
            [item for item in self._waiting if item.read.stream == stream]
        )

    def _end_waiting(self, ended: list[WaitingRead]) -> None:
        for waiting in ended:
            self._waiting.remove(waiting)
            waiting.reply.set_result(self._read_now(waiting.read))

    def _read_now(self, read: Read) -> Reply:
        stream = self._streams_by_name[read.stream]
        body: dict[str, Any] = {
            "first_retained": stream.first_retained,
            "next_offset": len(stream.records),
        }
        if read.start < stream.first_retained:
            return Reply(status=410, body=body)
        records = stream.records[read.start : read.start + read.limit]
        body["records"] = [attrs.asdict(record, recurse=False) for record in records]
        return Reply(body=body)

    def _load_store(self) -> None:
        if not self._store or not self._store.exists():
            return
        for line in self._store.read_text().splitlines():
            entry = json.loads(line)
            records = self._streams_by_name[entry.pop("stream")].records
            records.append(Record(**entry))

    def _save(self, stream: str, record: Record) -> None:
        if self._store:
            entry = {"stream": stream, **attrs.asdict(record, recurse=False)}
            with self._store.open("a") as file:
                file.write(json.dumps(entry) + "\n")


class LogService(Controlled):
    """HTTP interface of the log service."""

    routes = Routes()

    def __init__(self, *, faults: LogFaults, task: LogTask):
        super().__init__(faults=faults)
        self._task = task

    def apply_faults(self, request: Request) -> Reply | None:
        """Apply the outage of all calls, or that of this kind of call."""
        faults = self.faults
        parts = request.path.split("/")
        stream = parts[3] if len(parts) > 3 else ""
        if faults.streams and stream not in faults.streams:
            return None
        kind = faults.appends if request.method == "POST" else faults.reads
        outage = faults.outage if faults.outage != "none" else kind
        return apply_call_fault(self, outage=outage)

    def history(self) -> Any:
        """Return all streams, including records that are no longer retained."""
        return {"streams": self._task.ask(CopyAll())}

    @routes.route("POST", "/v1/streams/{stream}/records")
    def append(self, request: Request, stream: str) -> Reply:
        """Append a batch; a fault may lose the response."""
        values = request.json()["records"]
        reply, due_s = self._task.ask(Append(stream=stream, values=values))
        time.sleep(max(0.0, due_s - time.monotonic()))
        if reply.status == 200 and self._must_lose_response():
            drop_connection()
        return reply

    @routes.route("GET", "/v1/streams/{stream}/records")
    def read(self, request: Request, stream: str) -> Reply:
        """Read records, by long polling."""
        read = Read(
            stream=stream,
            start=request.number("from"),
            limit=min(request.number("limit", MAX_READ_RECORDS), MAX_READ_RECORDS),
            wait_s=request.number("wait_ms") / 1000,
            faults=self.faults,
        )
        return self._task.ask(read)

    def _must_lose_response(self) -> bool:
        if self.consume_count("lose_next_answers"):
            return True
        return random.random() < self.faults.lose_answers


def main(argv: list[str]) -> None:
    """Run the fake."""
    store = Path(STORE_FLAG.value) if STORE_FLAG.value else None
    task = LogTask(appends_per_s=APPENDS_PER_S_FLAG.value, store=store)
    task.start()
    faults = LogFaults(
        retention_records=RETENTION_RECORDS_FLAG.value,
        retention_ms=RETENTION_MS_FLAG.value,
    )
    serve(LogService(faults=faults, task=task).answer)


if __name__ == "__main__":
    app.run(main)
