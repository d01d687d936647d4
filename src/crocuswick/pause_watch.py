"""Detection of times in which this process did not run."""

from __future__ import annotations

__all__ = ["PauseWatch"]

MIN_PAUSE_S = 0.5
"""Time between two ticks from which the process counts as paused."""

CATCH_UP_S = 2.0
"""Time after a pause within which what others wrote during it is read."""


class PauseWatch:
    """Remembers when this process last stood still: frozen, stopped or without a CPU.

    All times are from a clock that also advances while the machine is suspended.

    Args:
        now_s: Time of the creation.
    """

    def __init__(self, now_s: float):
        self._last_tick_s = now_s
        self._pause_began_s = float("-inf")
        self._pause_ended_s = float("-inf")

    def tick(self, now_s: float) -> None:
        """Record that the process runs; call this several times in `MIN_PAUSE_S`."""
        if now_s - self._last_tick_s >= MIN_PAUSE_S:
            # Another pause within the time to catch up may hide what the first one hid.
            if self._last_tick_s - self._pause_ended_s > CATCH_UP_S:
                self._pause_began_s = self._last_tick_s
            self._pause_ended_s = now_s
        self._last_tick_s = now_s

    def unseen_s(self, now_s: float) -> float:
        """Return how long ago something may have happened that is noticed only now."""
        self.tick(now_s)
        if now_s - self._pause_ended_s > CATCH_UP_S:
            return 0.0
        return now_s - self._pause_began_s
