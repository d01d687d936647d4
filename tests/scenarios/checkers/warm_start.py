"""A router that restarts has no cold start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import Completion, Ending, NodeLife

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.history import History

READY_BOUND_S = 3.0
"""Seconds from the start of a process until it must be ready."""

FIRST_REQUESTS_S = 2.0
"""Seconds after readiness in which every request must be served."""


def _first_requests(history: History, life: NodeLife) -> list[Completion]:
    """Return the requests that the node got just after it became ready."""
    if life.ready_s is None:
        return []
    until_s = min(life.ready_s + FIRST_REQUESTS_S, life.interval.end_s)
    return [
        completion
        for completion in history.of(Completion)
        if completion.node == life.node
        and life.ready_s <= completion.interval.start_s <= until_s
        and completion.interval.end_s <= life.interval.end_s
        and not completion.poison
    ]


def _check_ready(life: NodeLife) -> Iterator[Violation]:
    ready_s = life.ready_s if life.ready_s is not None else life.interval.end_s
    taken_s = ready_s - life.interval.start_s
    if taken_s > READY_BOUND_S:
        reason = f"{life.node} was not ready {READY_BOUND_S} s after its start"
        yield Violation(reason=f"{reason} (after {taken_s:.2f} s)", record=life)


@checker(
    property_name="warm-start",
    title="A router that restarts has no cold start: it serves requests at once",
)
def check_warm_start(history: History) -> Iterator[Violation | Checked]:
    """Check readiness and the first requests of each process of a node."""
    for life in history.of(NodeLife):
        if not life.recovered:
            continue
        yield from _check_ready(life)
        for completion in _first_requests(history, life):
            yield Checked(record=completion)
            if completion.ending is not Ending.DONE:
                reason = (
                    f"{life.node} did not serve a first request: "
                    f"{completion.ending} {completion.step} {completion.detail}"
                )
                yield Violation(reason=reason, record=completion)
