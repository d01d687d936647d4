"""Time limits of requests that arrive, without a clock of their own."""

from __future__ import annotations

import enum

import attrs

__all__ = ["Phase", "Progress", "TimeLimits"]

WINDOW_S = 0.5
"""Duration of the windows over which a request's rate is measured."""


class Phase(enum.StrEnum):
    """What a connection waits for."""

    NEW = "new"
    """The first byte of its first request."""

    HEAD = "head"
    BODY = "body"
    SERVED = "served"
    """Nothing: a worker serves a request."""

    IDLE = "idle"
    """The first byte of its next request."""

    SENDING = "sending"
    """Its caller, to read the rest of an answer."""

    CLOSING = "closing"
    """Its answer was sent; unread bytes are discarded until the caller closes."""


@attrs.frozen(kw_only=True)
class TimeLimits:
    """Time limits of a request."""

    first_byte_s: float
    head_s: float
    """Time for a head to arrive, from its first byte."""

    body_idle_s: float
    """Time in which a body, or the sending of an answer, must progress by
    `min_body_rate`."""

    closing_s: float
    min_body_rate: float
    """Bytes a second, on average over `body_idle_s`."""

    def of(self, phase: Phase) -> float:
        """Return the time limit of a phase."""
        if phase is Phase.NEW:
            return self.first_byte_s
        if phase in (Phase.BODY, Phase.SENDING):
            return self.body_idle_s
        return self.closing_s if phase is Phase.CLOSING else self.head_s


class Progress:
    """What has arrived of a request, and when.

    Args:
        now_s: Monotonic time.
    """

    def __init__(self, now_s: float):
        self.phase = Phase.NEW
        self.held_bytes = 0
        """Bytes that the request holds."""

        self._received_bytes = 0
        self._marked_s = now_s
        self._marked_bytes = 0
        self._window = 0
        self._window_bytes = 0
        self._earlier_bytes = 0
        self._began_s = now_s

    def enter(self, phase: Phase, now_s: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self._mark(now_s)

    def add(self, size_bytes: int, now_s: float) -> None:
        """Count received bytes, or sent ones of an answer."""
        self._received_bytes += size_bytes
        self._turn(now_s)
        self._window_bytes += size_bytes

    def rate(self, now_s: float) -> float:
        """Return the bytes a second that arrived in the last one or two windows."""
        self._turn(now_s)
        elapsed_s = now_s % WINDOW_S + WINDOW_S
        return (self._window_bytes + self._earlier_bytes) / elapsed_s

    def age_s(self, now_s: float) -> float:
        """Return the time since the connection or its request began."""
        return now_s - self._began_s

    def begin_request(self, now_s: float) -> None:
        """Begin the next request of the connection."""
        self._began_s = now_s
        self.enter(Phase.HEAD, now_s)

    def is_overdue(self, limits: TimeLimits, now_s: float) -> bool:
        """Return whether the time limit of the phase is exceeded."""
        since_s = now_s - self._marked_s
        if since_s < limits.of(self.phase):
            return False
        least_bytes = limits.min_body_rate * since_s
        if (
            self.phase not in (Phase.BODY, Phase.SENDING)
            or self._received_bytes - self._marked_bytes < least_bytes
        ):
            return True
        self._mark(now_s)
        return False

    def _mark(self, now_s: float) -> None:
        self._marked_s = now_s
        self._marked_bytes = self._received_bytes

    def _turn(self, now_s: float) -> None:
        window = int(now_s / WINDOW_S)
        if window == self._window:
            return
        is_next = window == self._window + 1
        self._earlier_bytes = self._window_bytes if is_next else 0
        self._window_bytes = 0
        self._window = window
