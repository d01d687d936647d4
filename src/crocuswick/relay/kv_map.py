"""Where shared prompt parts are believed to be cached.

Engines evict the least recently used parts without a word, so each engine's memory
is modelled from the prompts that this node and its peers have sent there.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from crocuswick.relay.kv_events import KvEvent

__all__ = ["KvMap", "ModelledCache"]

PartKey = tuple[str, str]
"""Salt and id of a part."""

MAX_COMPUTING = 1_024
"""Prompts that are remembered until they are computed; more don't run at a time."""

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
        self.drop(part)
        self._tokens_by_part[part] = tokens
        self._tokens += tokens
        self._evict()

    def drop(self, part: PartKey) -> None:
        """Note that a part was evicted."""
        self._tokens -= self._tokens_by_part.pop(part, 0)

    def replay(self, events: Iterable[KvEvent]) -> None:
        """Take what the cache itself has told, the oldest first."""
        for event in events:
            part = (event.salt, event.part_id)
            if event.is_held:
                self.use(part, event.tokens)
            else:
                self.drop(part)

    def enter(
        self, salt: str, tokens_by_part: Mapping[str, int], other_tokens: int
    ) -> None:
        """Note a prompt that was computed.

        Args:
            salt: Salt of its parts.
            tokens_by_part: Tokens of its shared parts.
            other_tokens: Its other tokens.
        """
        for part_id, tokens in tokens_by_part.items():
            self.use((salt, part_id), tokens)
        self.fill(other_tokens)

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


@attrs.frozen(kw_only=True)
class _Prompt:
    """A prompt that an engine has not computed yet."""

    incarnation: str
    salt: str
    tokens_by_part: Mapping[str, int]
    other_tokens: int
    is_saved: bool


class KvMap:
    """The modelled caches of engines and of the store that they save to.

    A part can be fetched once the prompt that it was sent with has been computed;
    until then it is of use at that engine only.
    """

    def __init__(self):
        self._caches_by_incarnation: dict[str, ModelledCache] = {}
        self._stored: ModelledCache | None = None
        self._store_tokens = 0
        self._computing_by_request: dict[str, _Prompt] = {}
        self._incarnations_by_part: dict[PartKey, dict[str, str]] = {}

    def use_store(self, capacity_tokens: int) -> None:
        """Set the room of the store, 0 for no store."""
        if capacity_tokens != self._store_tokens:
            self._store_tokens = capacity_tokens
            self._stored = ModelledCache(capacity_tokens=capacity_tokens)

    def engine(self, incarnation: str, capacity_tokens: int) -> ModelledCache:
        """Return the modelled cache of an engine."""
        cache = self._caches_by_incarnation.get(incarnation)
        if cache is None:
            cache = ModelledCache(capacity_tokens=capacity_tokens)
            self._caches_by_incarnation[incarnation] = cache
        return cache

    def learn(
        self, incarnation: str, capacity_tokens: int, events: Iterable[KvEvent]
    ) -> None:
        """Take what an engine has told of its cache."""
        self.engine(incarnation, capacity_tokens).replay(events)

    def learn_stored(self, events: Iterable[KvEvent]) -> None:
        """Take what the store has told, where there is one."""
        if self._stored is not None:
            self._stored.replay(events)

    def begin(
        self,
        request_id: str,
        incarnation: str,
        salt: str,
        tokens_by_part: Mapping[str, int],
        *,
        other_tokens: int,
        is_saved: bool,
    ) -> None:
        """Note a prompt that was sent to an engine.

        Args:
            request_id: Its request.
            incarnation: The engine.
            salt: Salt of its parts.
            tokens_by_part: Tokens of its shared parts.
            other_tokens: Its other tokens.
            is_saved: Whether the engine saves the parts to the store.
        """
        while len(self._computing_by_request) >= MAX_COMPUTING:
            self._take(next(iter(self._computing_by_request)))
        self._take(request_id)
        self._computing_by_request[request_id] = _Prompt(
            incarnation=incarnation,
            salt=salt,
            tokens_by_part=tokens_by_part,
            other_tokens=other_tokens,
            is_saved=is_saved,
        )
        for part_id in tokens_by_part:
            computing = self._incarnations_by_part.setdefault((salt, part_id), {})
            computing[request_id] = incarnation

    def computed(self, request_id: str) -> None:
        """Note that a prompt has been computed: its parts are cached."""
        prompt = self._take(request_id)
        cache = self._caches_by_incarnation.get(prompt.incarnation) if prompt else None
        if cache is None:
            return
        cache.enter(prompt.salt, prompt.tokens_by_part, prompt.other_tokens)
        if prompt.is_saved and self._stored is not None:
            self._stored.enter(prompt.salt, prompt.tokens_by_part, prompt.other_tokens)

    def abandoned(self, request_id: str) -> None:
        """Note that a request has ended, perhaps before its prompt was computed."""
        self._take(request_id)

    def holds(self, incarnation: str, salt: str, part_id: str) -> bool:
        """Whether a part can be fetched from an engine."""
        cache = self._caches_by_incarnation.get(incarnation)
        return cache is not None and (salt, part_id) in cache

    def computing(self, salt: str, part_id: str) -> Mapping[str, str]:
        """Return who computes a part now, for whoever comes after.

        Args:
            salt: Salt of the part.
            part_id: Its id.

        Returns:
            For each request, in the order in which they were sent, the incarnation of
            its engine.
        """
        return self._incarnations_by_part.get((salt, part_id), {})

    def is_stored(self, salt: str, part_id: str) -> bool:
        """Whether a part can be fetched from the store."""
        return self._stored is not None and (salt, part_id) in self._stored

    def is_being_saved(self, salt: str, part_id: str) -> bool:
        """Whether an engine will save a part to the store."""
        return any(
            self._computing_by_request[request_id].is_saved
            for request_id in self.computing(salt, part_id)
        )

    def forget(self, incarnation: str) -> None:
        """Drop an engine that has lost its cache."""
        self._caches_by_incarnation.pop(incarnation, None)
        lost = [
            request_id
            for request_id, prompt in self._computing_by_request.items()
            if prompt.incarnation == incarnation
        ]
        for request_id in lost:
            self._take(request_id)

    def _take(self, request_id: str) -> _Prompt | None:
        prompt = self._computing_by_request.pop(request_id, None)
        if prompt is None:
            return None
        for part_id in prompt.tokens_by_part:
            part = (prompt.salt, part_id)
            computing = self._incarnations_by_part[part]
            del computing[request_id]
            if not computing:
                del self._incarnations_by_part[part]
        return prompt
