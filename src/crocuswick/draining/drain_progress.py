"""Decides when a draining node closes its port and when it exits."""

from __future__ import annotations

import enum

__all__ = ["ACCEPT_DURATION_S", "CLOSE_DURATION_S", "DrainProgress", "DrainStep"]

ACCEPT_DURATION_S = 2.3
"""Time for which a draining node still accepts connections. It covers two readiness
checks, one second apart, and connections that are already being established."""

UNANNOUNCED_DURATION_S = 3.0
"""Time for which callers may not know of the stop: two readiness checks, one second apart,
and the second for which they wait for a connection."""

CLOSE_DURATION_S = 0.8
"""Minimum time between closing the port and exiting, in which idle connections are
closed; they are checked every half second. Exiting sooner would cut off requests that
callers send on them."""

IDLE_DURATION_S = 0.1
"""Time without a request in flight before a node exits; a request that has arrived is
read within some milliseconds."""

GRACE_MARGIN_S = 0.3
"""Time before the end of the grace period at which a node exits in any case."""

ANSWERS_MARGIN_S = 0.3
"""Time before that exit by which all answers must have been sent. Attempts are aborted
then, and their callers told."""


class DrainStep(enum.Enum):
    """The next action of a draining node."""

    SERVE = enum.auto()
    """Continue to serve open connections."""

    STOP_ACCEPTING = enum.auto()
    """Close the port and the idle connections."""

    EXIT = enum.auto()
    """Exit the process immediately."""


class DrainProgress:
    """Tracks the progress of one drain.

    Args:
        started_s: Monotonic time at which the drain began.
        grace_s: Time after which the process is killed.
    """

    def __init__(self, *, started_s: float, grace_s: float):
        self._started_s = started_s
        self._deadline_s = started_s + grace_s - GRACE_MARGIN_S
        self._stopped_accepting_s: float | None = None
        self._last_busy_s = started_s

    @property
    def answers_end_s(self) -> float:
        """Monotonic time by which all answers must have been sent."""
        return self._deadline_s - ANSWERS_MARGIN_S

    @property
    def accepts_until_s(self) -> float:
        """Monotonic time until which connections are accepted."""
        return self._started_s + ACCEPT_DURATION_S

    @property
    def unannounced_until_s(self) -> float:
        """Monotonic time until which callers may not know of the stop."""
        return self._started_s + UNANNOUNCED_DURATION_S

    def step(self, now_s: float, *, in_flight: int) -> DrainStep:
        """Return the action to take now.

        Args:
            now_s: Monotonic time.
            in_flight: Number of requests in flight.
        """
        if in_flight:
            self._last_busy_s = now_s
        if now_s >= self._deadline_s:
            return DrainStep.EXIT
        if self._stopped_accepting_s is None:
            if now_s < self.accepts_until_s:
                return DrainStep.SERVE
            self._stopped_accepting_s = now_s
            return DrainStep.STOP_ACCEPTING
        is_closed = now_s - self._stopped_accepting_s >= CLOSE_DURATION_S
        is_idle = now_s - self._last_busy_s >= IDLE_DURATION_S
        return DrainStep.EXIT if is_closed and is_idle else DrainStep.SERVE
