"""A node's part of the repeats that all nodes together may send to a service."""

from __future__ import annotations

from collections import deque

import attrs

__all__ = ["RetryBounds", "WindowedRetryBudget"]


@attrs.frozen(kw_only=True)
class RetryBounds:
    """This node's part of the bounds of a service's repeats."""

    ratio: float
    """Repeats allowed for each request."""

    allowance: float
    """Repeats allowed beyond the ratio."""

    window_s: float
    """Length of the window in which both are counted."""


class WindowedRetryBudget:
    """Allows repeats in a sliding window without talking to other nodes.

    Args:
        bounds: Bounds to keep to.
    """

    def __init__(self, *, bounds: RetryBounds):
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_bounds(self, bounds: RetryBounds) -> None:
        """Keep to other bounds; what was counted stays."""
        self._bounds = bounds

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def can_take(self, now_s: float) -> bool:
        """Whether a repeat is left."""
        self._drop_expired(now_s)
        allowed = self._bounds.ratio * len(self._requests) + self._bounds.allowance
        return len(self._retries) + 1 <= allowed

    def take(self, now_s: float) -> bool:
        """Spend one repeat.

        Returns:
            False when none is left.
        """
        if not self.can_take(now_s):
            return False
        self._retries.append(now_s)
        return True

    def _drop_expired(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now_s - self._bounds.window_s:
                times.popleft()
