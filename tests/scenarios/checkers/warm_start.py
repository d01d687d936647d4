"""A router that restarts has no cold start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import Completion, Ending, NodeLifetime

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.history import History

LISTEN_BOUND_S = 10.0
"""Seconds from the start of a process until it must answer readiness checks.

Most of this is the startup of the interpreter, which is slow on a busy machine.
"""

READY_BOUND_S = 1.0
"""Seconds from a node's first answer until it must be ready."""

FIRST_REQUESTS_S = 2.0
"""Seconds after readiness in which every request must be served."""


def _first_requests(history: History, lifetime: NodeLifetime) -> list[Completion]:
    """Return the requests that the node got shortly after it became ready."""
    if lifetime.ready_s is None:
        return []
    until_s = min(lifetime.ready_s + FIRST_REQUESTS_S, lifetime.interval.end_s)
    return [
        completion
        for completion in history.of(Completion)
        if completion.node == lifetime.node
        and lifetime.ready_s <= completion.interval.start_s <= until_s
        and completion.interval.end_s <= lifetime.interval.end_s
        and not completion.poison
    ]


def _is_overdue(
    began_s: float, done_s: float | None, end_s: float, bound_s: float
) -> bool:
    """Return whether an event took longer than a bound while the node was running."""
    return (end_s if done_s is None else done_s) - began_s > bound_s


def _check_ready(lifetime: NodeLifetime) -> Iterator[Violation]:
    began_s, end_s = lifetime.interval.start_s, lifetime.interval.end_s
    if _is_overdue(began_s, lifetime.listening_s, end_s, LISTEN_BOUND_S):
        reason = f"{lifetime.node} did not answer {LISTEN_BOUND_S} s after its start"
        yield Violation(reason=reason, record=lifetime)
    if lifetime.listening_s is None:
        return
    if _is_overdue(lifetime.listening_s, lifetime.ready_s, end_s, READY_BOUND_S):
        reason = (
            f"{lifetime.node} was not ready {READY_BOUND_S} s after its first answer"
        )
        yield Violation(reason=reason, record=lifetime)


@checker(
    property_name="warm-start",
    title="A router that restarts has no cold start: it serves requests at once",
)
def check_warm_start(history: History) -> Iterator[Violation | Checked]:
    """Check readiness and the first requests of each process of a node."""
    for lifetime in history.of(NodeLifetime):
        if not lifetime.recovered:
            continue
        yield from _check_ready(lifetime)
        for completion in _first_requests(history, lifetime):
            yield Checked(record=completion)
            if completion.ending is not Ending.DONE:
                reason = (
                    f"{lifetime.node} did not serve a first request: "
                    f"{completion.ending} {completion.step} {completion.detail}"
                )
                yield Violation(reason=reason, record=completion)
