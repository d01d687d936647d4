"""Decides when a node takes over the order lease from an inactive holder."""

from __future__ import annotations

from crocuswick.backoff import backoff_s

__all__ = ["TAKE_OVER_STEP_S", "LeaseTakeover"]

TAKE_OVER_STEP_S = 0.8
"""Time without a message from the holder after which the next node in rank takes over.
The holder sends one every `LEASE_ANNOUNCE_INTERVAL_S` while engines are outdated."""

STARTUP_WAIT_S = 1.5
"""Time after its start for which a node waits to be notified of the lease holder."""

MAX_CLAIM_PAUSE_S = 4.0
"""Longest pause after failed attempts to acquire or renew the lease."""


class LeaseTakeover:
    """Tracks the holder's activity while engines are outdated.

    Args:
        started_s: Time at which this node started.
    """

    def __init__(self, *, started_s: float):
        self._startup_ends_s = started_s + STARTUP_WAIT_S
        self._silent_since_s: float | None = None
        self._failures = 0

    def engines_outdated(self, now_s: float) -> None:
        """Record that engines serve older weights than the target version."""
        if self._silent_since_s is None:
            self._silent_since_s = now_s

    def engines_current(self) -> None:
        """Record that all engines serve the target version."""
        self._silent_since_s = None
        self._failures = 0

    def holder_seen(self, now_s: float, *, next_in_s: float) -> None:
        """Record a message from another holder.

        Args:
            now_s: Current time.
            next_in_s: Time until its next order.
        """
        self._failures = 0
        # Even the first node in rank waits for the holder's next message.
        self._silent_since_s = now_s + next_in_s + TAKE_OVER_STEP_S

    def holder_released(self, now_s: float) -> None:
        """Record that no node holds the lease: the first in rank may claim it now."""
        if self._silent_since_s is not None:
            self._silent_since_s = min(self._silent_since_s, now_s)

    def claim_failed(self, now_s: float) -> None:
        """Record that the lease could not be acquired or renewed.

        All other nodes get their turn before this one tries again.
        """
        self._failures += 1
        pause_s = backoff_s(
            self._failures, initial_s=TAKE_OVER_STEP_S, max_s=MAX_CLAIM_PAUSE_S
        )
        self._silent_since_s = now_s + pause_s

    def is_own_turn(self, now_s: float, *, rank: int, holds_lease: bool) -> bool:
        """Whether this node should send the orders now.

        Args:
            now_s: Current time.
            rank: Its rank among the live nodes, 0 for the first.
            holds_lease: Whether it holds the lease, as far as it knows.
        """
        if holds_lease:
            return True
        if self._silent_since_s is None or now_s < self._startup_ends_s:
            return False
        return now_s - self._silent_since_s >= TAKE_OVER_STEP_S * rank
