"""Exponential back-off after consecutive failures."""

from __future__ import annotations

import random

__all__ = ["backoff_s", "with_jitter_s"]

MAX_DOUBLINGS = 10
"""Number of doublings after which the back-off stays constant. Without this bound, the
power of two would overflow a float after hours of failures."""


def backoff_s(failures: int, *, initial_s: float, max_s: float) -> float:
    """Return the back-off time, which doubles with each failure.

    Args:
        failures: Consecutive failures, 0 or more; each doubles the back-off time.
        initial_s: Back-off time for 0 failures.
        max_s: Upper bound of the back-off time.
    """
    return min(max_s, initial_s * 2 ** min(failures, MAX_DOUBLINGS))


def with_jitter_s(pause_s: float) -> float:
    """Return a random 50 to 100 % of a pause, so that nodes don't all retry at once."""
    return pause_s * random.uniform(0.5, 1.0)
