"""Every answer stream arrives complete and in order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import Completion, Ending

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.history import History


def _out_of_order(indexes: tuple[int, ...]) -> bool:
    """Return whether events are missing, repeated or out of order."""
    return indexes != tuple(range(len(indexes)))


def _faults_of(completion: Completion) -> Iterator[str]:
    if _out_of_order(completion.event_indexes):
        yield f"events arrived as {completion.event_indexes}"
    if completion.ending is Ending.CUT:
        yield "the stream ended without a regular end or an error event"
    if completion.ending is Ending.SILENT:
        yield "the stream went silent"
    if completion.ending is Ending.ERROR and not completion.poison:
        yield f"the stream was given up: {completion.detail}"
    if completion.ending is Ending.DONE and not completion.finish_reason:
        yield "the stream ended without a finish reason"
    if completion.ending is Ending.DONE and len(completion.text) < len(
        completion.expected_text
    ):
        yield "the stream ended short"


@checker(
    property_name="whole-stream",
    title="Every answer stream arrives complete and in order",
)
def check_whole_stream(history: History) -> Iterator[Violation | Checked]:
    """Check order, completeness and regular end of every stream that began."""
    for completion in history.of(Completion):
        if completion.ending in (Ending.REFUSED, Ending.UNREACHABLE):
            continue
        yield Checked(record=completion)
        for fault in _faults_of(completion):
            yield Violation(reason=fault, record=completion)
