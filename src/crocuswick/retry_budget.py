"""A budget that keeps retries to a fraction of the requests of a node."""

from __future__ import annotations

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allows retries in proportion to the requests seen.

    Args:
        ratio: Retries earned by each request.
        reserve: Retries available before any request was seen, and the
            upper bound of what can be saved up.
    """

    def __init__(self, *, ratio: float = 0.2, reserve: float = 20.0):
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    def record_request(self) -> None:
        """Earn the fraction of a retry that one request brings."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def take(self) -> bool:
        """Spend one retry.

        Returns:
            False when the budget is exhausted.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
