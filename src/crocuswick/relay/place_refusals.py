"""Refusals of requests that could not be placed, with the time for a retry."""

from __future__ import annotations

from crocuswick.errors import Refusal

__all__ = [
    "RETRY_AFTER_S",
    "budget_spent",
    "no_replica",
    "no_room",
    "overloaded",
]

MIN_RETRY_AFTER_S = 0.3
"""Shortest Retry-After; an engine's queue hardly changes in less time."""

RETRY_AFTER_S = 1.0
"""Retry-After if it is unknown when a replica becomes available."""


def overloaded(expected_ms: float, excess_ms: float) -> Refusal:
    """Return the refusal of a request whose expected wait is too long.

    Args:
        expected_ms: Expected time to its first event.
        excess_ms: Time by which that exceeds the limit.
    """
    return Refusal(
        status=503,
        title="overloaded",
        detail=(
            "The request was not run: its first event is expected after "
            f"{expected_ms:.0f} ms."
        ),
        step="place",
        retry_after_s=max(MIN_RETRY_AFTER_S, excess_ms / 1000),
    )


def no_replica(detail: str, retry_after_s: float | None) -> Refusal:
    """Return the refusal of a request that no replica can take.

    Args:
        detail: Reason, as part of a sentence.
        retry_after_s: Time until a replica is expected to be available, None if
            unknown.
    """
    return Refusal(
        status=503,
        title="no-replica",
        detail=f"The request was not run: {detail}.",
        step="place",
        retry_after_s=retry_after_s or RETRY_AFTER_S,
    )


def no_room(cause: str, wait_s: float, retry_after_s: float) -> Refusal:
    """Return the refusal of a request that there is no room for under load.

    Args:
        cause: Why it does not wait.
        wait_s: Expected time until there is room.
        retry_after_s: Time after which a repeat has a chance.
    """
    return Refusal(
        status=503,
        title="overloaded",
        detail=(
            f"The request was not run: {cause}; there is room in {wait_s:.1f} s at the"
            " earliest."
        ),
        step="place",
        retry_after_s=retry_after_s,
    )


def budget_spent(state: str) -> Refusal:
    """Return the refusal of a retry beyond this node's share of the fleet's retries.

    Args:
        state: State of the retry budget, for the log.
    """
    return no_replica(f"the retry budget is spent ({state})", RETRY_AFTER_S)
