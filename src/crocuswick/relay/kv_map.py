"""Where shared prompt parts are believed to be cached.

Engines evict the least recently used parts without a word, so each engine's memory
is modelled from the prompts that this node and its peers have sent there.
"""

from __future__ import annotations

from collections import OrderedDict

__all__ = ["KvMap", "ModelledCache"]

PartKey = tuple[str, str]
"""Salt and id of a part."""

MIN_CHURN_TOKENS = 2_048
"""Tokens of small prompts are collected up to this number before they are entered."""


class ModelledCache:
    """The parts that a cache with least-recently-used eviction holds.

    Args:
        capacity_tokens: Tokens that it has room for.
    """

    def __init__(self, *, capacity_tokens: int):
        self._capacity_tokens = capacity_tokens
        self._tokens_by_part: OrderedDict[PartKey, int] = OrderedDict()
        self._tokens = 0
        self._uncounted_tokens = 0
        self._fillers = 0

    def __contains__(self, part: PartKey) -> bool:
        """Whether a part is believed to be held."""
        return part in self._tokens_by_part

    def use(self, part: PartKey, tokens: int) -> None:
        """Note that a part was computed, fetched or found."""
        self._tokens -= self._tokens_by_part.pop(part, 0)
        self._tokens_by_part[part] = tokens
        self._tokens += tokens
        self._evict()

    def fill(self, tokens: int) -> None:
        """Note tokens that no other request will look for."""
        self._uncounted_tokens += tokens
        if self._uncounted_tokens < MIN_CHURN_TOKENS:
            return
        self._fillers += 1
        self.use(("", str(self._fillers)), self._uncounted_tokens)
        self._uncounted_tokens = 0

    def _evict(self) -> None:
        while self._tokens > self._capacity_tokens and len(self._tokens_by_part) > 1:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._tokens -= tokens


class KvMap:
    """The modelled caches of engines and of the store that they save to."""

    def __init__(self):
        self._caches_by_incarnation: dict[str, ModelledCache] = {}
        self._stored: ModelledCache | None = None

    def engine(self, incarnation: str, capacity_tokens: int) -> ModelledCache:
        """Return the modelled cache of an engine."""
        cache = self._caches_by_incarnation.get(incarnation)
        if cache is None:
            cache = ModelledCache(capacity_tokens=capacity_tokens)
            self._caches_by_incarnation[incarnation] = cache
        return cache

    def holders(self, salt: str, part_id: str) -> list[str]:
        """Return the incarnations that are believed to hold a part."""
        key = (salt, part_id)
        return [
            incarnation
            for incarnation, cache in self._caches_by_incarnation.items()
            if key in cache
        ]

    def holds(self, incarnation: str, salt: str, part_id: str) -> bool:
        """Whether an engine is believed to hold a part."""
        cache = self._caches_by_incarnation.get(incarnation)
        return cache is not None and (salt, part_id) in cache

    def is_stored(self, salt: str, part_id: str) -> bool:
        """Whether the store is believed to hold a part."""
        return self._stored is not None and (salt, part_id) in self._stored

    def record_stored(
        self, salt: str, part_id: str, tokens: int, capacity_tokens: int
    ) -> None:
        """Note that an engine saves a part to the store."""
        if self._stored is None:
            self._stored = ModelledCache(capacity_tokens=capacity_tokens)
        self._stored.use((salt, part_id), tokens)

    def forget(self, incarnation: str) -> None:
        """Drop an engine that has lost its cache."""
        self._caches_by_incarnation.pop(incarnation, None)

    def forget_stored(self) -> None:
        """Drop all that the store held."""
        self._stored = None
