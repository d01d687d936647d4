"""A node's share of the retries that the fleet may send to a service."""

from __future__ import annotations

from collections import deque

import attrs

__all__ = ["RetryBounds", "WindowedRetryBudget"]


@attrs.frozen(kw_only=True)
class RetryBounds:
    """This node's share of the bounds on retries to a service."""

    ratio: float
    """Retries allowed per request."""

    allowance: float
    """Retries allowed in addition to the ratio."""

    window_s: float
    """Length of the sliding window in which requests and retries are counted."""


class WindowedRetryBudget:
    """Limits retries in a sliding window without communication between nodes.

    Args:
        bounds: Bounds on retries.
    """

    def __init__(self, *, bounds: RetryBounds):
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_bounds(self, bounds: RetryBounds) -> None:
        """Apply other bounds; the counts are kept."""
        self._bounds = bounds

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def can_take(self, now_s: float) -> bool:
        """Whether another retry is allowed."""
        self._drop_expired(now_s)
        allowed = self._bounds.ratio * len(self._requests) + self._bounds.allowance
        return len(self._retries) + 1 <= allowed

    def take(self, now_s: float) -> bool:
        """Spend one retry.

        Returns:
            False if none is left.
        """
        if not self.can_take(now_s):
            return False
        self._retries.append(now_s)
        return True

    def state(self, now_s: float) -> str:
        """Return the counts in the window, for the log."""
        self._drop_expired(now_s)
        return (
            f"{len(self._retries)} retries for {len(self._requests)} requests in "
            f"{self._bounds.window_s:g} s, {self._bounds.allowance:.1f} more allowed"
        )

    def _drop_expired(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now_s - self._bounds.window_s:
                times.popleft()
