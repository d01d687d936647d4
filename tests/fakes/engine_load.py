"""Samples of the engine stand-in's load, so that it can be reported late."""

from __future__ import annotations

import time
from collections import deque
from typing import Any

__all__ = ["LoadSamples"]

SAMPLE_INTERVAL_S = 0.01


class LoadSamples:
    """The load over the last while; a sample stays true until the next one."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, dict[str, Any]]] = deque()

    def add(self, load: dict[str, Any], *, lag_s: float) -> None:
        """Add a sample and drop those that are older than needed.

        Args:
            load: The load now.
            lag_s: Lag with which the load is reported.
        """
        samples = self._samples
        now_s = time.monotonic()
        if len(samples) > 1 and now_s - samples[-2][0] < SAMPLE_INTERVAL_S:
            samples.pop()
        samples.append((now_s, load))
        while len(samples) > 1 and samples[1][0] <= now_s - lag_s:
            samples.popleft()

    def report(self, *, lag_s: float) -> dict[str, Any]:
        """Return the load as it was before the lag, with its age."""
        taken_s, load = self._samples[0]
        now_s = time.monotonic()
        age_s = now_s - max(taken_s, now_s - lag_s)
        return {**load, "age_ms": round(age_s * 1000)}
