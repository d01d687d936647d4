"""A node's part of the repeats that all nodes together may send to a service."""

from __future__ import annotations

from collections import deque

__all__ = ["RepeatBudget"]


class RepeatBudget:
    """Allows repeats in a sliding window without talking to other nodes.

    Args:
        ratio: Repeats allowed for each request.
        slack: This node's part of the repeats allowed beyond the ratio.
        window_s: Length of the window.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def use_bounds(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Set all bounds anew; what was counted stays."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def use_slack(self, slack: float) -> None:
        """Set this node's part of the repeats allowed beyond the ratio."""
        self._slack = slack

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._forget(now_s)

    def can_take(self, now_s: float) -> bool:
        """Whether a repeat is left."""
        self._forget(now_s)
        allowed = self._ratio * len(self._requests) + self._slack
        return len(self._repeats) + 1 <= allowed

    def take(self, now_s: float) -> bool:
        """Spend one repeat.

        Returns:
            False when none is left.
        """
        if not self.can_take(now_s):
            return False
        self._repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] < now_s - self._window_s:
                times.popleft()
