"""Moving average of the rate of events."""

from __future__ import annotations

import math

__all__ = ["RateMeter"]

TIME_CONSTANT_S = 3.0
"""Default time constant, long enough for a node that sends about one large prompt a
second."""


class RateMeter:
    """Measures the rate of events.

    Args:
        time_constant_s: Time in which an event loses about two thirds of its weight.
    """

    def __init__(self, *, time_constant_s: float = TIME_CONSTANT_S):
        self._time_constant_s = time_constant_s
        self._weighted = 0.0
        self._updated_s: float | None = None

    def record(self, now_s: float) -> None:
        """Record an event."""
        self._decay(now_s)
        self._weighted += 1

    def count(self, now_s: float) -> float:
        """Return the number of recent events, each with a weight that decays."""
        self._decay(now_s)
        return self._weighted

    def per_second(self, now_s: float) -> float:
        """Return the rate per second."""
        return self.count(now_s) / self._time_constant_s

    def _decay(self, now_s: float) -> None:
        if self._updated_s is not None:
            elapsed_s = max(0.0, now_s - self._updated_s)
            self._weighted *= math.exp(-elapsed_s / self._time_constant_s)
        self._updated_s = now_s
