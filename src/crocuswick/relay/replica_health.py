"""Health of a replica, derived from the results of this node's attempts."""

from __future__ import annotations

import enum

import attrs

from crocuswick.backoff import backoff_s

__all__ = ["AttemptResult", "ReplicaHealth"]

FIRST_PAUSE_S = 0.3
"""First pause after a failed connection; a crashed replica restarts within seconds."""

MAX_PAUSE_S = 2.0
"""Longest pause, short enough to find a restarted replica soon."""

RESULT_DECAY_S = 4.0
"""Time in which the weight of a result decays to about a third."""

BUSY_PAUSE_S = 0.15
"""Pause after a replica reported that it is full or serves other weights."""

MIN_WEIGHT = 3.0
"""Total weight of results, each of which decays with age, below which the failure share
counts as 0."""


class AttemptResult(enum.Enum):
    """Result of an attempt at a replica."""

    ANSWERED = enum.auto()
    """The replica answered."""

    FAILED = enum.auto()
    """The replica failed the request, or its answer was truncated or invalid."""

    SILENT = enum.auto()
    """The attempt timed out."""

    UNREACHABLE = enum.auto()
    """The connection could not be opened."""

    BUSY = enum.auto()
    """The replica did not run the request because it was full."""

    MISDIRECTED = enum.auto()
    """Another replica answered at the address."""

    OTHER_WEIGHTS = enum.auto()
    """The replica serves other weights than expected."""

    NOT_SENT = enum.auto()
    """The replica stopped taking requests before this one was sent."""

    CANCELLED = enum.auto()
    """The caller disconnected, which says nothing about the replica."""


@attrs.define(kw_only=True)
class ReplicaHealth:
    """Recent attempt results of one incarnation of a replica."""

    _successes: float = 0.0
    _failures: float = 0.0
    _updated_s: float = 0.0
    _consecutive_unreachable: int = 0
    _paused_until_s: float = 0.0
    _unwanted_until_s: float = 0.0
    """Until when the replica wants no requests from this node."""

    def record(self, result: AttemptResult, now_s: float) -> None:
        """Record the result of an attempt."""
        self._decay(now_s)
        if result is AttemptResult.ANSWERED:
            self._successes += 1.0
            self._consecutive_unreachable = 0
            self._paused_until_s = 0.0
        elif result in (AttemptResult.FAILED, AttemptResult.SILENT):
            self._failures += 1.0
        elif result in (AttemptResult.UNREACHABLE, AttemptResult.MISDIRECTED):
            self._failures += 1.0
            self._pause(now_s)
        elif result in (AttemptResult.BUSY, AttemptResult.OTHER_WEIGHTS):
            self._paused_until_s = max(self._paused_until_s, now_s + BUSY_PAUSE_S)

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record that the replica wants no requests from this node for a while.

        Unlike other pauses, it isn't ended by a later answer.
        """
        self._unwanted_until_s = max(self._unwanted_until_s, now_s + pause_s)

    def paused_for_s(self, now_s: float) -> float:
        """Return the time until the replica is tried again."""
        return max(0.0, self._paused_until_s - now_s, self.unwanted_for_s(now_s))

    def unwanted_for_s(self, now_s: float) -> float:
        """Return the time for which the replica wants no requests from this node."""
        return max(0.0, self._unwanted_until_s - now_s)

    def failure_share(self, now_s: float) -> float:
        """Return the share of recent results that were failures, 0 to 1."""
        if not self._failures:
            return 0.0
        self._decay(now_s)
        total = self._successes + self._failures
        if total < MIN_WEIGHT:
            return 0.0
        return self._failures / total

    def _pause(self, now_s: float) -> None:
        pause_s = backoff_s(
            self._consecutive_unreachable,
            initial_s=FIRST_PAUSE_S,
            max_s=MAX_PAUSE_S,
        )
        self._consecutive_unreachable += 1
        self._paused_until_s = now_s + pause_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        # 0.5 ** (1 / 0.63) is about a third.
        factor = 0.5 ** (elapsed_s / (RESULT_DECAY_S * 0.63))
        self._successes *= factor
        self._failures *= factor
        self._updated_s = now_s
