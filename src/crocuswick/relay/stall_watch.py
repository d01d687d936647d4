"""Detection of stalled attempts, which are aborted and retried."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from crocuswick.draining import AnswerDeadline

__all__ = ["CHECK_INTERVAL_S", "StallWatch", "WatchedAttempt"]

CHECK_INTERVAL_S = 0.1
"""Interval at which `StallWatch.check` is to be called."""

IDLE_RETENTION_S = 60.0
"""Time without activity after which the state of a replica is discarded."""

RESERVATION_INTERVAL_S = 0.3
"""Interval at which a retry is requested for a stalled attempt that could not be
retried."""

STALL_THRESHOLD_S = 0.6
"""Silence on all requests after which a replica counts as stalled; a busy engine sends
an event every few tens of milliseconds."""


@attrs.define(kw_only=True, eq=False)
class WatchedAttempt:
    """An attempt that may be aborted and retried."""

    incarnation: str
    abort: Callable[[], None]
    soft_limit_s: float = float("inf")
    """Longest silence of the attempt if the whole replica is silent."""

    hard_limit_s: float = float("inf")
    """Longest silence of the attempt in any case."""

    reserve_retry: Callable[[], bool] | None = None
    """Reserves a retry, or confirms the one that is reserved. While it returns False,
    the attempt goes on. None if the request may not be retried."""

    deadline_s: float = float("inf")
    """Monotonic time at which the attempt is aborted in any case. A read waits for the
    next byte only, so that it would not notice the end of its time."""

    is_overdue: bool = False
    """Whether it was aborted for that reason."""

    last_activity_s: float = attrs.Factory(time.monotonic)
    begun_s: float = attrs.Factory(time.monotonic)
    next_reservation_s: float = float("-inf")
    """Monotonic time before which `reserve_retry` is not called again."""

    is_stalled: bool = False
    stall_reason: str = ""
    """Limit that was exceeded and the silence of the attempt and of its replica, empty
    unless `is_stalled`."""

    @property
    def may_retry(self) -> bool:
        """Whether the attempt is aborted and retried if it stalls."""
        return self.reserve_retry is not None

    def silent_s(self, now_s: float) -> float:
        """Return the time since the last data of this attempt."""
        return now_s - self.last_activity_s


class StallWatch:
    """Watches the attempts of one node and aborts stalled ones.

    Args:
        answer_deadline: Time by which all answers must have been sent.
    """

    def __init__(self, answer_deadline: AnswerDeadline):
        self._answer_deadline = answer_deadline
        self._attempts: set[WatchedAttempt] = set()
        self._last_activity_s_by_incarnation: dict[str, float] = {}
        self._lock = threading.Lock()

    def begin(self, attempt: WatchedAttempt) -> None:
        """Watch an attempt until `end` is called."""
        with self._lock:
            self._attempts.add(attempt)

    def end(self, attempt: WatchedAttempt) -> None:
        """Stop watching an attempt."""
        with self._lock:
            self._attempts.discard(attempt)

    def record_activity(self, incarnation: str, attempt: WatchedAttempt | None) -> None:
        """Record that data arrived from a replica.

        Args:
            incarnation: Incarnation of the replica.
            attempt: The attempt that received the data, None if it is not watched.
        """
        now_s = time.monotonic()
        self._last_activity_s_by_incarnation[incarnation] = now_s
        if attempt is not None:
            attempt.last_activity_s = now_s

    def check(self, now_s: float) -> None:
        """Abort the attempts that have been silent for too long and can be retried."""
        with self._lock:
            attempts = list(self._attempts)
        for attempt in attempts:
            if now_s >= self._answer_deadline.limit(attempt.deadline_s):
                self._abort_overdue(attempt)
                continue
            reason = self._stall_reason(attempt, now_s)
            if not reason or now_s < attempt.next_reservation_s:
                continue
            attempt.next_reservation_s = now_s + RESERVATION_INTERVAL_S
            # Data may arrive, or the attempt end, while its retry is being reserved.
            if attempt.reserve_retry() and self._stall_reason(attempt, now_s):
                self._abort(attempt, reason)
        self._drop_idle(now_s)

    def _abort_overdue(self, attempt: WatchedAttempt) -> None:
        with self._lock:
            if attempt not in self._attempts:
                return
            self._attempts.discard(attempt)
        attempt.is_overdue = True
        attempt.abort()

    def _abort(self, attempt: WatchedAttempt, reason: str) -> None:
        with self._lock:
            if attempt not in self._attempts:
                return
            self._attempts.discard(attempt)
        attempt.is_stalled = True
        attempt.stall_reason = reason
        attempt.abort()

    def _stall_reason(self, attempt: WatchedAttempt, now_s: float) -> str:
        """Return why an attempt counts as stalled, empty if it doesn't."""
        silent_s = attempt.silent_s(now_s)
        # A replica that had no request of this node before the attempt was idle, not
        # silent.
        last_activity_s = max(
            attempt.begun_s,
            self._last_activity_s_by_incarnation.get(attempt.incarnation, 0.0),
        )
        replica_silent_s = now_s - last_activity_s
        if silent_s > attempt.hard_limit_s:
            limit = "hard"
        elif silent_s > attempt.soft_limit_s and replica_silent_s > STALL_THRESHOLD_S:
            limit = "soft"
        else:
            return ""
        return (
            f"{limit} limit: silent for {silent_s * 1000:.0f} ms, "
            f"its replica for {replica_silent_s * 1000:.0f} ms"
        )

    def _drop_idle(self, now_s: float) -> None:
        idle = [
            incarnation
            for incarnation, last_activity_s in list(
                self._last_activity_s_by_incarnation.items()
            )
            if now_s - last_activity_s > IDLE_RETENTION_S
        ]
        for incarnation in idle:
            self._last_activity_s_by_incarnation.pop(incarnation, None)
