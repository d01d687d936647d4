"""Virtual time for discrete-event simulations."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["VirtualClock"]


class VirtualClock:
    """Runs scheduled callbacks in order of their due time, without waiting."""

    def __init__(self):
        self.now_s = 0.0
        self._callbacks: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled_count = 0

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self._scheduled_count += 1
        heapq.heappush(
            self._callbacks, (self.now_s + delay_s, self._scheduled_count, callback)
        )

    def run_until(self, end_s: float) -> None:
        """Run all callbacks that are due up to a time, and advance the clock to it."""
        while self._callbacks and self._callbacks[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._callbacks)
            callback()
        self.now_s = end_s
