"""A non-idempotent request runs at most once."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import Booking, Ending, ServiceRun

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.history import History


def _identity(record: Booking | ServiceRun) -> str:
    """Return the identity that all attempts at the same booking share.

    Callers without a key use each seat once, so the seat identifies the booking.
    """
    return f"key {record.key}" if record.key else f"seat {record.seat}"


def _check_runs(identity: str, runs: list[ServiceRun]) -> Iterator[Violation | Checked]:
    for run in runs[1:]:
        yield Violation(reason=f"{identity} ran {len(runs)} times", record=run)


def _check_answers(
    attempts: list[Booking], runs: list[ServiceRun]
) -> Iterator[Violation | Checked]:
    """Check that every confirmed attempt refers to a run that took place."""
    ran = {run.booking for run in runs}
    for attempt in attempts:
        yield Checked(record=attempt)
        if attempt.ending is Ending.DONE and attempt.booking not in ran:
            reason = f"confirmed booking {attempt.booking!r} which never ran"
            yield Violation(reason=reason, record=attempt)


@checker(
    property_name="at-most-once",
    title="A non-idempotent request runs at most once",
)
def check_at_most_once(history: History) -> Iterator[Violation | Checked]:
    """Check all runs and confirmations, grouped by the identity of the booking."""
    runs_by_identity: dict[str, list[ServiceRun]] = defaultdict(list)
    attempts_by_identity: dict[str, list[Booking]] = defaultdict(list)
    for run in history.of(ServiceRun):
        runs_by_identity[_identity(run)].append(run)
    for attempt in history.of(Booking):
        attempts_by_identity[_identity(attempt)].append(attempt)
    for identity in sorted(runs_by_identity.keys() | attempts_by_identity.keys()):
        runs = runs_by_identity[identity]
        yield from _check_runs(identity, runs)
        yield from _check_answers(attempts_by_identity[identity], runs)
