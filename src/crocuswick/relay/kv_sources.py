"""Whence each engine can get a prompt's shared parts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from crocuswick.relay.engine_load import EngineLoad
from crocuswick.relay.replica import Replica

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from crocuswick.relay.kv_map import KvMap
    from crocuswick.relay.relay_request import Prompt
    from crocuswick.relay.serving import EngineTraits, KvStore

__all__ = ["KvPeer", "KvSource", "KvSources"]

TRANSFER_LATENCY_MS = 2.0
"""Fixed time of a fetch."""

OTHER_ZONE_TRANSFER = 2.0
"""Factor of a transfer's time between zones."""


MIN_ASKED_TOKENS = 2_048
"""Shared tokens for which the store is asked without knowing that it has them; fewer
are computed in less time than a transfer takes."""


@attrs.frozen(kw_only=True)
class KvPeer:
    """An engine that may hold parts or compute them now."""

    replica: Replica
    load: EngineLoad


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
class _Run:
    """The first parts of a prompt, and who has all of them."""

    tokens: int
    holders: tuple[Replica, ...]
    is_stored: bool
    ready_in_ms_by_incarnation: Mapping[str, float]
    """Expected time until the engines that compute them now have done so."""

    computing: tuple[Replica, ...]
    """Engines of the mapping."""

    @property
    def can_be_fetched(self) -> bool:
        """Whether somebody has them now."""
        return bool(self.holders) or self.is_stored


class KvSources:
    """Looks once for all candidates of a request.

    Args:
        prompt: The request's prompt.
        engine: Traits of the engines.
        peers: Engines to ask.
        stores: Stores of KV cache.
        kv_map: Where parts are believed to be cached.
        now_s: Monotonic time.
    """

    def __init__(
        self,
        *,
        prompt: Prompt,
        engine: EngineTraits,
        peers: Sequence[KvPeer],
        stores: Sequence[KvStore],
        kv_map: KvMap,
        now_s: float,
    ):
        self._prompt = prompt
        self._engine = engine
        self._peers = peers
        self._stores = stores
        self._kv_map = kv_map
        self._now_s = now_s
        self._runs_by_salt: dict[str, list[_Run]] = {}

    def known_tokens(self, salt: str) -> int:
        """Return the tokens of the parts that anybody has or computes now."""
        runs = self._runs(salt)
        return runs[0].tokens if runs else 0

    def options(self, replica: Replica, salt: str) -> list[KvSource]:
        """Return the sources worth comparing for an engine, never an empty list.

        A longer run of parts that is still being computed stands beside a shorter
        one that can be had now.

        Args:
            replica: The engine.
            salt: Salt under which it looks for parts.
        """
        options = []
        for run in self._runs(salt):
            incarnation = replica.incarnation
            is_held = any(holder.id == replica.id for holder in run.holders)
            if is_held or incarnation in run.ready_in_ms_by_incarnation:
                options.append(KvSource(tokens=run.tokens))
                return options
            if run.can_be_fetched:
                options.append(self._nearest(run, replica))
                return options
            if not options:
                options.append(self._soonest(run, replica))
        return [*options, self._unknown()]

    def _unknown(self) -> KvSource:
        """Return what is left where no node has told of the parts.

        Nodes that this one doesn't hear may have had them saved: the store is asked
        for the parts of large prompts, which costs a millisecond if it has none.
        """
        if not self._stores or self._prompt.shared_tokens < MIN_ASKED_TOKENS:
            return KvSource(tokens=0)
        return KvSource(tokens=0, address=self._stores[0].address)

    def _runs(self, salt: str) -> list[_Run]:
        runs = self._runs_by_salt.get(salt)
        if runs is None:
            runs = self._runs_by_salt[salt] = list(self._find_runs(salt))
        return runs

    def _find_runs(self, salt: str) -> Iterator[_Run]:
        """Yield runs from the longest to the first that can be fetched."""
        shared = self._prompt.shared_parts
        # A part is of use only with all parts before it.
        for count in range(len(shared), 0, -1):
            tokens = sum(part.tokens for part in shared[:count])
            run = self._run(salt, shared[count - 1].id, tokens)
            if run.can_be_fetched or run.computing:
                yield run
            if run.can_be_fetched:
                return

    def _run(self, salt: str, part_id: str, tokens: int) -> _Run:
        kv_map = self._kv_map
        request_by_incarnation: dict[str, str] = {}
        for request_id, incarnation in kv_map.computing(salt, part_id).items():
            request_by_incarnation.setdefault(incarnation, request_id)
        holders = []
        computing = []
        ready_in_ms_by_incarnation = {}
        for peer in self._peers:
            incarnation = peer.replica.incarnation
            if kv_map.holds(incarnation, salt, part_id):
                holders.append(peer.replica)
            request_id = request_by_incarnation.get(incarnation, "")
            ready_in_ms = peer.load.remaining_ms(request_id, self._now_s)
            if ready_in_ms is not None:
                ready_in_ms_by_incarnation[incarnation] = ready_in_ms
                computing.append(peer.replica)
        return _Run(
            tokens=tokens,
            holders=tuple(holders),
            is_stored=bool(self._stores) and kv_map.is_stored(salt, part_id),
            ready_in_ms_by_incarnation=ready_in_ms_by_incarnation,
            computing=tuple(computing),
        )

    def _nearest(self, run: _Run, replica: Replica) -> KvSource:
        sources = [
            self._fetch(run.tokens, replica, holder, self._engine.link_mbps)
            for holder in run.holders
        ]
        if run.is_stored:
            sources += [
                self._fetch(run.tokens, replica, store, store.link_mbps)
                for store in self._stores
            ]
        return min(sources, key=lambda source: source.transfer_ms)

    def _soonest(self, run: _Run, replica: Replica) -> KvSource:
        sources = [
            attrs.evolve(
                self._fetch(run.tokens, replica, holder, self._engine.link_mbps),
                ready_in_ms=run.ready_in_ms_by_incarnation[holder.incarnation],
            )
            for holder in run.computing
        ]
        return min(sources, key=lambda source: source.ready_in_ms)

    def _fetch(
        self, tokens: int, replica: Replica, holder: Replica | KvStore, mbps: float
    ) -> KvSource:
        bits = tokens * self._engine.kv_bytes_per_token * 8
        usable_mbps = max(1.0, min(mbps, self._engine.link_mbps))
        factor = 1.0 if holder.zone == replica.zone else OTHER_ZONE_TRANSFER
        transfer_ms = TRANSFER_LATENCY_MS + factor * bits / (usable_mbps * 1000)
        return KvSource(tokens=tokens, address=holder.address, transfer_ms=transfer_ms)
