"""Refusal of requests that a node can't answer before it exits."""

from __future__ import annotations

from crocuswick.errors import Refusal

__all__ = ["draining_refusal"]

OTHER_NODE_RETRY_S = 0.05
"""Retry-After; other nodes take the request at once."""


def draining_refusal() -> Refusal:
    """Return the refusal of a request that a node can't complete before it exits."""
    return Refusal(
        status=503,
        title="draining",
        detail="The request was not run: this node shuts down; others are up.",
        step="admission",
        retry_after_s=OTHER_NODE_RETRY_S,
    )
