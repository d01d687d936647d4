"""When a node takes the right to order from a holder that gives no orders."""

from __future__ import annotations

from crocuswick.growing_pause import growing_pause_s

__all__ = ["TAKE_OVER_STEP_S", "OrderTurn"]

TAKE_OVER_STEP_S = 0.8
"""Time without a word of the holder after which the next node in rank takes over.
The holder speaks every `LEASE_ANNOUNCE_INTERVAL_S` while engines are behind."""

STARTUP_WAIT_S = 1.5
"""Time in which a node that has started hears from its peers who holds the right."""

MAX_CLAIM_PAUSE_S = 4.0
"""Longest pause of a node that failed to take the right."""


class OrderTurn:
    """Follows the holder's signs of life while engines are behind.

    Args:
        started_s: Time at which this node started.
    """

    def __init__(self, *, started_s: float):
        self._waits_until_s = started_s + STARTUP_WAIT_S
        self._silent_since_s: float | None = None
        self._failures = 0

    def engines_outdated(self, now_s: float) -> None:
        """Note that engines serve older weights than named."""
        if self._silent_since_s is None:
            self._silent_since_s = now_s

    def engines_current(self) -> None:
        """Note that all engines serve what was named."""
        self._silent_since_s = None
        self._failures = 0

    def holder_seen(self, now_s: float, *, next_in_s: float) -> None:
        """Note a sign of life of another holder.

        Args:
            now_s: Time.
            next_in_s: Time before its next order.
        """
        self._failures = 0
        # Even the first in rank waits for the holder's next word.
        self._silent_since_s = now_s + next_in_s + TAKE_OVER_STEP_S

    def holder_released(self, now_s: float) -> None:
        """Note that there is no holder any more; the first in rank goes at once."""
        if self._silent_since_s is not None:
            self._silent_since_s = min(self._silent_since_s, now_s)

    def claim_failed(self, now_s: float) -> None:
        """Note that the right could not be taken or renewed.

        The node lets all others try before it does so again.
        """
        self._failures += 1
        pause_s = growing_pause_s(
            self._failures, first_s=TAKE_OVER_STEP_S, longest_s=MAX_CLAIM_PAUSE_S
        )
        self._silent_since_s = now_s + pause_s

    def is_own_turn(self, now_s: float, *, rank: int, holds_lease: bool) -> bool:
        """Whether this node is to give the orders now.

        Args:
            now_s: Time.
            rank: Its place among the live nodes, 0 for the first.
            holds_lease: Whether it holds the right as far as it knows.
        """
        if holds_lease:
            return True
        if self._silent_since_s is None or now_s < self._waits_until_s:
            return False
        return now_s - self._silent_since_s >= TAKE_OVER_STEP_S * rank
