"""A node's share of the retries that the fleet may send to a service."""

from __future__ import annotations

from collections import deque

import attrs

__all__ = ["RetryBounds", "WindowedRetryBudget"]

BURST_SHARE = 0.6
"""Share of the retries of a window that may be sent at once."""

STEADY_SHARE = 0.3
"""Share of them that becomes available in the course of a window. Together with
`BURST_SHARE` less than 1: a retry arrives some time after it was taken."""

RESERVED_SHARE = 0.2
"""Share of the burst that only requests that may have run can use. Their callers can't
be told to come again, unlike those of requests that a replica rejected."""


@attrs.frozen(kw_only=True)
class RetryBounds:
    """This node's share of the bounds on retries to a service."""

    ratio: float
    """Retries allowed per request."""

    allowance: float
    """Retries allowed in addition to the ratio."""

    window_s: float
    """Length of the sliding window in which requests and retries are counted."""


class WindowedRetryBudget:
    """Limits the retries of a fleet in every window, without communication.

    Retries become available as requests arrive, up to a limit that follows the requests
    of the last window. In any window a node takes at most what was available at its
    begin and what became available since. Both are bounded by requests of the same two
    windows at all nodes, so that the sum over the nodes is bounded as well. A limit on
    the retries of each node's own last window would not add up: the nodes reach their
    highest counts at different times.

    Args:
        bounds: Bounds on retries.
        started_s: Monotonic time.
        is_full: Whether the retries of a burst are available at the start. A node that
            starts again must not assume so: it has forgotten what it sent before.
    """

    def __init__(self, *, bounds: RetryBounds, started_s: float, is_full: bool = False):
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._available = self._limit if is_full else 0.0
        self._updated_s = started_s

    def set_bounds(self, bounds: RetryBounds) -> None:
        """Apply other bounds; the counts are kept."""
        self._bounds = bounds

    def record_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._available += STEADY_SHARE * self._bounds.ratio
        self._update(now_s)

    def can_take(self, now_s: float, *, is_rejected: bool = False) -> bool:
        """Whether another retry is allowed.

        Args:
            now_s: Monotonic time.
            is_rejected: Whether replicas have rejected the request and none may have
                run it.
        """
        self._update(now_s)
        reserved = RESERVED_SHARE * (self._limit - 1.0) if is_rejected else 0.0
        return self._available >= 1.0 + max(0.0, reserved)

    def take(self, now_s: float, *, is_rejected: bool = False) -> bool:
        """Spend one retry.

        Args:
            now_s: Monotonic time.
            is_rejected: As for `can_take`.

        Returns:
            False if none is left.
        """
        if not self.can_take(now_s, is_rejected=is_rejected):
            return False
        self._available -= 1.0
        return True

    def state(self, now_s: float) -> str:
        """Return what is available, for the log."""
        self._update(now_s)
        return (
            f"{self._available:.1f} of {self._limit:.1f} available after "
            f"{len(self._requests)} requests in {self._bounds.window_s:g} s"
        )

    @property
    def _limit(self) -> float:
        """Retries that may be available at most."""
        expected = self._bounds.ratio * len(self._requests) + self._bounds.allowance
        return BURST_SHARE * expected

    def _update(self, now_s: float) -> None:
        while self._requests and self._requests[0] < now_s - self._bounds.window_s:
            self._requests.popleft()
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s += elapsed_s
        steady = STEADY_SHARE * self._bounds.allowance / self._bounds.window_s
        self._available = min(self._limit, self._available + steady * elapsed_s)
