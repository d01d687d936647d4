"""One node's estimate of the fleet's token bucket of an organisation."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from crocuswick.quota.quota import Quota, QuotaBounds

__all__ = ["FleetBucket"]

RESERVE_SHARE = 0.4
"""Part of the slack that is added to the capacity, so that large requests and late reports
don't cause refusals while the demand is below the limit."""

RESERVE_BURSTS = 2.0
"""Limit on what is added, in bursts: a slack for tokens is very large for requests."""

PARTITION_SHARE = 0.8
"""Part of the allowance that the capacity may have. When a zone is cut off while the bucket
is full, both sides may use the level until they notice."""

MIN_CAPACITY = 0.5
"""Least capacity as a share of the burst, however small the allowance is."""

MIN_CAPACITY_S = 0.1
"""The same as the time in which the rate yields it; a quota may have no burst."""

WHOLE_SHARE = 0.75
"""Share of the fleet from which a request of any size may make the level negative. Many
small parts of a fleet could otherwise each admit a request far larger than their shares."""

OVERDRAFT_SHARE = 0.5
"""Part of the allowance by which the levels of all parts of a fleet may become negative."""

RECOVERY_LEVEL = 0.5
"""Level, as a share of the capacity, from which all requests pass again after the bucket
has been empty."""

RECOVERY_COSTS = 16.0
"""Multiple of its cost that the level must have for a request to pass until then, since
other nodes may admit requests like it at the same moment."""

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 8.0

REFUSED_WINDOW_S = 1.0
"""Time over which refused requests are counted as waiting to be repeated."""

SPREAD_STEP = 0.618
"""Step between the positions of successive callers in the time over which they are
spread; multiples of the golden ratio are spread evenly for any number of callers."""


class FleetBucket:
    """Level, refill and own usage; not thread-safe and without a clock.

    Args:
        quota: Quota of the organisation.
        bounds: Bounds of all quotas.
        level: Level at the start.
        now_s: Current time.
    """

    def __init__(
        self, *, quota: Quota, bounds: QuotaBounds, level: float, now_s: float
    ):
        self.quota = quota
        self.allowance = bounds.allowance(quota)
        self.capacity = _capacity(quota, bounds)
        self.level = min(level, self.capacity)
        self._share = 0.0
        self._capacity_share = 1.0
        self._filled_s = now_s
        self._is_recovering = False
        self._refused_cost = 0.0
        self._refused_s = now_s
        self._spread = 0.0

    @property
    def refill_per_s(self) -> float:
        """Rate at which the level rises now."""
        return self._share * self.quota.rate_per_s

    def configure(self, quota: Quota, bounds: QuotaBounds) -> None:
        """Change the limits; a lowered one caps the level at once."""
        self.quota = quota
        self.allowance = bounds.allowance(quota)
        self.capacity = _capacity(quota, bounds)
        self.level = min(self.level, self.capacity)

    def set_share(self, now_s: float, *, of_rate: float, of_capacity: float) -> None:
        """Change this node's shares of rate and capacity from now on.

        The capacity is divided as well: otherwise, the level on each side of a partition
        would rise to the full capacity.
        """
        self.refill(now_s)
        self._share = of_rate
        self._capacity_share = of_capacity
        self.add(0.0)

    def refill(self, now_s: float) -> None:
        """Add what the share of the rate has yielded since the last call."""
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = max(now_s, self._filled_s)
        self.add(elapsed_s * self._share * self.quota.rate_per_s)

    def skip_to(self, now_s: float) -> None:
        """Empty the bucket and start to refill it from now on; a debt remains."""
        self._filled_s = now_s
        self.level = min(self.level, 0.0)

    def add(self, amount: float) -> None:
        """Add an amount, or debit it if it is negative."""
        self.level = min(self.level + amount, self._capacity_share * self.capacity)

    def try_take(self, cost: float) -> str:
        """Debit a request that passes.

        Returns:
            The cause for which it does not pass, empty if it passes.
        """
        if self.level <= 0:
            self._is_recovering = True
            return "empty"
        if cost > self.level + self._overdraft:
            return "cut off"
        if self._is_recovering and not self._passes_in_recovery(cost):
            return "recovering"
        self.level -= cost
        return ""

    @property
    def _overdraft(self) -> float:
        """How far a request may make the level negative."""
        if self._capacity_share >= WHOLE_SHARE:
            return math.inf
        return OVERDRAFT_SHARE * self.allowance * self._capacity_share

    def _passes_in_recovery(self, cost: float) -> bool:
        """Whether a request passes while the level is low after having been empty.

        All nodes see the level rise above 0 at about the same time. If all admitted what
        they get until they have heard of each other, the level would fall far below 0.
        A request therefore needs a level of several times its cost. Where not all can be
        served, this prefers small requests: more callers are answered for as many tokens.
        """
        full = RECOVERY_LEVEL * self._capacity_share * self.capacity
        if self.level >= full:
            self._is_recovering = False
            return True
        return self.level >= min(RECOVERY_COSTS * cost, full)

    def retry_after_s(self, cost: float, now_s: float) -> float:
        """Return when a repeat of a refused request has a chance.

        Args:
            cost: Cost of the request.
            now_s: Current time.
        """
        if now_s - self._refused_s > REFUSED_WINDOW_S:
            self._refused_cost = 0.0
            self._refused_s = now_s
        self._refused_cost += cost
        rate_per_s = max(self.refill_per_s, 1e-9)
        self._spread = (self._spread + SPREAD_STEP) % 1.0
        spread_s = min(self._refused_cost / rate_per_s, REFUSED_WINDOW_S)
        lacking = max(-self.level, cost - self.level - self._overdraft, 0.0)
        wait_s = lacking / rate_per_s + self._spread * spread_s
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def _capacity(quota: Quota, bounds: QuotaBounds) -> float:
    """Return the highest level."""
    capacity = min(
        quota.burst + min(RESERVE_SHARE * bounds.slack, RESERVE_BURSTS * quota.burst),
        PARTITION_SHARE * bounds.allowance(quota),
    )
    return max(capacity, MIN_CAPACITY * quota.burst, MIN_CAPACITY_S * quota.rate_per_s)
