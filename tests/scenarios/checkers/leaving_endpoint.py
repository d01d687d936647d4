"""A leaving endpoint gets no new work after a few seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import EndpointLeaving, EngineRun

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.history import History

NEW_WORK_BOUND_S = 3.0
"""Seconds after which a leaving endpoint must get no new work."""


def _is_late(run: EngineRun, leaving: EndpointLeaving) -> bool:
    if run.engine != leaving.endpoint:
        return False
    bound_s = leaving.interval.start_s + NEW_WORK_BOUND_S
    return bound_s < run.interval.start_s <= leaving.interval.end_s


@checker(
    property_name="leaving-endpoint",
    title="A leaving endpoint gets no new work after a few seconds",
)
def check_leaving_endpoint(history: History) -> Iterator[Violation | Checked]:
    """Look for work that began at a leaving endpoint after the bound.

    A case counts as examined only if some endpoint got work after the bound;
    without traffic the check would pass trivially.
    """
    runs = history.of(EngineRun)
    for leaving in history.of(EndpointLeaving):
        bound_s = leaving.interval.start_s + NEW_WORK_BOUND_S
        if any(bound_s < run.interval.start_s for run in runs):
            yield Checked(record=leaving)
        for run in runs:
            if _is_late(run, leaving):
                late_s = run.interval.start_s - leaving.interval.start_s
                reason = (
                    f"{run.engine} got {run.request_id} {late_s:.2f} s after leaving"
                )
                yield Violation(reason=reason, record=run)
