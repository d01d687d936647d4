"""A request that was refused as not run was never executed."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import Booking, Completion, EngineRun, ServiceRun

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.history import History

NOT_RUN = "not_run"
"""Value of the outcome header which guarantees that nothing was executed."""


def _check_completions(history: History) -> Iterator[Violation | Checked]:
    engines_by_request_id = {
        run.request_id: run.engine for run in history.of(EngineRun)
    }
    for completion in history.of(Completion):
        if completion.outcome != NOT_RUN or not completion.request_id:
            continue
        yield Checked(record=completion)
        engine = engines_by_request_id.get(completion.request_id)
        if engine is not None:
            reason = (
                f"{completion.request_id} was refused as not run but ran at {engine}"
            )
            yield Violation(reason=reason, record=completion)


def _may_have_caused(attempt: Booking, run: ServiceRun) -> bool:
    """Return whether an attempt may have caused a run."""
    if attempt.outcome == NOT_RUN:
        return False
    return attempt.interval.start_s <= run.interval.end_s


def _check_bookings(history: History) -> Iterator[Violation | Checked]:
    """Check that each run has an attempt that may have caused it."""
    attempts_by_seat: dict[str, list[Booking]] = defaultdict(list)
    for attempt in history.of(Booking):
        attempts_by_seat[attempt.seat].append(attempt)
        if attempt.outcome == NOT_RUN:
            yield Checked(record=attempt)
    for run in history.of(ServiceRun):
        if not any(
            _may_have_caused(attempt, run) for attempt in attempts_by_seat[run.seat]
        ):
            reason = f"seat {run.seat} ran, though every attempt was refused as not run"
            yield Violation(reason=reason, record=run)


@checker(
    property_name="not-run",
    title='When a refusal says "not run", the request was not run',
)
def check_not_run(history: History) -> Iterator[Violation | Checked]:
    """Compare refusals with what engines and plain services executed."""
    yield from _check_completions(history)
    yield from _check_bookings(history)
