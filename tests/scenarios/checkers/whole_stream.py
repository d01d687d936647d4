"""Every answer stream arrives complete and in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import Completion, Ending, EngineLifetime

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.history import History


def _out_of_order(indexes: tuple[int, ...]) -> bool:
    """Return whether events are missing, repeated or out of order."""
    return indexes != tuple(range(len(indexes)))


def _was_certainly_alive(lifetime: EngineLifetime, moment_s: float) -> bool:
    end_s = min(lifetime.interval.end_s, lifetime.alive_until_s)
    return lifetime.interval.start_s <= moment_s < end_s


def _lacked_live_engine(
    completion: Completion, lifetimes: list[EngineLifetime]
) -> bool:
    """Return whether at some moment of a completion no engine was certainly alive.

    The answer can't be completed then, and an explicit error is correct.
    """
    interval = completion.interval
    ends_s = [
        min(lifetime.interval.end_s, lifetime.alive_until_s) for lifetime in lifetimes
    ]
    moments_s = [interval.start_s, interval.end_s]
    moments_s += [end_s for end_s in ends_s if interval.contains(end_s)]
    return bool(lifetimes) and any(
        not any(_was_certainly_alive(lifetime, moment_s) for lifetime in lifetimes)
        for moment_s in moments_s
    )


def _has_unjustified_error(
    completion: Completion, lifetimes: list[EngineLifetime]
) -> bool:
    """Return whether a stream failed although an engine was alive throughout."""
    if completion.ending is not Ending.ERROR or completion.poison:
        return False
    return not _lacked_live_engine(completion, lifetimes)


def _faults_of(completion: Completion) -> Iterator[str]:
    if _out_of_order(completion.event_indexes):
        yield f"events arrived as {completion.event_indexes}"
    if completion.ending is Ending.CUT:
        yield "the stream ended without a regular end or an error event"
    if completion.ending is Ending.SILENT:
        yield "the stream went silent"
    if completion.ending is Ending.DONE and not completion.finish_reason:
        yield "the stream ended without a finish reason"
    if completion.ending is Ending.DONE and len(completion.text) < len(
        completion.expected_text
    ):
        yield "the stream is shorter than the expected answer"


@checker(
    property_name="whole-stream",
    title="Every answer stream arrives complete and in order",
)
def check_whole_stream(history: History) -> Iterator[Violation | Checked]:
    """Check order, completeness and regular end of every stream that began."""
    lifetimes = history.of(EngineLifetime)
    for completion in history.of(Completion):
        if completion.ending in (Ending.REFUSED, Ending.UNREACHABLE):
            continue
        yield Checked(record=completion)
        for fault in _faults_of(completion):
            yield Violation(reason=fault, record=completion)
        if _has_unjustified_error(completion, lifetimes):
            reason = f"the stream failed with an error: {completion.detail}"
            yield Violation(reason=reason, record=completion)
