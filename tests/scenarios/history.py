"""Typed records of one concurrent run.

Callers, fakes and the runner read the same clock of the machine. The interval of
a record is the duration of what it describes. A value that was read during an
interval was valid at some moment inside it.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "Booking",
    "Completion",
    "ConfigurationObservation",
    "Cut",
    "Ending",
    "EndpointLeaving",
    "EngineLifetime",
    "EngineRun",
    "History",
    "Interval",
    "KvImport",
    "NodeLifetime",
    "NodeShutdown",
    "Record",
    "ServiceRun",
    "Submission",
]

END_OF_TIME_S = float("inf")
"""End of an interval that was still open when the run ended."""


@attrs.frozen(kw_only=True)
class Interval:
    """A closed interval on the machine's clock."""

    start_s: float
    end_s: float

    def precedes(self, other: Interval) -> bool:
        """Return whether this interval ends before the other begins."""
        return self.end_s < other.start_s

    def overlaps(self, other: Interval) -> bool:
        """Return whether the two intervals share a moment."""
        return self.start_s <= other.end_s and other.start_s <= self.end_s

    def contains(self, moment_s: float) -> bool:
        """Return whether a moment lies inside."""
        return self.start_s <= moment_s <= self.end_s


class Ending(StrEnum):
    """How an exchange ended for its caller."""

    DONE = "done"
    """The answer was received up to its regular end."""

    ERROR = "error"
    """The stream ended with an explicit error event."""

    REFUSED = "refused"
    """The node answered with a problem document."""

    CUT = "cut"
    """The connection ended without any of these."""

    UNREACHABLE = "unreachable"
    """No connection could be opened, so nothing was sent."""

    SILENT = "silent"
    """Nothing arrived until the caller's timeout."""


@attrs.frozen(kw_only=True)
class Record:
    """Base class of all records."""

    interval: Interval


@attrs.frozen(kw_only=True)
class Completion(Record):
    """One completion as its caller observed it, including resumptions."""

    request_id: str
    organisation: str
    model: str
    prompt: str
    expected_text: str
    node: str
    """The first node that responded, or if none did, the first that was connected to."""
    nodes: tuple[str, ...] = ()
    """All nodes that responded, in order, including those that refused."""
    ending: Ending
    status: int = 0
    outcome: str = ""
    step: str = ""
    detail: str = ""
    retry_after: bool = False
    """Whether the last refusal had the header ``Retry-After``."""
    endpoint: str = ""
    text: str = ""
    event_indexes: tuple[int, ...] = ()
    answer_ids: tuple[str, ...] = ()
    """The distinct answer ids that the chunks carried."""
    finish_reason: str = ""
    resumptions: int = 0
    first_token_s: float | None = None
    cached_tokens: int = 0
    poison: bool = False


@attrs.frozen(kw_only=True)
class Booking(Record):
    """One attempt at a booking as its caller observed it."""

    request_id: str
    organisation: str
    key: str
    """Idempotency key, or an empty string."""
    seat: str
    node: str
    ending: Ending
    status: int = 0
    outcome: str = ""
    booking: str = ""
    booked_seat: str = ""
    """The seat given in the answer."""
    step: str = ""
    detail: str = ""


@attrs.frozen(kw_only=True)
class ServiceRun(Record):
    """One execution of a booking at a plain service."""

    service: str
    key: str
    seat: str
    booking: str


@attrs.frozen(kw_only=True)
class EngineLifetime(Record):
    """One incarnation of an engine, from its start to its end."""

    engine: str
    incarnation: str
    alive_until_s: float = END_OF_TIME_S
    """When its stop began: from then to the end of the interval it may be dead."""


@attrs.frozen(kw_only=True)
class EngineRun(Record):
    """One completion that an engine executed during the interval."""

    engine: str
    incarnation: str
    request_id: str
    prompt: str
    cache_salt: str
    model: str
    weights_version: str
    served_version: str
    """The weights version that the engine had loaded."""
    cached_tokens: int


@attrs.frozen(kw_only=True)
class KvImport(Record):
    """One import of cache blocks from another engine."""

    engine: str
    incarnation: str
    source: str
    keys: tuple[str, ...]


@attrs.frozen(kw_only=True)
class EndpointLeaving(Record):
    """The time for which an endpoint was declared leaving."""

    endpoint: str
    source: str
    """Who declared it: the VM list, the engine, or an operator."""


@attrs.frozen(kw_only=True)
class NodeLifetime(Record):
    """One process of a node, from its start to its end."""

    node: str
    zone: str
    listening_s: float | None = None
    """When the node first answered a readiness check, or None."""
    ready_s: float | None
    """When the node first reported that it was ready, or None."""
    recovered: bool = True
    """Whether configuration existed before this process started."""


@attrs.frozen(kw_only=True)
class NodeShutdown(Record):
    """A graceful shutdown, from the signal to the exit of the process."""

    node: str
    exit_code: int | None


@attrs.frozen(kw_only=True)
class Submission(Record):
    """One submission of a configuration as its operator observed it."""

    submitter: str
    digest: str
    """Identifier of the content: the unique title that the submission sets."""
    accepted: bool | None
    """The verdict, or None if the operator did not receive it."""
    revision: int | None = None


@attrs.frozen(kw_only=True)
class ConfigurationObservation(Record):
    """One reading of the configuration that a node has in force."""

    node: str
    revision: int
    digest: str


@attrs.frozen(kw_only=True)
class Cut(Record):
    """Parts that were frozen or isolated from the others during the interval."""

    parts: tuple[str, ...]
    reason: str


RecordT = TypeVar("RecordT", bound=Record)


class History:
    """All records of one run."""

    def __init__(self, *, records: Iterable[Record] = ()):
        self.records = tuple(records)

    def of(self, kind: type[RecordT]) -> list[RecordT]:
        """Return the records of a class in the order of their start times."""
        found = [record for record in self.records if isinstance(record, kind)]
        return sorted(found, key=lambda record: record.interval.start_s)
