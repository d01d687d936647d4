"""Samples of the fake engine's load, for reports with a lag."""

from __future__ import annotations

import time
from collections import deque
from typing import Any

__all__ = ["LoadSamples"]

SAMPLE_INTERVAL_S = 0.01


class LoadSamples:
    """Recent load samples, each valid until the time of the next one."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, dict[str, Any]]] = deque()

    def add(self, load: dict[str, Any], *, lag_s: float) -> None:
        """Add a sample and drop those that the lag no longer needs.

        Args:
            load: Current load.
            lag_s: Lag of the reports.
        """
        samples = self._samples
        now_s = time.monotonic()
        # Samples within one interval replace each other, which bounds their number.
        if len(samples) > 1 and now_s - samples[-2][0] < SAMPLE_INTERVAL_S:
            samples.pop()
        samples.append((now_s, load))
        while len(samples) > 1 and samples[1][0] <= now_s - lag_s:
            samples.popleft()

    def report(self, *, lag_s: float) -> dict[str, Any]:
        """Return the load as of ``lag_s`` ago, with its age."""
        taken_s, load = self._samples[0]
        now_s = time.monotonic()
        age_s = now_s - max(taken_s, now_s - lag_s)
        return {**load, "age_ms": round(age_s * 1000)}
