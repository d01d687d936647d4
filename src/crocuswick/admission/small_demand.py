"""Estimate of the small requests of peers, about which nodes do not notify each other."""

from __future__ import annotations

import math

from crocuswick.admission.engine_room import PeerEstimate

__all__ = ["SmallDemand"]

PRIORITY_LEVELS = 10
"""Number of priorities that are distinguished."""

TIME_CONSTANT_S = 2.0
"""Time constant of the moving averages. A node of a large fleet has two or three small
requests outstanding; a shorter average would follow single requests."""


class SmallDemand:
    """Estimates the small requests of peers from this node's own.

    It assumes that callers distribute small requests evenly over the nodes. The
    estimates of different nodes differ by chance, so that nodes don't all reach the same
    conclusion at once.
    """

    def __init__(self):
        self._outstanding = [0] * PRIORITY_LEVELS
        self._means = [0.0] * PRIORITY_LEVELS
        self._tokens = 0
        self._mean_tokens = 0.0
        self._updated_s: float | None = None

    def begin(self, priority: int, tokens: int, now_s: float) -> None:
        """Record the start of a small request of this node."""
        self._advance(now_s)
        self._outstanding[priority] += 1
        self._tokens += tokens

    def end(self, priority: int, tokens: int, now_s: float) -> None:
        """Record its end."""
        self._advance(now_s)
        self._outstanding[priority] -= 1
        self._tokens -= tokens

    def of_peers(
        self, *, priority: int, nodes: int, replicas: int, now_s: float
    ) -> PeerEstimate:
        """Return what peers are expected to have outstanding at one replica.

        Args:
            priority: Requests of this or a higher priority count as urgent.
            nodes: Number of nodes, this one included.
            replicas: Number of replicas that share the load.
            now_s: Monotonic time.
        """
        self._advance(now_s)
        factor = max(0, nodes - 1) / max(1, replicas)
        own_factor = 1 / max(1, replicas)
        urgent = sum(self._means[: priority + 1])
        return PeerEstimate(
            requests=factor * sum(self._means),
            urgent_requests=(factor + own_factor) * urgent,
            tokens=factor * self._mean_tokens,
        )

    def _advance(self, now_s: float) -> None:
        if self._updated_s is None:
            self._updated_s = now_s
        weight = 1 - math.exp(-max(0.0, now_s - self._updated_s) / TIME_CONSTANT_S)
        self._updated_s = now_s
        for priority, count in enumerate(self._outstanding):
            self._means[priority] += weight * (count - self._means[priority])
        self._mean_tokens += weight * (self._tokens - self._mean_tokens)
