"""Model of where shared prompt segments are cached.

Engines evict the least recently used segments without notification. Each engine's
cache is therefore modelled from the prompts that this node and its peers have sent to
it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from crocuswick.relay.kv_events import KvEvent

__all__ = ["KvMap", "ModelledCache"]

SegmentKey = tuple[str, str]
"""Cache salt and id of a segment."""

MAX_COMPUTING_PROMPTS = 1_024
"""Limit on tracked prompts that are not computed yet; engines never run as many
at the same time."""

MIN_UNSHARED_ENTRY_TOKENS = 2_048
"""Unshared tokens are collected up to this number before they become a cache entry."""


class ModelledCache:
    """Model of a cache of segments with least-recently-used eviction.

    Args:
        capacity_tokens: Capacity of the cache in tokens.
    """

    def __init__(self, *, capacity_tokens: int):
        self._capacity_tokens = capacity_tokens
        self._tokens_by_segment: OrderedDict[SegmentKey, int] = OrderedDict()
        self._tokens = 0
        self._pending_unshared_tokens = 0
        self._unshared_entries = 0

    def __contains__(self, segment: SegmentKey) -> bool:
        """Whether the modelled cache holds a segment."""
        return segment in self._tokens_by_segment

    def use(self, segment: SegmentKey, tokens: int) -> None:
        """Record that a segment was computed, fetched or hit."""
        self.drop(segment)
        self._tokens_by_segment[segment] = tokens
        self._tokens += tokens
        self._evict()

    def drop(self, segment: SegmentKey) -> None:
        """Record that a segment was evicted."""
        self._tokens -= self._tokens_by_segment.pop(segment, 0)

    def apply(self, events: Iterable[KvEvent]) -> None:
        """Apply events that the cache itself reported, oldest first."""
        for event in events:
            segment = (event.salt, event.segment_id)
            if event.is_held:
                self.use(segment, event.tokens)
            else:
                self.drop(segment)

    def add_prompt(
        self, salt: str, tokens_by_segment: Mapping[str, int], other_tokens: int
    ) -> None:
        """Record a prompt that was computed.

        Args:
            salt: Cache salt of its segments.
            tokens_by_segment: Tokens of its shared segments.
            other_tokens: Its other tokens.
        """
        for segment_id, tokens in tokens_by_segment.items():
            self.use((salt, segment_id), tokens)
        self.add_unshared(other_tokens)

    def add_unshared(self, tokens: int) -> None:
        """Record tokens that no other request shares but that take up capacity."""
        self._pending_unshared_tokens += tokens
        if self._pending_unshared_tokens < MIN_UNSHARED_ENTRY_TOKENS:
            return
        self._unshared_entries += 1
        self.use(("", str(self._unshared_entries)), self._pending_unshared_tokens)
        self._pending_unshared_tokens = 0

    def _evict(self) -> None:
        while self._tokens > self._capacity_tokens and len(self._tokens_by_segment) > 1:
            _, tokens = self._tokens_by_segment.popitem(last=False)
            self._tokens -= tokens


@attrs.frozen(kw_only=True)
class _Prompt:
    """A prompt that was sent to an engine and is not computed yet."""

    incarnation: str
    salt: str
    tokens_by_segment: Mapping[str, int]
    other_tokens: int
    is_saved: bool


class KvMap:
    """Modelled caches of the engines and of the KV-cache store.

    A segment can be fetched once its prompt has been computed. Until then only the
    engine that computes it can use it.
    """

    def __init__(self):
        self._caches_by_incarnation: dict[str, ModelledCache] = {}
        self._store_cache: ModelledCache | None = None
        self._store_capacity_tokens = 0
        self._computing_by_request: dict[str, _Prompt] = {}
        # Incarnations by request id, for each segment that is being computed.
        self._computing_by_segment: dict[SegmentKey, dict[str, str]] = {}

    def set_store_capacity(self, capacity_tokens: int) -> None:
        """Set the capacity of the store, 0 for no store."""
        if capacity_tokens != self._store_capacity_tokens:
            self._store_capacity_tokens = capacity_tokens
            self._store_cache = ModelledCache(capacity_tokens=capacity_tokens)

    def engine_cache(self, incarnation: str, capacity_tokens: int) -> ModelledCache:
        """Return the modelled cache of an engine."""
        cache = self._caches_by_incarnation.get(incarnation)
        if cache is None:
            cache = ModelledCache(capacity_tokens=capacity_tokens)
            self._caches_by_incarnation[incarnation] = cache
        return cache

    def apply_events(
        self, incarnation: str, capacity_tokens: int, events: Iterable[KvEvent]
    ) -> None:
        """Apply cache events of an engine."""
        self.engine_cache(incarnation, capacity_tokens).apply(events)

    def apply_store_events(self, events: Iterable[KvEvent]) -> None:
        """Apply cache events of the store, if there is one."""
        if self._store_cache is not None:
            self._store_cache.apply(events)

    def record_prompt_sent(
        self,
        request_id: str,
        incarnation: str,
        salt: str,
        tokens_by_segment: Mapping[str, int],
        *,
        other_tokens: int,
        is_saved: bool,
    ) -> None:
        """Record a prompt that was sent to an engine.

        Args:
            request_id: Id of its request.
            incarnation: Incarnation of the engine.
            salt: Cache salt of its segments.
            tokens_by_segment: Tokens of its shared segments.
            other_tokens: Its other tokens.
            is_saved: Whether the engine saves the segments to the store.
        """
        while len(self._computing_by_request) >= MAX_COMPUTING_PROMPTS:
            self._remove_prompt(next(iter(self._computing_by_request)))
        self._remove_prompt(request_id)
        self._computing_by_request[request_id] = _Prompt(
            incarnation=incarnation,
            salt=salt,
            tokens_by_segment=tokens_by_segment,
            other_tokens=other_tokens,
            is_saved=is_saved,
        )
        for segment_id in tokens_by_segment:
            computing = self._computing_by_segment.setdefault((salt, segment_id), {})
            computing[request_id] = incarnation

    def record_prompt_computed(self, request_id: str, incarnation: str) -> None:
        """Record that an engine has computed a prompt and caches its segments.

        Late news of an earlier attempt, at another engine, changes nothing.
        """
        if not self._is_computing(request_id, incarnation):
            return
        prompt = self._remove_prompt(request_id)
        cache = self._caches_by_incarnation.get(incarnation)
        if cache is None:
            return
        cache.add_prompt(prompt.salt, prompt.tokens_by_segment, prompt.other_tokens)
        if prompt.is_saved and self._store_cache is not None:
            self._store_cache.add_prompt(
                prompt.salt, prompt.tokens_by_segment, prompt.other_tokens
            )

    def record_prompt_ended(self, request_id: str, incarnation: str) -> None:
        """Record the end of an attempt, whether its prompt was computed or not."""
        if self._is_computing(request_id, incarnation):
            self._remove_prompt(request_id)

    def _is_computing(self, request_id: str, incarnation: str) -> bool:
        prompt = self._computing_by_request.get(request_id)
        return prompt is not None and prompt.incarnation == incarnation

    def holds(self, incarnation: str, salt: str, segment_id: str) -> bool:
        """Whether a segment can be fetched from an engine."""
        cache = self._caches_by_incarnation.get(incarnation)
        return cache is not None and (salt, segment_id) in cache

    def computing_requests(self, salt: str, segment_id: str) -> Mapping[str, str]:
        """Return the requests whose prompts with a segment are being computed.

        Args:
            salt: Cache salt of the segment.
            segment_id: Id of the segment.

        Returns:
            The incarnation of the engine by request id, in the order of sending.
        """
        return self._computing_by_segment.get((salt, segment_id), {})

    def is_stored(self, salt: str, segment_id: str) -> bool:
        """Whether a segment can be fetched from the store."""
        return self._store_cache is not None and (salt, segment_id) in self._store_cache

    def is_being_saved(self, salt: str, segment_id: str) -> bool:
        """Whether an engine is going to save a segment to the store."""
        return any(
            self._computing_by_request[request_id].is_saved
            for request_id in self.computing_requests(salt, segment_id)
        )

    def discard(self, incarnation: str) -> None:
        """Discard the modelled cache of an engine that has lost its cache."""
        self._caches_by_incarnation.pop(incarnation, None)
        lost = [
            request_id
            for request_id, prompt in self._computing_by_request.items()
            if prompt.incarnation == incarnation
        ]
        for request_id in lost:
            self._remove_prompt(request_id)

    def _remove_prompt(self, request_id: str) -> _Prompt | None:
        prompt = self._computing_by_request.pop(request_id, None)
        if prompt is None:
            return None
        for segment_id in prompt.tokens_by_segment:
            segment = (prompt.salt, segment_id)
            computing = self._computing_by_segment[segment]
            del computing[request_id]
            if not computing:
                del self._computing_by_segment[segment]
        return prompt
