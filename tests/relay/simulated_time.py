"""Simulated time for models of a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SimulatedTime"]


class SimulatedTime:
    """Runs actions in the order of their times, each of which may add others."""

    def __init__(self):
        self._events: list[tuple[float, Callable[[float], None]]] = []

    def at(self, time_s: float, action: Callable[[float], None]) -> None:
        """Add an action, which is called with its time."""
        self._events.append((time_s, action))

    def run(self) -> None:
        """Run until no action is left."""
        while self._events:
            self._events.sort(key=lambda event: event[0])
            now_s, action = self._events.pop(0)
            action(now_s)
