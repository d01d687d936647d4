"""Refusals of requests that are not placed, each with a time to come back."""

from __future__ import annotations

from crocuswick.errors import Refusal

__all__ = ["RETRY_AFTER_S", "no_replica", "overloaded"]

MIN_RETRY_AFTER_S = 0.3
"""Shortest time to come back; within less an engine's queue hardly changes."""

RETRY_AFTER_S = 1.0
"""Retry-After where nothing is known of when a replica is back."""


def overloaded(expected_ms: float, excess_ms: float) -> Refusal:
    """Return the refusal of a request whose wait would be too long.

    Args:
        expected_ms: Expected time to its first event.
        excess_ms: Part of it that is too long.
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
        detail: Why.
        retry_after_s: Time after which one is expected to, None where not known.
    """
    return Refusal(
        status=503,
        title="no-replica",
        detail=f"The request was not run: {detail}.",
        step="place",
        retry_after_s=retry_after_s or RETRY_AFTER_S,
    )
