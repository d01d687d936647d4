"""Virtual time: calls that are due at a moment, in order."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["VirtualClock"]


class VirtualClock:
    """Runs calls in order of their time, without waiting."""

    def __init__(self):
        self.now_s = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._added = 0

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run a call after a delay."""
        self._added += 1
        heapq.heappush(self._calls, (self.now_s + delay_s, self._added, call))

    def run_until(self, end_s: float) -> None:
        """Run all calls that are due up to a moment."""
        while self._calls and self._calls[0][0] <= end_s:
            self.now_s, _, call = heapq.heappop(self._calls)
            call()
        self.now_s = end_s
