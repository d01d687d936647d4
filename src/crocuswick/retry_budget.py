"""Budget that limits retries to a fraction of a node's requests."""

from __future__ import annotations

__all__ = ["FLEET_RESERVE", "RetryBudget"]

FLEET_RESERVE = 140.0
"""Retries that a fleet may send at once in addition to the ratio, divided among its
nodes."""

MAX_NODE_RESERVE = 20.0
MIN_NODE_RESERVE = 1.0
"""Smallest share of a node, because no retry would be possible with less."""


class RetryBudget:
    """Allows retries in proportion to the number of requests.

    Args:
        ratio: Retries added to the budget by each request.
        reserve: Initial budget, which is also its upper bound.
    """

    def __init__(self, *, ratio: float = 0.2, reserve: float = MAX_NODE_RESERVE):
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    def set_fleet_nodes(self, nodes: int) -> None:
        """Limit the reserve to this node's share of the fleet's."""
        share = max(MIN_NODE_RESERVE, FLEET_RESERVE / max(1, nodes))
        self._reserve = min(MAX_NODE_RESERVE, share)
        self._balance = min(self._balance, self._reserve)

    def record_request(self) -> None:
        """Add one request's fraction of a retry to the budget."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def take(self) -> bool:
        """Take one retry from the budget.

        Returns:
            False if the budget is exhausted.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
