"""Circuit breakers that stop requests to failing endpoints."""

from __future__ import annotations

import attrs

__all__ = ["CircuitBreaker", "CircuitBreakers"]

FAILURES_TO_OPEN = 3
"""Consecutive failures at which a breaker opens."""

OPEN_S = 1.0
"""Time for which an open breaker blocks requests; later ones probe the endpoint."""


@attrs.define(kw_only=True)
class CircuitBreaker:
    """Counts the consecutive failures of one endpoint."""

    failures: int = 0
    """Failures since the last success."""

    opened_at_s: float | None = None
    """Monotonic time at which the breaker opened, None while closed."""

    def record_success(self) -> None:
        """Close the breaker."""
        self.failures = 0
        self.opened_at_s = None

    def record_failure(self, now_s: float) -> None:
        """Count a failure, and open the breaker at the threshold."""
        self.failures += 1
        if self.failures >= FAILURES_TO_OPEN:
            self.opened_at_s = now_s


class CircuitBreakers:
    """Circuit breakers by endpoint."""

    def __init__(self):
        self._breakers_by_endpoint_id: dict[str, CircuitBreaker] = {}

    def of(self, endpoint_id: str) -> CircuitBreaker:
        """Return the breaker of an endpoint."""
        return self._breakers_by_endpoint_id.setdefault(endpoint_id, CircuitBreaker())

    def open_ids(self, now_s: float) -> frozenset[str]:
        """Return the endpoints whose breaker is open."""
        return frozenset(
            endpoint_id
            for endpoint_id, breaker in self._breakers_by_endpoint_id.items()
            if breaker.opened_at_s is not None and now_s - breaker.opened_at_s < OPEN_S
        )
