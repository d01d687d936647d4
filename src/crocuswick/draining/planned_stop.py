"""What the parts of a node share to stop without cutting requests off."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from crocuswick.draining.answer_deadline import AnswerDeadline
from crocuswick.draining.answer_times import AnswerTimes
from crocuswick.draining.open_calls import OpenCalls

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PlannedStop"]

ANSWERS_MARGIN_S = 0.4
"""Time before the exit at which the last calls are aborted and their callers told."""

MAX_MARGIN_SHARE = 0.25
"""Largest share of the time until the exit that the margin takes."""


@attrs.define(kw_only=True)
class PlannedStop:
    """State of a node's shutdown, before it begins too."""

    deadline: AnswerDeadline = attrs.Factory(AnswerDeadline)
    times: AnswerTimes = attrs.Factory(AnswerTimes)
    calls: OpenCalls = attrs.Factory(OpenCalls)
    has_begun: bool = False

    def begin(self, grace_s: float) -> None:
        """Begin the shutdown.

        Args:
            grace_s: Seconds until the node exits in any case.
        """
        margin_s = min(ANSWERS_MARGIN_S, MAX_MARGIN_SHARE * grace_s)
        self.deadline.set(time.monotonic() + grace_s - margin_s)
        self.has_begun = True

    def leaves_time(
        self, allowed_s: float, expected_s: Callable[[], float | None]
    ) -> bool:
        """Whether a request that is sent now is answered before the node exits.

        Args:
            allowed_s: Seconds after which its caller gives up.
            expected_s: Returns the seconds that its answer may take, None if unknown.
        """
        return self.deadline.leaves_time(time.monotonic() + allowed_s, expected_s)
