"""Budget that limits retries to a fraction of a node's requests."""

from __future__ import annotations

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allows retries in proportion to the number of requests.

    Args:
        ratio: Retries added to the budget by each request.
        reserve: Initial budget, which is also its upper bound.
    """

    def __init__(self, *, ratio: float = 0.2, reserve: float = 20.0):
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

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
