"""Token bucket whose level a single request may make negative."""

from __future__ import annotations

__all__ = ["TokenBucket"]

BURST_S = 1.0
"""Capacity of a bucket, as the time in which it is filled."""


class TokenBucket:
    """Enforces an average rate, independent of the size of a single request.

    A request passes while the level is above 0, and may take more than the level.
    A request larger than the bucket is thus delayed instead of refused permanently.
    """

    __slots__ = ("_filled_s", "_level", "_rate_per_s")

    def __init__(self, *, rate_per_s: float, now_s: float):
        """Create a full bucket.

        Args:
            rate_per_s: Tokens added per second.
            now_s: Monotonic time.
        """
        self._rate_per_s = rate_per_s
        self._level = rate_per_s * BURST_S
        self._filled_s = now_s

    def set_rate(self, rate_per_s: float, *, now_s: float) -> None:
        """Change the rate from now on; a negative level stays.

        Args:
            rate_per_s: Tokens added per second.
            now_s: Monotonic time.
        """
        self._fill(now_s)
        self._rate_per_s = rate_per_s
        self._level = min(self._level, rate_per_s * BURST_S)

    def wait_s(self, *, now_s: float) -> float:
        """Return the time until a request passes, 0 if it passes now.

        Args:
            now_s: Monotonic time.
        """
        self._fill(now_s)
        if self._level > 0:
            return 0.0
        if self._rate_per_s <= 0:
            return float("inf")
        # 1 ms more, so that the level is above 0 when the request is retried.
        return -self._level / self._rate_per_s + 0.001

    def take(self, tokens: float) -> None:
        """Take tokens, or return some if the number is negative."""
        self._level = min(self._level - tokens, self._rate_per_s * BURST_S)

    def _fill(self, now_s: float) -> None:
        added = (now_s - self._filled_s) * self._rate_per_s
        if added > 0:
            self._level = min(self._level + added, self._rate_per_s * BURST_S)
        self._filled_s = max(self._filled_s, now_s)
