"""Answers with neither a length nor chunks, which end with their connections.

One that is broken off by a crash of its replica may look complete. It counts as complete
only once the replica is known to be up.
"""

from __future__ import annotations

from collections import deque

import attrs

from crocuswick.relay.relay_request import RoutedRequest

__all__ = ["EndedAnswer", "UnframedAnswers"]

ASSUMED_UP_AFTER_S = 5.0
"""Time after the end of an answer from which it counts as complete though its replica has
sent no other since. A crash is known by then."""

MAX_ANSWERS = 1_024
"""Maximum number of answers stored; the oldest are dropped."""


@attrs.frozen(kw_only=True)
class EndedAnswer:
    """An answer whose end has arrived."""

    request: RoutedRequest
    incarnation: str
    sent_s: float
    """Monotonic time at which the attempt began."""

    ended_s: float
    """Monotonic time of the end."""

    is_success: bool
    """Whether its status is that of a success."""


class UnframedAnswers:
    """Unframed answers that may have been broken off."""

    def __init__(self):
        self._answers: deque[EndedAnswer] = deque(maxlen=MAX_ANSWERS)

    def add(self, answer: EndedAnswer) -> None:
        """Add an unframed answer that has just ended."""
        self._answers.append(answer)

    def take_complete(self, newest: EndedAnswer) -> list[EndedAnswer]:
        """Remove and return the answers that were complete.

        Args:
            newest: An answer that has just ended, framed or not. It shows that its replica
                was up when the request was sent.
        """
        complete: list[EndedAnswer] = []
        doubtful: deque[EndedAnswer] = deque(maxlen=MAX_ANSWERS)
        for answer in self._answers:
            is_same = answer.incarnation == newest.incarnation
            is_up = is_same and newest.sent_s >= answer.ended_s
            is_old = newest.ended_s - answer.ended_s > ASSUMED_UP_AFTER_S
            (complete if is_up or is_old else doubtful).append(answer)
        self._answers = doubtful
        return complete

    def take_of(self, incarnation: str) -> list[EndedAnswer]:
        """Remove and return the answers of a replica that has ended."""
        taken = [each for each in self._answers if each.incarnation == incarnation]
        kept = [each for each in self._answers if each.incarnation != incarnation]
        self._answers = deque(kept, maxlen=MAX_ANSWERS)
        return taken
