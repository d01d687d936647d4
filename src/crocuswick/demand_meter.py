"""Exponentially decayed rates of requests and tokens."""

from __future__ import annotations

import math

import attrs

__all__ = ["DemandMeter", "OrganisationDemand"]

TIME_CONSTANT_S = 3.0
"""Time in which the weight of a request decays to 1/e."""


@attrs.frozen(kw_only=True)
class OrganisationDemand:
    """Request and token rates of one organisation at a node or in a zone."""

    organisation: str
    """Organisation id."""

    requests_per_s: float
    """Requests per second, including refused ones."""

    tokens_per_s: float
    """Tokens per second, including those of refused requests."""

    def plus(self, other: OrganisationDemand) -> OrganisationDemand:
        """Return the sum of two demands of the same organisation."""
        return OrganisationDemand(
            organisation=self.organisation,
            requests_per_s=self.requests_per_s + other.requests_per_s,
            tokens_per_s=self.tokens_per_s + other.tokens_per_s,
        )


class DemandMeter:
    """Measures the decayed request and token rates of one organisation."""

    __slots__ = ("_counted_s", "_requests", "_tokens")

    def __init__(self):
        self._requests = 0.0
        self._tokens = 0.0
        self._counted_s = float("-inf")

    def add(self, tokens: int, *, now_s: float) -> None:
        """Count one request.

        Args:
            tokens: Tokens that the request asks for.
            now_s: Monotonic time.
        """
        decay = self._decay(now_s)
        self._requests = self._requests * decay + 1
        self._tokens = self._tokens * decay + tokens
        self._counted_s = now_s

    def demand(self, organisation: str, *, now_s: float) -> OrganisationDemand:
        """Return both rates.

        Args:
            organisation: Organisation id.
            now_s: Monotonic time.
        """
        per_s = self._decay(now_s) / TIME_CONSTANT_S
        return OrganisationDemand(
            organisation=organisation,
            requests_per_s=self._requests * per_s,
            tokens_per_s=self._tokens * per_s,
        )

    def _decay(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self._counted_s)
        return math.exp(-elapsed_s / TIME_CONSTANT_S)
