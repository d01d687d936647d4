"""Whence each engine can get a prompt's shared parts."""

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
"""Fixed time of a fetch."""

OTHER_ZONE_TRANSFER_FACTOR = 2.0
"""Factor of a transfer's time between zones."""

MIN_STORE_LOOKUP_TOKENS = 2_048
"""Shared tokens for which the store is asked without knowing that it has them; fewer
are computed in less time than a transfer takes."""


@attrs.frozen(kw_only=True)
class KvSource:
    """Where an engine gets a prompt's first shared parts."""

    tokens: int
    """Tokens of the parts, which need not be computed."""

    address: str = ""
    """Address to fetch from, empty if the engine has them itself."""

    transfer_ms: float = 0.0
    ready_in_ms: float = 0.0
    """Time until they can be fetched, 0 for now."""


@attrs.frozen(kw_only=True)
class _ComputingEngine:
    """An engine that computes parts now."""

    replica: Replica
    ready_in_ms: float
    """Expected time until it has done so."""


@attrs.frozen(kw_only=True)
class _Prefix:
    """The first parts of a prompt, and who has all of them."""

    tokens: int
    holders: tuple[Replica, ...]
    is_stored: bool
    computing_by_incarnation: Mapping[str, _ComputingEngine]
    """Engines that compute them now."""

    @property
    def can_be_fetched(self) -> bool:
        """Whether somebody has them now."""
        return bool(self.holders) or self.is_stored


class KvSources:
    """Looks once for all candidates of a request.

    Args:
        prompt: The request's prompt.
        engine: Traits of the engines.
        candidates: Engines that may hold parts or compute them now.
        stores: Stores of KV cache.
        kv_map: Where parts are believed to be cached.
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

    def known_tokens(self, salt: str) -> int:
        """Return the tokens of the parts that anybody has or computes now."""
        prefixes = self._prefixes(salt)
        return prefixes[0].tokens if prefixes else 0

    def options(self, replica: Replica, salt: str) -> list[KvSource]:
        """Return the sources worth comparing for an engine, never an empty list.

        A longer run of parts that is still being computed stands beside a shorter
        one that can be had now.

        Args:
            replica: The engine.
            salt: Salt under which it looks for parts.
        """
        options = []
        for prefix in self._prefixes(salt):
            incarnation = replica.incarnation
            is_held = any(holder.id == replica.id for holder in prefix.holders)
            if is_held or incarnation in prefix.computing_by_incarnation:
                options.append(KvSource(tokens=prefix.tokens))
                return options
            if prefix.can_be_fetched:
                options.append(self._fastest(prefix, replica))
                return options
            if not options:
                options.append(self._earliest(prefix, replica))
        return [*options, self._fallback()]

    def _fallback(self) -> KvSource:
        """Return what is left where no node has told of the parts.

        Nodes that this one doesn't hear may have had them saved: the store is asked
        for the parts of large prompts, which costs a millisecond if it has none.
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
        """Yield runs from the longest to the first that can be fetched."""
        shared = self._prompt.shared_segments
        # A part is of use only with all parts before it.
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
            request_id = request_by_incarnation.get(incarnation, "")
            ready_in_ms = candidate.load.remaining_ms(request_id, self._now_s)
            if ready_in_ms is not None:
                computing_by_incarnation[incarnation] = _ComputingEngine(
                    replica=candidate.replica, ready_in_ms=ready_in_ms
                )
        return _Prefix(
            tokens=tokens,
            holders=tuple(holders),
            is_stored=bool(self._stores) and kv_map.is_stored(salt, segment_id),
            computing_by_incarnation=computing_by_incarnation,
        )

    def _fastest(self, prefix: _Prefix, replica: Replica) -> KvSource:
        sources = [
            self._fetch(prefix.tokens, replica, holder, self._engine.link_mbps)
            for holder in prefix.holders
        ]
        if prefix.is_stored:
            sources += [
                self._fetch(prefix.tokens, replica, store, store.link_mbps)
                for store in self._stores
            ]
        return min(sources, key=lambda source: source.transfer_ms)

    def _earliest(self, prefix: _Prefix, replica: Replica) -> KvSource:
        first = min(
            prefix.computing_by_incarnation.values(),
            key=lambda computing: computing.ready_in_ms,
        )
        fetch = self._fetch(
            prefix.tokens, replica, first.replica, self._engine.link_mbps
        )
        return attrs.evolve(fetch, ready_in_ms=first.ready_in_ms)

    def _fetch(
        self, tokens: int, replica: Replica, holder: Replica | KvStore, mbps: float
    ) -> KvSource:
        bits = tokens * self._engine.kv_bytes_per_token * 8
        usable_mbps = max(1.0, min(mbps, self._engine.link_mbps))
        factor = 1.0 if holder.zone == replica.zone else OTHER_ZONE_TRANSFER_FACTOR
        transfer_ms = TRANSFER_LATENCY_MS + factor * bits / (usable_mbps * 1000)
        return KvSource(tokens=tokens, address=holder.address, transfer_ms=transfer_ms)
