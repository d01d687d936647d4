"""Limit on the expected wait of a request; beyond it the request is refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from crocuswick.relay.relay_request import RoutedRequest

__all__ = ["is_caller_retry", "longest_wait_ms"]

MAX_WAIT_FACTOR = 1.3
"""Multiple of the target latency that a request may wait. One that waits much longer is
late in any case and delays those behind it."""

QUEUE_WAIT_FACTOR = 0.5
"""Multiple of the target latency for which a request of any size may wait behind other
requests."""

RETRY_WAIT_SHARE = 0.5
"""Share of the remaining time that a retry by the caller may wait; a request that was
refused before is accepted more readily, so that it isn't retried endlessly."""

FULL_BUDGET_SHARE = 0.95
"""Share of the route's time limit. A time budget below it indicates a retry by the
caller, who has already spent part of the time."""


def longest_wait_ms(request: RoutedRequest, service_ms: float, now_s: float) -> float:
    """Return the limit on the expected time to a request's first event.

    A request with a longer expected time is refused, unless it was attempted before.

    Args:
        request: The request.
        service_ms: Expected time to transfer and prefill its own prompt. However long
            that is, the request may also wait behind others for part of the target
            latency, so that large prompts don't starve.
        now_s: Monotonic time.
    """
    remaining_ms = (request.deadline_s - now_s) * 1000
    target_ms = request.route.target_latency_ms
    limit_ms = max(
        MAX_WAIT_FACTOR * target_ms, service_ms + QUEUE_WAIT_FACTOR * target_ms
    )
    if is_caller_retry(request):
        limit_ms = max(limit_ms, RETRY_WAIT_SHARE * remaining_ms)
    return min(limit_ms, remaining_ms)


def is_caller_retry(request: RoutedRequest) -> bool:
    """Return whether a caller repeats a request that was refused before."""
    budget_ms = request.caller.time_budget_ms
    if budget_ms is None:
        return False
    return budget_ms < FULL_BUDGET_SHARE * request.route.timeout_ms
