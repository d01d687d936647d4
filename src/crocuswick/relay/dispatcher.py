"""The active object that decides where each request goes."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from crocuswick.actor import Actor, Message
from crocuswick.errors import Refusal
from crocuswick.news.messages import (
    Crashed,
    PartsUsed,
    PromptBegun,
    PromptEnded,
    PromptPlaced,
)
from crocuswick.quarantine import CrashReport, Quarantine, request_fingerprint
from crocuswick.relay.admission_bound import longest_wait_ms
from crocuswick.relay.crash_blame import CrashBlame
from crocuswick.relay.engine_load import EngineLoad
from crocuswick.relay.engine_state import EngineState
from crocuswick.relay.kv_map import KvMap, ModelledCache
from crocuswick.relay.relay_request import Attempt, RoutedRequest
from crocuswick.relay.repeat_budget import RepeatBudget
from crocuswick.relay.replica import Replica
from crocuswick.relay.replica_chooser import (
    Candidate,
    ReplicaChooser,
    engine_priority,
)
from crocuswick.relay.replica_health import AttemptResult, ReplicaHealth
from crocuswick.relay.replica_table import ReplicaTable
from crocuswick.relay.serving import ServingConfiguration
from crocuswick.relay.small_prompts import SmallPrompts
from crocuswick.relay.weights_table import WeightsTable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from crocuswick.fleet_settings import FleetBounds
    from crocuswick.news.messages import News
    from crocuswick.relay.replica_chooser import Choice

__all__ = ["Placed", "RelayDispatcher", "Wait"]

WAIT_STEP_S = 0.05
"""Time after which a request that found no replica asks again."""

WEIGHTS_MARGIN_S = 1.0
"""Time before the bound of older weights at which they get no more requests."""

MIN_RETRY_AFTER_S = 0.3
"""Shortest time to come back; within less an engine's queue hardly changes."""

RETRY_AFTER_S = 1.0
"""Retry-After where nothing is known of when a replica is back."""

EXPECTED_OUTAGE_S = 3.0
"""Time for which replicas that are paused or load weights are worth waiting for."""

MIN_NODES = 4
"""Nodes among which the slack of repeats is shared out at the least."""

TOLD_TOKENS = 2_048
"""Prompts from this size on are told to peers; smaller ones hardly fill an engine."""


@attrs.frozen(kw_only=True)
class Placed:
    """Where a request goes."""

    attempt: Attempt
    expected_ms: float
    """Expected time to the first event."""

    queued_tokens: int
    """Prompt tokens of all ranks that the replica has still to compute."""


@attrs.frozen(kw_only=True)
class Wait:
    """No replica can take the request now, but one is expected to."""

    seconds: float
    """Time after which to ask again."""


class RelayDispatcher(Actor):
    """Owns the tables of replicas, load, health, weights and repeats.

    Args:
        zone: Zone of this node.
        bounds: Bounds that the users state.
        on_news: Called with what peers are to know.
        on_doubt: Called with the id of a replica whose weights are not known.
    """

    @attrs.frozen(kw_only=True)
    class UseConfiguration(Message):
        """A newer configuration is in force."""

        configuration: ServingConfiguration

    @attrs.frozen(kw_only=True)
    class ReplicaSeen(Message):
        """A replica's entry was read."""

        replica: Replica

    @attrs.frozen(kw_only=True)
    class ReplicaRemoved(Message):
        """A replica's entry was removed."""

        replica_id: str
        takes_effect_s: float

    @attrs.frozen(kw_only=True)
    class WeightsNamed(Message):
        """Newer weights are wanted."""

        model: str
        version: int

    @attrs.frozen(kw_only=True)
    class WeightsServed(Message):
        """A replica is known to serve a version."""

        incarnation: str
        model: str
        version: int

    @attrs.frozen(kw_only=True)
    class ReplicaLoading(Message):
        """A replica loads weights and runs nothing new meanwhile."""

        incarnation: str
        for_s: float

    @attrs.frozen(kw_only=True)
    class PeerPlaced(Message):
        """Another node has sent a large prompt to a replica."""

        placed: PromptPlaced

    @attrs.frozen(kw_only=True)
    class PeerParts(Message):
        """Another node has sent small prompts to a replica."""

        used: PartsUsed

    @attrs.frozen(kw_only=True)
    class TellParts(Message):
        """Tell the peers of small prompts that were sent since the last time."""

    @attrs.frozen(kw_only=True)
    class PeerCrash(Message):
        """Another node has seen a crash."""

        crashed: Crashed

    @attrs.frozen(kw_only=True)
    class PeerEnded(Message):
        """Another node's large prompt has ended."""

        request_id: str
        incarnation: str

    @attrs.frozen(kw_only=True)
    class NodesKnown(Message):
        """How many nodes the fleet has, this one included."""

        count: int

    @attrs.frozen(kw_only=True)
    class Place(Message):
        """Asks where a request goes; answered by `Placed`, `Wait` or a refusal."""

        request: RoutedRequest
        tried: tuple[str, ...]
        """Incarnations that have had the request."""

        is_repeat: bool
        """Whether a replica has received the request before."""

        sent_before: int = 0

    @attrs.frozen(kw_only=True)
    class Begun(Message):
        """A stream's first event has arrived."""

        request_id: str
        incarnation: str

    @attrs.frozen(kw_only=True)
    class Ended(Message):
        """An attempt has ended."""

        request: RoutedRequest
        attempt: Attempt
        result: AttemptResult
        weights_version: int | None = None
        is_lost_unbegun: bool = False
        """Whether the connection was lost before anything of the answer came."""

    @attrs.frozen(kw_only=True)
    class Engines(Message):
        """Asks for the state of all replicas that have models."""

    def __init__(
        self,
        *,
        zone: str,
        bounds: FleetBounds,
        on_news: Callable[[News], None],
        on_doubt: Callable[[str], None],
    ):
        super().__init__()
        self._on_doubt = on_doubt
        self._zone = zone
        self._on_news = on_news
        self._bounds = bounds
        self._configuration: ServingConfiguration | None = None
        self._table = ReplicaTable()
        self._weights = WeightsTable()
        self._kv_map = KvMap()
        self._chooser = ReplicaChooser(zone=zone, kv_map=self._kv_map)
        self._loads_by_incarnation: dict[str, EngineLoad] = defaultdict(EngineLoad)
        self._health_by_incarnation: dict[str, ReplicaHealth] = defaultdict(
            ReplicaHealth
        )
        self._loading_until_s: dict[str, float] = {}
        self._budgets_by_service: dict[str, RepeatBudget] = {}
        self._nodes = MIN_NODES
        self._told_requests: set[str] = set()
        self._small_prompts = SmallPrompts()
        self._quarantine = Quarantine()
        self._blame = CrashBlame()

    def on_use_configuration(self, message: UseConfiguration) -> None:
        """Serve with a newer configuration."""
        self._configuration = message.configuration
        stores = message.configuration.kv_stores
        self._kv_map.use_store(stores[0].capacity_tokens if stores else 0)

    def on_replica_seen(self, message: ReplicaSeen) -> None:
        """Take a replica's entry."""
        replica = message.replica
        now_s = time.monotonic()
        before = self._table.find(replica.id, now_s)
        self._table.update(replica)
        if before is not None and before.incarnation != replica.incarnation:
            self._report_crash(before.incarnation, now_s)
            self._forget(before.incarnation)
        for model, version in replica.weights_by_model.items():
            self._learn(replica.incarnation, model, version)

    def on_replica_removed(self, message: ReplicaRemoved) -> None:
        """Note that a replica's entry was removed."""
        self._table.remove(message.replica_id, takes_effect_s=message.takes_effect_s)

    def on_weights_named(self, message: WeightsNamed) -> None:
        """Note newer weights."""
        self._weights.name(message.model, message.version, time.monotonic())

    def on_weights_served(self, message: WeightsServed) -> None:
        """Note the weights of a replica, which has ended loading."""
        self._loading_until_s.pop(message.incarnation, None)
        self._learn(message.incarnation, message.model, message.version)

    def on_replica_loading(self, message: ReplicaLoading) -> None:
        """Send nothing to a replica while it loads."""
        self._loading_until_s[message.incarnation] = time.monotonic() + message.for_s

    def on_peer_placed(self, message: PeerPlaced) -> None:
        """Count what another node has sent."""
        placed = message.placed
        self._loads_by_incarnation[placed.incarnation].record_sent(
            placed.request_id,
            prefill_tokens=placed.prefill_tokens,
            kv_tokens=placed.kv_tokens,
            priority=placed.priority,
            now_s=time.monotonic(),
        )
        self._record_parts(placed)

    def on_peer_parts(self, message: PeerParts) -> None:
        """Enter another node's small prompts into the modelled caches."""
        self._enter_parts(message.used)

    def on_tell_parts(self, _message: TellParts) -> None:
        """Tell the peers of small prompts."""
        for used in self._small_prompts.take():
            self._on_news(used)

    def on_peer_crash(self, message: PeerCrash) -> None:
        """Take a crash that another node has seen."""
        report = CrashReport(
            fingerprint=message.crashed.fingerprint,
            endpoint_id=message.crashed.incarnation,
        )
        self._quarantine.add([report], now_s=time.monotonic())

    def on_peer_ended(self, message: PeerEnded) -> None:
        """Note the end of what another node has sent."""
        self._loads_by_incarnation[message.incarnation].record_ended(message.request_id)
        self._kv_map.abandoned(message.request_id)

    def on_nodes_known(self, message: NodesKnown) -> None:
        """Share the slack of repeats among the nodes."""
        self._nodes = max(MIN_NODES, message.count)

    def on_engines(self, _message: Engines) -> list[EngineState]:
        """Return the state of all replicas that have models."""
        return [
            EngineState(
                replica=replica,
                weights_by_model={
                    model: self._weights.served(replica.incarnation, model) or 0
                    for model in replica.weights_by_model
                },
                prefill_tokens=self._loads_by_incarnation[
                    replica.incarnation
                ].prefill_tokens,
            )
            for replica in self._table.all(time.monotonic())
            if replica.weights_by_model
        ]

    def on_place(self, message: Place) -> Placed | Wait | Refusal:
        """Choose a replica for a request."""
        now_s = time.monotonic()
        request = message.request
        poison = self._poison_refusal(request, now_s)
        if poison is not None:
            return poison
        service = self._configuration.services_by_name.get(request.service)
        if service is None:
            return _no_replica("the service has no definition", None)
        budget = self._budget(request.service)
        if message.sent_before == 0:
            budget.record_request(now_s)
        elif message.is_repeat and not budget.can_take(now_s):
            return _no_replica("the budget of repeats is spent", RETRY_AFTER_S)
        candidates, ready_in_s = self._candidates(request, message.tried, now_s)
        choice = self._chooser.choose(
            request, service, candidates, self._configuration.kv_stores, now_s
        )
        if choice is None:
            return self._wait_or_refuse(request, ready_in_s, now_s)
        excess_ms = choice.expected_ms - longest_wait_ms(request, now_s)
        if excess_ms > 0 and message.sent_before == 0:
            return _overloaded(choice.expected_ms, excess_ms)
        if message.is_repeat:
            budget.take(now_s)
        return self._place(request, choice, now_s)

    def on_begun(self, message: Begun) -> None:
        """Note that a request's prompt has been computed."""
        load = self._loads_by_incarnation.get(message.incarnation)
        if load is None:
            return
        load.record_begun(message.request_id, time.monotonic())
        self._kv_map.computed(message.request_id)
        if message.request_id in self._told_requests:
            self._on_news(
                PromptBegun(
                    request_id=message.request_id, incarnation=message.incarnation
                )
            )

    def on_ended(self, message: Ended) -> None:
        """Take the result of an attempt."""
        now_s = time.monotonic()
        attempt = message.attempt
        incarnation = attempt.incarnation
        request_id = message.request.caller.request_id
        self._loads_by_incarnation[incarnation].record_ended(request_id)
        self._kv_map.abandoned(request_id)
        if request_id in self._told_requests:
            self._told_requests.discard(request_id)
            self._on_news(PromptEnded(request_id=request_id, incarnation=incarnation))
        health = self._health_by_incarnation[incarnation]
        health.record(message.result, now_s)
        self._judge_crash(message, now_s)
        prompt = message.request.caller.prompt
        if prompt is None:
            return
        if message.result is AttemptResult.OTHER_WEIGHTS:
            self._on_doubt(attempt.replica_id)
        elif message.weights_version is not None:
            self._learn(incarnation, prompt.model, message.weights_version)

    def _poison_refusal(self, request: RoutedRequest, now_s: float) -> Refusal | None:
        """Refuse a request that crashed replicas, here or at other nodes."""
        if self._quarantine.is_empty:
            return None
        checked = self._quarantine.check(_fingerprint(request), now_s=now_s)
        return checked.err_value if checked.is_err() else None

    def _judge_crash(self, message: Ended, now_s: float) -> None:
        """Blame requests for a crash, or clear them."""
        incarnation = message.attempt.incarnation
        if message.result is AttemptResult.UNREACHABLE:
            self._report_crash(incarnation, now_s)
        elif message.result is AttemptResult.FAILED and message.is_lost_unbegun:
            self._blame.record_loss(_fingerprint(message.request), incarnation, now_s)
        elif message.result is AttemptResult.ANSWERED:
            self._blame.answered(incarnation)
            if not self._quarantine.is_empty:
                self._quarantine.exonerate(_fingerprint(message.request))

    def _report_crash(self, incarnation: str, now_s: float) -> None:
        reports = self._blame.confirm(incarnation, now_s)
        for report in self._quarantine.add(reports, now_s=now_s):
            self._on_news(
                Crashed(fingerprint=report.fingerprint, incarnation=incarnation)
            )

    def _learn(self, incarnation: str, model: str, version: int) -> None:
        known = self._weights.served(incarnation, model)
        if self._weights.learn(incarnation, model, version) and known is not None:
            self._kv_map.forget(incarnation)

    def _forget(self, incarnation: str) -> None:
        self._weights.forget(incarnation)
        self._kv_map.forget(incarnation)
        self._loads_by_incarnation.pop(incarnation, None)
        self._health_by_incarnation.pop(incarnation, None)
        self._loading_until_s.pop(incarnation, None)

    def _budget(self, service: str) -> RepeatBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            bounds = self._bounds
            budget = self._budgets_by_service[service] = RepeatBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack / self._nodes,
                window_s=bounds.retry_window_ms / 1000,
            )
        return budget

    def _candidates(
        self, request: RoutedRequest, tried: Sequence[str], now_s: float
    ) -> tuple[list[Candidate], float | None]:
        """Return the allowed replicas, and when another is expected to be."""
        candidates = []
        ready_in_s: float | None = None
        for replica in self._table.usable(request.service, now_s):
            incarnation = replica.incarnation
            if incarnation in tried:
                continue
            loading_s = self._loading_until_s.get(incarnation, 0.0) - now_s
            paused_s = self._health_by_incarnation[incarnation].paused_for_s(now_s)
            away_s = max(loading_s, paused_s)
            if away_s > 0:
                ready_in_s = min(away_s, ready_in_s or away_s)
                continue
            candidate = self._candidate(request, replica, now_s)
            if self._is_too_old(candidate):
                ready_in_s = min(1.0, ready_in_s or 1.0)
                continue
            candidates.append(candidate)
        return candidates, ready_in_s

    def _candidate(
        self, request: RoutedRequest, replica: Replica, now_s: float
    ) -> Candidate:
        weights = age_s = None
        prompt = request.caller.prompt
        if prompt is not None:
            weights = self._weights.served(replica.incarnation, prompt.model)
            named = self._weights.named(prompt.model)
            if named is not None and (weights or 0) < named.version:
                age_s = now_s - named.named_s
        return Candidate(
            replica=replica,
            load=self._loads_by_incarnation[replica.incarnation],
            health=self._health_by_incarnation[replica.incarnation],
            weights=weights,
            weights_age_s=age_s,
        )

    def _is_too_old(self, candidate: Candidate) -> bool:
        limit_s = self._bounds.weights_ms / 1000 - WEIGHTS_MARGIN_S
        return (candidate.weights_age_s or 0.0) >= limit_s

    def _wait_or_refuse(
        self, request: RoutedRequest, ready_in_s: float | None, now_s: float
    ) -> Wait | Refusal:
        remaining_s = request.deadline_s - now_s
        if ready_in_s is None:
            return _no_replica("no replica is known to be up", RETRY_AFTER_S)
        if ready_in_s > min(remaining_s, EXPECTED_OUTAGE_S):
            return _no_replica("no replica is up in time", ready_in_s)
        return Wait(seconds=min(WAIT_STEP_S, ready_in_s))

    def _place(self, request: RoutedRequest, choice: Choice, now_s: float) -> Placed:
        candidate = choice.candidate
        replica = candidate.replica
        prompt = request.caller.prompt
        kv_tokens = prompt.prompt_tokens + prompt.max_output_tokens if prompt else 0
        queued_tokens = candidate.load.prefill_tokens
        candidate.load.record_sent(
            request.caller.request_id,
            prefill_tokens=choice.prefill_tokens,
            kv_tokens=kv_tokens,
            priority=engine_priority(request),
            now_s=now_s,
        )
        is_saved = prompt is not None and self._note_prompt(request, choice, kv_tokens)
        organisation = request.organisation
        attempt = Attempt(
            replica_id=replica.id,
            incarnation=replica.incarnation,
            address=replica.address,
            zone=replica.zone,
            tenant=organisation.name if organisation else "",
            engine_priority=engine_priority(request) if prompt else None,
            cache_salt=choice.salt,
            expected_weights=candidate.weights,
            shared_part=prompt.shared_part_id if prompt else "",
            fetch_kv_from=choice.fetch_from,
            store_kv_to=self._store_address() if is_saved else "",
            prefill_tokens=choice.prefill_tokens,
        )
        return Placed(
            attempt=attempt,
            expected_ms=choice.expected_ms,
            queued_tokens=queued_tokens,
        )

    def _store_address(self) -> str:
        return self._configuration.kv_stores[0].address

    def _note_prompt(
        self, request: RoutedRequest, choice: Choice, kv_tokens: int
    ) -> bool:
        """Remember where a shared part will be cached, and tell of large prompts.

        Returns:
            Whether the engine is to save the parts to the store.
        """
        prompt = request.caller.prompt
        incarnation = choice.candidate.replica.incarnation
        tokens_by_part = {part.id: part.tokens for part in prompt.shared_parts}
        if kv_tokens < TOLD_TOKENS:
            used = PartsUsed(
                incarnation=incarnation,
                salt=choice.salt,
                tokens_by_part=tokens_by_part,
                other_tokens=kv_tokens - prompt.shared_tokens,
            )
            self._enter_parts(used)
            self._small_prompts.add(used)
            return False
        part_id = prompt.shared_part_id
        is_saved = bool(
            part_id
            and self._configuration.kv_stores
            and not self._kv_map.is_stored(choice.salt, part_id)
            and not self._kv_map.is_being_saved(choice.salt, part_id)
        )
        placed = PromptPlaced(
            request_id=request.caller.request_id,
            incarnation=incarnation,
            prefill_tokens=choice.prefill_tokens,
            kv_tokens=kv_tokens,
            priority=engine_priority(request),
            salt=choice.salt,
            tokens_by_part=tokens_by_part,
            is_saved=is_saved,
        )
        self._record_parts(placed)
        self._told_requests.add(request.caller.request_id)
        self._on_news(placed)
        return is_saved

    def _enter_parts(self, used: PartsUsed) -> None:
        cache = self._cache(used.incarnation)
        for part_id, tokens in used.tokens_by_part.items():
            cache.use((used.salt, part_id), tokens)
        cache.fill(used.other_tokens)

    def _record_parts(self, placed: PromptPlaced) -> None:
        """Enter a large prompt into the modelled caches."""
        self._cache(placed.incarnation)
        self._kv_map.begin(
            placed.request_id,
            placed.incarnation,
            placed.salt,
            placed.tokens_by_part,
            other_tokens=placed.kv_tokens - sum(placed.tokens_by_part.values()),
            is_saved=placed.is_saved,
        )

    def _cache(self, incarnation: str) -> ModelledCache:
        replica_id = incarnation.rpartition("@")[0]
        replica = self._table.find(replica_id, time.monotonic())
        services = self._configuration.services_by_name if self._configuration else {}
        service = services.get(replica.service) if replica else None
        engine = service.engine if service else None
        capacity_tokens = engine.kv_capacity_tokens if engine else 0
        return self._kv_map.engine(incarnation, capacity_tokens)


def _fingerprint(request: RoutedRequest) -> str:
    """Return what repeats of a request have in common, whoever serves them."""
    return request_fingerprint(
        organisation=request.organisation.name if request.organisation else "",
        model=f"{request.caller.method} {request.caller.host}{request.caller.target}",
        body=request.caller.body,
    )


def _overloaded(expected_ms: float, excess_ms: float) -> Refusal:
    return Refusal(
        status=503,
        title="overloaded",
        detail=(
            "The request was not run: its first event is expected after "
            f"{expected_ms:.0f} ms."
        ),
        step="place",
        retry_after_s=max(MIN_RETRY_AFTER_S, excess_ms / 1000),
    )


def _no_replica(detail: str, retry_after_s: float | None) -> Refusal:
    return Refusal(
        status=503,
        title="no-replica",
        detail=f"The request was not run: {detail}.",
        step="place",
        retry_after_s=retry_after_s or RETRY_AFTER_S,
    )
