"""Choice of the replica with the lowest expected cost for a request."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import quote

import attrs

from crocuswick.relay.candidate import Candidate
from crocuswick.relay.engine_load import PRIORITY_LEVELS
from crocuswick.relay.kv_sources import KvSource, KvSources

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crocuswick.relay.kv_map import KvMap
    from crocuswick.relay.relay_request import RoutedRequest
    from crocuswick.relay.serving import EngineTraits, KvStore, Service

__all__ = ["Choice", "ReplicaChooser", "cache_salt", "engine_priority"]

OTHER_ZONE_PENALTY_REQUESTS = 2.0
"""Penalty for another zone, as an equivalent number of outstanding requests; applies to
services without engines."""

FAILURE_PENALTY_REQUESTS = 12.0
"""Penalty for a replica that fails every request, as an equivalent number of
outstanding requests."""

FAILURE_PENALTY_MS = 1500.0
"""Penalty for a replica that fails every request, as additional time to the first
event."""

OTHER_ZONE_PENALTY_MS = 8.0
"""Penalty for the traffic cost of a small request between zones."""

OTHER_ZONE_PENALTY_MS_PER_KB = 1.5
"""Penalty for the traffic cost of a request body between zones."""

OLD_WEIGHTS_PENALTY_MS = 200.0
"""Penalty for older weights, which reduce the value of an answer by a fifth."""

OLD_WEIGHTS_GRACE_S = 1.4
"""Age from which older weights are penalised, slightly less than the 1.5 s after the
announcement of newer ones for which answers keep their full value."""

FULL_MEMORY_PENALTY_MS = 600.0
"""Penalty for exceeding the usable KV-cache memory of an engine by 100 %."""

KV_MEMORY_SHARE = 0.9
"""Share of an engine's KV-cache memory that running requests can fill without
preemption."""

NEAR_BEST_MS = 60.0
"""Excess over the lowest cost up to which an engine is as good as the best one in a
large fleet, somewhat less than the prefill of one large prompt. Other nodes see the same
loads until they are notified of a choice, some tens of milliseconds later, and would
all choose the same engine."""

LARGE_FLEET_NODES = 64
"""Number of nodes from which that window applies in full. Few nodes seldom choose at the
same moment, and the window shrinks in proportion."""

NEAR_BEST_PREFILL_TOKENS = 1_024
"""Smallest prefill for which that matters; smaller ones hardly lengthen a queue."""

RECOMPUTE_WEIGHT = 1.0
"""Weight of the time to recompute cached tokens. It is added to a request's cost,
because the prompts queued behind the request wait for that time as well."""


@attrs.frozen(kw_only=True)
class Choice:
    """The chosen replica and the expected cost of the request there."""

    candidate: Candidate
    expected_ms: float
    """Expected time to the first event or the start of the answer."""

    service_ms: float
    """Part of `expected_ms` without queueing: transfer and prefill."""

    prefill_tokens: int
    fetch_from: str
    """Address to fetch cached segments from, empty for none."""

    salt: str
    ready_in_ms: float = 0.0
    """Time until the segments can be fetched; the request should be held that long."""

    @property
    def is_shareable(self) -> bool:
        """Whether other requests may use what this one leaves in a cache.

        Without its version, cached segments can't be told from those of other weights.
        """
        return self.candidate.weights_version is not None


class _Option(NamedTuple):
    """An engine and a source of segments; a tuple, since a choice weighs many."""

    cost_ms: float
    candidate: Candidate
    salt: str
    source: KvSource
    prefill_tokens: int
    service_ms: float


class ReplicaChooser:
    """Chooses the candidate with the lowest expected cost.

    The cost is the expected time to the first event plus penalties or, for services
    without engines, the number of outstanding requests plus penalties.

    Args:
        zone: Zone of this node.
        kv_map: Model of where segments are cached.
        seed: Seed for the random choice among equal candidates.
    """

    def __init__(self, *, zone: str, kv_map: KvMap, seed: int | None = None):
        self._zone = zone
        self._kv_map = kv_map
        self._random = random.Random(seed)
        self._near_best_ms = 0.0

    def set_node_count(self, count: int) -> None:
        """Adapt to the number of nodes that choose among the same engines."""
        share = min(1.0, (count - 1) / LARGE_FLEET_NODES)
        self._near_best_ms = NEAR_BEST_MS * share

    def choose(
        self,
        request: RoutedRequest,
        service: Service,
        candidates: Sequence[Candidate],
        stores: Sequence[KvStore],
        now_s: float,
        *,
        may_wait: bool = True,
        sources: Sequence[Candidate] | None = None,
    ) -> Choice | None:
        """Choose a replica for a request.

        Args:
            request: The request.
            service: Its service.
            candidates: Replicas that may take the request.
            stores: KV-cache stores.
            now_s: Monotonic time.
            may_wait: Whether the request may be held until segments can be fetched.
            sources: Replicas from which segments may be fetched; by default the
                candidates.

        Returns:
            The best choice, or None if there is no candidate.
        """
        if service.engine is None or request.caller.prompt is None:
            return self._choose_plain(candidates, now_s)
        kv_sources = KvSources(
            prompt=request.caller.prompt,
            engine=service.engine,
            candidates=candidates if sources is None else sources,
            stores=stores,
            kv_map=self._kv_map,
            now_s=now_s,
        )
        options = self._engine_options(
            request, service.engine, candidates, kv_sources, now_s, may_wait=may_wait
        )
        self._random.shuffle(options)
        best = min(options, key=lambda option: option.cost_ms, default=None)
        if best is None:
            return None
        if best.prefill_tokens >= NEAR_BEST_PREFILL_TOKENS:
            best = self._near_best(options, best)
        return _engine_choice(request, best)

    def _near_best(self, options: Sequence[_Option], best: _Option) -> _Option:
        """Return one of the options that are about as good as the best, at random."""
        highest_cost_ms = best.cost_ms + self._near_best_ms
        near = [
            option
            for option in options
            if option.cost_ms <= highest_cost_ms
            and option.prefill_tokens <= best.prefill_tokens
            and option.source.ready_in_ms <= best.source.ready_in_ms
            and option.candidate.replica.zone == best.candidate.replica.zone
        ]
        return self._random.choice(near)

    def _choose_plain(
        self, candidates: Sequence[Candidate], now_s: float
    ) -> Choice | None:
        shuffled = self._random.sample(candidates, len(candidates))
        best = min(
            shuffled, key=lambda each: self._plain_cost(each, now_s), default=None
        )
        if best is None:
            return None
        return Choice(
            candidate=best,
            expected_ms=0.0,
            service_ms=0.0,
            prefill_tokens=0,
            fetch_from="",
            salt="",
        )

    def _plain_cost(self, candidate: Candidate, now_s: float) -> float:
        cost = float(candidate.load.requests)
        cost += FAILURE_PENALTY_REQUESTS * candidate.health.failure_share(now_s)
        if candidate.replica.zone != self._zone:
            cost += OTHER_ZONE_PENALTY_REQUESTS
        return cost

    def _engine_options(
        self,
        request: RoutedRequest,
        engine: EngineTraits,
        candidates: Sequence[Candidate],
        sources: KvSources,
        now_s: float,
        *,
        may_wait: bool,
    ) -> list[_Option]:
        """Return each combination of an engine and a source of segments."""
        prompt_tokens = request.caller.prompt.prompt_tokens
        priority = engine_priority(request)
        zone_penalty_ms = _zone_penalty_ms(request)
        kv_tokens = _kv_tokens(request)
        usable_tokens = KV_MEMORY_SHARE * engine.kv_capacity_tokens
        salt_by_version: dict[int | None, str] = {}
        options = []
        for candidate in candidates:
            version = candidate.weights_version
            if version not in salt_by_version:
                salt_by_version[version] = cache_salt(request, version)
            salt = salt_by_version[version]
            known_tokens = sources.known_tokens(salt)
            rate = candidate.load.rate
            wait_ms = candidate.load.wait_ms(priority)
            penalty_ms = self._penalty_ms(
                candidate, now_s, zone_penalty_ms, kv_tokens, usable_tokens
            )
            for source in _sources_for(candidate, sources, salt):
                if source.ready_in_ms > 0 and not may_wait:
                    continue
                prefill_tokens = max(0, prompt_tokens - source.tokens)
                service_ms = prefill_tokens / rate + source.transfer_ms
                expected_ms = max(wait_ms, source.ready_in_ms) + service_ms
                recompute_ms = (known_tokens - source.tokens) / rate
                cost_ms = expected_ms + RECOMPUTE_WEIGHT * recompute_ms + penalty_ms
                options.append(
                    _Option(
                        cost_ms, candidate, salt, source, prefill_tokens, service_ms
                    )
                )
        return options

    def _penalty_ms(
        self,
        candidate: Candidate,
        now_s: float,
        zone_penalty_ms: float,
        kv_tokens: int,
        usable_tokens: float,
    ) -> float:
        """Return the penalties of an engine.

        Args:
            candidate: The engine.
            now_s: Monotonic time.
            zone_penalty_ms: Penalty for another zone.
            kv_tokens: KV-cache memory that the request needs.
            usable_tokens: KV-cache memory that requests can fill.
        """
        penalty_ms = FAILURE_PENALTY_MS * candidate.health.failure_share(now_s)
        if candidate.replica.zone != self._zone:
            penalty_ms += zone_penalty_ms
        age_s = candidate.weights_age_s
        if age_s is not None and age_s > OLD_WEIGHTS_GRACE_S:
            penalty_ms += OLD_WEIGHTS_PENALTY_MS
        load = candidate.load
        needed_tokens = load.kv_tokens + kv_tokens
        if needed_tokens > usable_tokens > 0:
            penalty_ms += (
                FULL_MEMORY_PENALTY_MS * (needed_tokens - usable_tokens) / usable_tokens
            )
        # Each running request lengthens the decoding steps of all others.
        penalty_ms += 2.0 * load.requests
        return penalty_ms


def _sources_for(
    candidate: Candidate, sources: KvSources, salt: str
) -> Sequence[KvSource]:
    """Return the sources of segments that an engine may use."""
    if candidate.weights_version is None:
        return [KvSource(tokens=0)]
    return sources.options(candidate.replica, salt)


def _engine_choice(request: RoutedRequest, option: _Option) -> Choice:
    wait_ms = option.candidate.load.wait_ms(engine_priority(request))
    start_ms = max(wait_ms, option.source.ready_in_ms)
    return Choice(
        candidate=option.candidate,
        expected_ms=start_ms + option.service_ms,
        service_ms=option.service_ms,
        prefill_tokens=option.prefill_tokens,
        fetch_from=option.source.address,
        salt=option.salt,
        ready_in_ms=option.source.ready_in_ms,
    )


def engine_priority(request: RoutedRequest) -> int:
    """Return the priority of a request at engines; 0 is the highest."""
    return min(PRIORITY_LEVELS - 1, request.priority)


def cache_salt(request: RoutedRequest, weights_version: int | None) -> str:
    """Return the cache salt of a request's segments.

    The salt keeps apart the segments of different weights and those of isolated
    organisations. Segments of unknown weights are shared with no other request.

    Args:
        request: The request.
        weights_version: Version of the weights that compute the segments, None if
            unknown.
    """
    organisation = request.organisation
    owner = organisation.name if organisation and organisation.is_isolated else ""
    version = (
        f"unknown-{uuid.uuid4().hex}" if weights_version is None else weights_version
    )
    # Names that contain the separator must not look like other names and versions.
    model = quote(request.caller.prompt.model, safe="")
    return f"{model}/{version}/{quote(owner, safe='')}"


def _zone_penalty_ms(request: RoutedRequest) -> float:
    kilobytes = len(request.caller.body) / 1024
    return OTHER_ZONE_PENALTY_MS + OTHER_ZONE_PENALTY_MS_PER_KB * kilobytes


def _kv_tokens(request: RoutedRequest) -> int:
    prompt = request.caller.prompt
    return prompt.prompt_tokens + prompt.max_output_tokens
