"""Share of recent traffic under each prefix, which determines its number of homes.

The homes of a prefix are the endpoints that rendezvous hashing assigns to it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["HotPrefixes"]

HALF_LIFE_S = 5.0
"""Time in which the weight of a request halves."""

MAX_PREFIXES = 2048
"""Number of prefixes counted; beyond it, those with the lowest counts are dropped."""

MIN_TOTAL = 8.0
"""Decayed number of requests below which every prefix has one home."""

_RESCALE_ABOVE = 1e12
"""Weight of a new request above which all counts are scaled down, because the weights
grow exponentially with time."""


class HotPrefixes:
    """Counts requests by prefix with exponential decay in bounded memory.

    Old counts are not reduced. Instead, later requests weigh more: a request at time t
    has the weight ``2 ** (t / half-life)``, so that no entry needs an update over time.
    """

    def __init__(
        self, *, half_life_s: float = HALF_LIFE_S, max_prefixes: int = MAX_PREFIXES
    ):
        self._half_life_s = half_life_s
        self._max_prefixes = max_prefixes
        self._weights_by_key: dict[int, float] = {}
        self._total = 0.0
        self._origin_s: float | None = None

    def __len__(self) -> int:
        return len(self._weights_by_key)

    def record(self, keys: Iterable[int], now_s: float) -> None:
        """Count one request under each of its prefixes."""
        weight = self._weight(now_s)
        self._total += weight
        weights = self._weights_by_key
        for key in keys:
            weights[key] = weights.get(key, 0.0) + weight
        if len(weights) > self._max_prefixes:
            self._drop_coldest()

    def share(self, key: int) -> float:
        """Return the share of recent requests under a prefix, from 0 to 1."""
        if not self._total:
            return 0.0
        return self._weights_by_key.get(key, 0.0) / self._total

    def home_count(self, key: int, *, endpoints: int, now_s: float) -> int:
        """Return the number of homes for a prefix.

        Args:
            key: Key of the prefix's last block.
            endpoints: Number of endpoints among which the traffic is distributed.
            now_s: Monotonic time in seconds.

        Returns:
            One, plus one for each full ``1 / endpoints`` of the traffic under the
            prefix, and at most one for each endpoint.
        """
        if self._total < MIN_TOTAL * self._weight(now_s):
            return 1
        return min(endpoints, 1 + int(self.share(key) * endpoints))

    def _weight(self, now_s: float) -> float:
        if self._origin_s is None:
            self._origin_s = now_s
        weight = math.exp2((now_s - self._origin_s) / self._half_life_s)
        if weight > _RESCALE_ABOVE:
            self._rescale(weight)
            self._origin_s = now_s
            weight = 1.0
        return weight

    def _rescale(self, divisor: float) -> None:
        self._total /= divisor
        for key in self._weights_by_key:
            self._weights_by_key[key] /= divisor

    def _drop_coldest(self) -> None:
        by_weight = sorted(self._weights_by_key.items(), key=lambda item: -item[1])
        self._weights_by_key = dict(by_weight[: self._max_prefixes // 2])
