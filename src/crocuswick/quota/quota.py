"""Quota of an organisation and the bounds within which it is enforced."""

from __future__ import annotations

import enum

import attrs

__all__ = ["Quota", "QuotaBounds", "QuotaUnit"]


class QuotaUnit(enum.StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen(kw_only=True)
class Quota:
    """Rate and burst of one organisation at all nodes together."""

    organisation: str
    """Name of the organisation."""

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 0
    """Cost in tokens of a request that doesn't state its token counts."""

    def cost(self, stated_tokens: int | None) -> int:
        """Return the cost of a request in the unit of the quota.

        Args:
            stated_tokens: Prompt tokens plus maximum output tokens, None if not stated.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return self.plain_tokens if stated_tokens is None else stated_tokens


@attrs.frozen(kw_only=True)
class QuotaBounds:
    """Amount by which a quota may be exceeded, because nodes learn late of each other."""

    window_s: float = 8.0
    over: float = 0.1
    slack: float = 0.0
    """In the unit of the quota."""

    def allowance(self, quota: Quota) -> float:
        """Return what may be admitted in a window beyond rate and burst."""
        return self.over * self._within(quota) + self.slack

    def limit(self, quota: Quota) -> float:
        """Return what may be admitted in any window at most."""
        return self._within(quota) + self.allowance(quota)

    def _within(self, quota: Quota) -> float:
        return quota.rate_per_s * self.window_s + quota.burst
