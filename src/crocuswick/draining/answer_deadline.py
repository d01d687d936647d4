"""Time by which a node that shuts down must have sent all answers."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["AnswerDeadline"]


class AnswerDeadline:
    """Limits the deadlines of requests once the node's shutdown has begun.

    Args:
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._latest_s = math.inf
        self._unannounced_until_s = math.inf

    @property
    def has_passed(self) -> bool:
        """Whether no answer can be sent any more."""
        return self._clock() >= self._latest_s

    @property
    def is_unannounced(self) -> bool:
        """Whether callers may still send requests because they don't know of a stop."""
        return self._clock() < self._unannounced_until_s

    def set(self, latest_s: float, *, unannounced_until_s: float = 0.0) -> None:
        """Begin the shutdown.

        Args:
            latest_s: Monotonic time by which all answers must have been sent.
            unannounced_until_s: Monotonic time until which callers may not know of it.
        """
        self._latest_s = latest_s
        self._unannounced_until_s = unannounced_until_s

    def limit(self, deadline_s: float) -> float:
        """Return a request's deadline, or the node's if that comes first.

        Args:
            deadline_s: Monotonic time.
        """
        return min(deadline_s, self._latest_s)

    def leaves_time(
        self, deadline_s: float, expected_s: Callable[[], float | None]
    ) -> bool:
        """Whether a request that is sent now is answered before the node exits.

        A request that outlasts the node is refused unless it is known that its answer
        takes less time: another node can serve it, and a late refusal could not promise
        that it has not run.

        Args:
            deadline_s: Monotonic time of its own deadline.
            expected_s: Returns the seconds that its answer may take, None if unknown. It
                is called only if the node exits before the request's own deadline.
        """
        if deadline_s <= self._latest_s:
            return True
        duration_s = expected_s()
        if duration_s is None:
            return False
        return self._clock() + duration_s <= self._latest_s
