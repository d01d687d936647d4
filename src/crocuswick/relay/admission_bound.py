"""How long a request may be expected to wait before it is refused instead."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from crocuswick.relay.relay_request import RoutedRequest

__all__ = ["longest_wait_ms"]

FIRST_WAIT_FACTOR = 1.3
"""Response-time goals that a request may wait. Whoever waits much longer is late in
any case, and makes those behind it late too."""

QUEUE_WAIT_FACTOR = 0.5
"""Response-time goals that a request may wait for others, whatever its own size."""

RETRY_WAIT_SHARE = 0.5
"""Part of the time left that a caller who has come back may wait."""

RETRY_BUDGET_SHARE = 0.95
"""Part of the route's time below which a caller has spent some of it before."""


def longest_wait_ms(request: RoutedRequest, service_ms: float, now_s: float) -> float:
    """Return the longest time to the first event for which a request is taken.

    Args:
        request: The request.
        own_ms: Time that its own prompt takes. However long that is, the request may
            wait a part of its goal for others, so that large prompts don't starve.
        now_s: Monotonic time.
    """
    remaining_ms = (request.deadline_s - now_s) * 1000
    target_ms = request.route.target_latency_ms
    limit_ms = max(
        FIRST_WAIT_FACTOR * target_ms, service_ms + QUEUE_WAIT_FACTOR * target_ms
    )
    if _is_caller_retry(request):
        limit_ms = max(limit_ms, RETRY_WAIT_SHARE * remaining_ms)
    return min(limit_ms, remaining_ms)


def _is_caller_retry(request: RoutedRequest) -> bool:
    budget_ms = request.caller.time_budget_ms
    if budget_ms is None:
        return False
    return budget_ms < RETRY_BUDGET_SHARE * request.route.timeout_ms
