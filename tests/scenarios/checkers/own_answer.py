"""Each caller gets the complete answer to its own request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import Booking, Completion, Ending

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.history import History


def _fault_of(completion: Completion) -> str:
    """Return a description of the fault in an answer, or an empty string."""
    if completion.ending is Ending.DONE:
        if completion.text != completion.expected_text:
            return "the finished answer does not belong to the caller's prompt"
        return ""
    if not completion.expected_text.startswith(completion.text):
        return "a part of another answer was delivered"
    return ""


def _check_bookings(history: History) -> Iterator[Violation | Checked]:
    for booking in history.of(Booking):
        if booking.ending is not Ending.DONE:
            continue
        yield Checked(record=booking)
        if booking.booked_seat != booking.seat:
            reason = f"requested {booking.seat}, but got {booking.booked_seat}"
            yield Violation(reason=reason, record=booking)


@checker(
    property_name="own-answer",
    title="Each caller gets the complete answer to its own request",
)
def check_own_answer(history: History) -> Iterator[Violation | Checked]:
    """Compare each answer with the deterministic answer to its prompt."""
    for completion in history.of(Completion):
        if completion.ending is Ending.DONE:
            yield Checked(record=completion)
        fault = _fault_of(completion)
        if fault:
            yield Violation(reason=fault, record=completion)
        if len(completion.answer_ids) > 1 + completion.resumptions:
            reason = f"answers {completion.answer_ids} are mixed in one stream"
            yield Violation(reason=reason, record=completion)
    yield from _check_bookings(history)
