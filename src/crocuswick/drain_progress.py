"""Decides when a node that drains closes its port and when it ends."""

from __future__ import annotations

import enum

__all__ = ["ACCEPTING_S", "CLOSING_S", "DrainProgress", "DrainStep"]

ACCEPTING_S = 2.3
"""Time for which a draining node takes connections: two readiness checks, one second
apart, and a connection that was on its way."""

CLOSING_S = 0.8
"""Time in which idle connections are closed after the port: they are checked each half
second. Ending sooner would cut requests that callers send on them."""

IDLE_S = 0.1
"""Time without a request after which a node ends; one that has arrived is read within
some milliseconds."""

MARGIN_S = 0.6
"""Time before the end of the grace at which a node ends in any case."""


class DrainStep(enum.Enum):
    """What a draining node does now."""

    SERVE = enum.auto()
    """Go on with what is open."""

    STOP_ACCEPTING = enum.auto()
    """Close the port and idle connections."""

    END = enum.auto()
    """End the process at once."""


class DrainProgress:
    """Follows one drain.

    Args:
        started_s: Monotonic time at which it began.
        grace_s: Time after which the process is killed.
    """

    def __init__(self, *, started_s: float, grace_s: float):
        self._started_s = started_s
        self._latest_s = started_s + grace_s - MARGIN_S
        self._stopped_s: float | None = None
        self._busy_s = started_s

    def step(self, now_s: float, *, in_flight: int) -> DrainStep:
        """Return what to do now.

        Args:
            now_s: Monotonic time.
            in_flight: Requests under way.
        """
        if in_flight:
            self._busy_s = now_s
        if now_s >= self._latest_s:
            return DrainStep.END
        if self._stopped_s is None:
            if now_s - self._started_s < ACCEPTING_S:
                return DrainStep.SERVE
            self._stopped_s = now_s
            return DrainStep.STOP_ACCEPTING
        is_closed = now_s - self._stopped_s >= CLOSING_S
        is_idle = now_s - self._busy_s >= IDLE_S
        return DrainStep.END if is_closed and is_idle else DrainStep.SERVE
