"""Sources from which an engine can get the shared segments of a prompt."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from crocuswick.relay.replica import Replica

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from crocuswick.relay.candidate import Candidate
    from crocuswick.relay.kv_map import KvMap
    from crocuswick.relay.relay_request import Prompt
    from crocuswick.relay.serving import EngineTraits, KvStore

__all__ = ["KvSource", "KvSources"]

TRANSFER_LATENCY_MS = 2.0
"""Fixed latency of a fetch, independent of its size."""

OTHER_ZONE_TRANSFER_FACTOR = 2.0
"""Factor by which a transfer between zones takes longer."""

MIN_STORE_LOOKUP_TOKENS = 2_048
"""Minimum number of shared tokens for which the store is queried for segments that it
isn't known to hold. Fewer tokens take less time to compute than to transfer."""


@attrs.frozen(kw_only=True)
class KvSource:
    """A source of the leading shared segments of a prompt."""

    tokens: int
    """Tokens of the segments, which need not be computed."""

    address: str = ""
    """Address to fetch from, empty if the engine holds the segments itself."""

    transfer_ms: float = 0.0
    ready_in_ms: float = 0.0
    """Time until the segments can be fetched, 0 if they can be fetched now."""


@attrs.frozen(kw_only=True)
class _ComputingEngine:
    """An engine that is computing segments."""

    replica: Replica
    ready_in_ms: float
    """Expected time until they are computed."""


@attrs.frozen(kw_only=True)
class _Prefix:
    """Leading segments of a prompt and where all of them are available."""

    tokens: int
    held_source: KvSource
    """The source for engines that hold or compute the segments."""

    holders: tuple[Replica, ...]
    holder_ids: frozenset[str]
    is_stored: bool
    computing_by_incarnation: Mapping[str, _ComputingEngine]
    """Engines that are computing the segments."""

    source_by_zone: dict[str, KvSource] = attrs.Factory(dict)
    """The best source for engines that don't hold the segments. It is the same for all
    engines of a zone, and is found once."""

    @property
    def can_be_fetched(self) -> bool:
        """Whether an engine or the store holds the segments now."""
        return bool(self.holders) or self.is_stored


class KvSources:
    """Finds the sources of a prompt's segments for all candidates of a request.

    Args:
        prompt: The request's prompt.
        engine: Traits of the engines.
        candidates: Engines that may hold segments or be computing them.
        stores: KV-cache stores.
        kv_map: Model of where segments are cached.
        now_s: Monotonic time.
    """

    def __init__(
        self,
        *,
        prompt: Prompt,
        engine: EngineTraits,
        candidates: Sequence[Candidate],
        stores: Sequence[KvStore],
        kv_map: KvMap,
        now_s: float,
    ):
        self._prompt = prompt
        self._engine = engine
        self._candidates = candidates
        self._stores = stores
        self._kv_map = kv_map
        self._now_s = now_s
        self._prefixes_by_salt: dict[str, list[_Prefix]] = {}
        self._fallback = self._fallback_source()

    def known_tokens(self, salt: str) -> int:
        """Return the tokens of the longest prefix that is cached or being computed."""
        prefixes = self._prefixes(salt)
        return prefixes[0].tokens if prefixes else 0

    def options(self, replica: Replica, salt: str) -> list[KvSource]:
        """Return the sources to compare for an engine; the list is never empty.

        It may hold both a longer prefix that is still being computed and a shorter
        one that is available now.

        Args:
            replica: The engine.
            salt: Cache salt of the segments.
        """
        options = []
        incarnation = replica.incarnation
        for prefix in self._prefixes(salt):
            is_held = replica.id in prefix.holder_ids
            if is_held or incarnation in prefix.computing_by_incarnation:
                options.append(prefix.held_source)
                return options
            if prefix.can_be_fetched:
                options.append(self._zone_source(prefix, replica.zone))
                return options
            if not options:
                options.append(self._zone_source(prefix, replica.zone))
        return [*options, self._fallback]

    def _fallback_source(self) -> KvSource:
        """Return the source to use if no segments are known to be available now.

        The store may hold segments that this node doesn't know of, because messages
        of other nodes don't reach it. The store is therefore queried for the segments
        of large prompts, which takes a millisecond if it holds none.
        """
        if not self._stores or self._prompt.shared_tokens < MIN_STORE_LOOKUP_TOKENS:
            return KvSource(tokens=0)
        return KvSource(tokens=0, address=self._stores[0].address)

    def _prefixes(self, salt: str) -> list[_Prefix]:
        prefixes = self._prefixes_by_salt.get(salt)
        if prefixes is None:
            prefixes = self._prefixes_by_salt[salt] = list(self._find_prefixes(salt))
        return prefixes

    def _find_prefixes(self, salt: str) -> Iterator[_Prefix]:
        """Yield prefixes from the longest to the first that can be fetched."""
        shared = self._prompt.shared_segments
        # A cached segment can be used only together with all segments before it.
        for count in range(len(shared), 0, -1):
            tokens = sum(segment.tokens for segment in shared[:count])
            prefix = self._prefix(salt, shared[count - 1].id, tokens)
            if prefix.can_be_fetched or prefix.computing_by_incarnation:
                yield prefix
            if prefix.can_be_fetched:
                return

    def _prefix(self, salt: str, segment_id: str, tokens: int) -> _Prefix:
        kv_map = self._kv_map
        request_by_incarnation: dict[str, str] = {}
        for request_id, incarnation in kv_map.computing_requests(
            salt, segment_id
        ).items():
            request_by_incarnation.setdefault(incarnation, request_id)
        holders = []
        computing_by_incarnation = {}
        for candidate in self._candidates:
            incarnation = candidate.replica.incarnation
            if kv_map.holds(incarnation, salt, segment_id):
                holders.append(candidate.replica)
            request_id = request_by_incarnation.get(incarnation)
            if request_id is None:
                continue
            ready_in_ms = candidate.load.remaining_ms(request_id, self._now_s)
            if ready_in_ms is not None:
                computing_by_incarnation[incarnation] = _ComputingEngine(
                    replica=candidate.replica, ready_in_ms=ready_in_ms
                )
        return _Prefix(
            tokens=tokens,
            held_source=KvSource(tokens=tokens),
            holders=tuple(holders),
            holder_ids=frozenset(holder.id for holder in holders),
            is_stored=bool(self._stores) and kv_map.is_stored(salt, segment_id),
            computing_by_incarnation=computing_by_incarnation,
        )

    def _zone_source(self, prefix: _Prefix, zone: str) -> KvSource:
        """Return the source of a prefix for the engines of a zone that don't hold it."""
        source = prefix.source_by_zone.get(zone)
        if source is None:
            find = self._fastest if prefix.can_be_fetched else self._earliest
            source = prefix.source_by_zone[zone] = find(prefix, zone)
        return source

    def _fastest(self, prefix: _Prefix, zone: str) -> KvSource:
        sources = [
            self._fetch(prefix.tokens, zone, holder, self._engine.link_mbps)
            for holder in prefix.holders
        ]
        if prefix.is_stored:
            sources += [
                self._fetch(prefix.tokens, zone, store, store.link_mbps)
                for store in self._stores
            ]
        return min(sources, key=lambda source: source.transfer_ms)

    def _earliest(self, prefix: _Prefix, zone: str) -> KvSource:
        first = min(
            prefix.computing_by_incarnation.values(),
            key=lambda computing: computing.ready_in_ms,
        )
        fetch = self._fetch(prefix.tokens, zone, first.replica, self._engine.link_mbps)
        return attrs.evolve(fetch, ready_in_ms=first.ready_in_ms)

    def _fetch(
        self, tokens: int, zone: str, holder: Replica | KvStore, mbps: float
    ) -> KvSource:
        bits = tokens * self._engine.kv_bytes_per_token * 8
        usable_mbps = max(1.0, min(mbps, self._engine.link_mbps))
        factor = 1.0 if holder.zone == zone else OTHER_ZONE_TRANSFER_FACTOR
        transfer_ms = TRANSFER_LATENCY_MS + factor * bits / (usable_mbps * 1000)
        return KvSource(tokens=tokens, address=holder.address, transfer_ms=transfer_ms)
