"""The actor that assigns requests to replicas."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import TYPE_CHECKING

import logbook

from crocuswick.actor import Actor
from crocuswick.boot_clock import boot_clock_s
from crocuswick.gossip.messages import ReplicaCrashed, ReplicaLeaving, TargetVersions
from crocuswick.relay.admission_bound import longest_wait_ms
from crocuswick.relay.dispatcher_messages import Placed, Wait
from crocuswick.relay.engine_state import EngineState
from crocuswick.relay.place_refusals import (
    RETRY_AFTER_S,
    budget_spent,
    no_replica,
    overloaded,
)
from crocuswick.relay.poison_guard import PoisonGuard
from crocuswick.relay.prompt_tracker import PromptTracker
from crocuswick.relay.relay_request import Attempt
from crocuswick.relay.replica import ReplicaState
from crocuswick.relay.replica_chooser import (
    Choice,
    ReplicaChooser,
    engine_priority,
)
from crocuswick.relay.replica_health import AttemptResult, ReplicaHealth
from crocuswick.relay.replica_table import ReplicaTable
from crocuswick.relay.usable_candidates import UsableCandidates
from crocuswick.relay.weights_table import WeightsTable
from crocuswick.relay.windowed_retry_budget import RetryBounds, WindowedRetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from crocuswick.decision_log import DecisionLog
    from crocuswick.errors import Refusal
    from crocuswick.fleet_settings import FleetBounds
    from crocuswick.gossip.messages import GossipMessage
    from crocuswick.relay import dispatcher_messages as messages
    from crocuswick.relay.candidate import Candidate
    from crocuswick.relay.pressure_gate import PressureGate
    from crocuswick.relay.relay_request import RoutedRequest
    from crocuswick.relay.replica import Replica
    from crocuswick.relay.serving import (
        EngineTraits,
        KvStore,
        Service,
        ServingConfiguration,
    )

__all__ = ["RelayDispatcher"]

logger = logbook.Logger(__name__)

PLACE_RETRY_INTERVAL_S = 0.05
"""Interval at which placement is retried while no replica is usable."""

MAX_SEGMENT_WAIT_S = 0.1
"""Longest wait for cached segments before placement is retried, since the load of the
replicas may have changed by then."""

SEGMENT_WAIT_SHARE = 0.5
"""Share of the target latency after which a request no longer waits for cached
segments, even if another engine is about to finish computing them."""

MAX_AWAITED_OUTAGE_S = 3.0
"""Longest expected outage of a paused or loading replica for which a request waits."""

MAX_HOLD_SHARE = 0.4
"""Share of a caller's time for which a request waits for a replica before its first
attempt. The caller then has time to try another node, which may know more replicas."""

NODES_PER_TICK = 12
"""Number of senders to a node for each tick between broadcasts of small prompts. With
more of them each broadcasts less often, so that a node doesn't receive more messages."""

GATED_REJECTIONS = 1_000
"""Rejections that a request may have where the gate itself limits them."""

MIN_NODES = 8
"""Smallest number of nodes assumed when the fleet's retry allowance is divided, so that
a node that knows only a few others takes no larger share."""


class RelayDispatcher(Actor):
    """Owns the state of replicas, load, health, weights and retry budgets.

    Args:
        zone: Zone of this node.
        bounds: Limits on weights and retries from the settings.
        broadcast: Called with each message to broadcast to the peers.
        on_unknown_weights: Called with the id of a replica whose weights are unknown.
        store_crashes: Called with crashes to be stored, and their key.
        log: Log of decisions.
        is_first_start: Whether no earlier process of this node has sent requests.
        gate: Admits requests by the rules for hard load; None without these rules.
    """

    def __init__(
        self,
        *,
        zone: str,
        bounds: FleetBounds,
        broadcast: Callable[[GossipMessage], None],
        on_unknown_weights: Callable[[str], None],
        store_crashes: Callable[[str, Sequence[ReplicaCrashed]], None],
        log: DecisionLog,
        is_first_start: bool = False,
        gate: PressureGate | None = None,
    ):
        super().__init__()
        self._on_unknown_weights = on_unknown_weights
        self._store_crashes = store_crashes
        self._broadcast = broadcast
        self._log = log
        self._bounds = bounds
        self._configuration: ServingConfiguration | None = None
        self._table = ReplicaTable()
        self._weights = WeightsTable()
        self._tracker = PromptTracker(broadcast=broadcast)
        self._chooser = ReplicaChooser(zone=zone, kv_map=self._tracker.kv_map)
        self._poison = PoisonGuard()
        self._health_by_incarnation: dict[str, ReplicaHealth] = defaultdict(
            ReplicaHealth
        )
        self._loading_until_s: dict[str, float] = {}
        self._candidates = UsableCandidates(
            table=self._table,
            weights=self._weights,
            tracker=self._tracker,
            health_by_incarnation=self._health_by_incarnation,
            loading_until_s=self._loading_until_s,
            weights_ms=bounds.weights_ms,
        )
        self._is_first_start = is_first_start
        self._retry_budgets_by_service: dict[str, WindowedRetryBudget] = {}
        self._node_count = MIN_NODES
        self._heard_count = MIN_NODES
        self._small_prompt_ticks = 0
        self._gate = gate

    def on_batch(self, message: messages.Batch) -> None:
        """Handle several messages; one that fails does not affect the others."""
        for each in message.messages:
            try:
                self.on_receive(each)
            except Exception:  # noqa: BLE001 - the content comes from a peer
                logger.exception("handling {} failed", type(each).__name__)

    def on_set_configuration(self, message: messages.SetConfiguration) -> None:
        """Apply a newer configuration."""
        self._configuration = message.configuration
        for service in message.configuration.services_by_name:
            self._retry_budget(service)
        stores = message.configuration.kv_stores
        self._tracker.kv_map.set_store_capacity(
            stores[0].capacity_tokens if stores else 0
        )

    def on_set_bounds(self, message: messages.SetBounds) -> None:
        """Apply changed bounds."""
        self._bounds = message.bounds
        self._candidates.weights_ms = message.bounds.weights_ms
        self._update_retry_budgets()

    def on_replica_updated(self, message: messages.ReplicaUpdated) -> None:
        """Update a replica from its store entry."""
        replica = message.replica
        now_s = time.monotonic()
        before = self._table.find(replica.id, now_s)
        self._table.update(replica)
        after = self._table.find(replica.id, now_s)
        if after is None or after.incarnation != replica.incarnation:
            # The store may execute a write after the replica has restarted.
            self._log.record_state(
                "outdated entry ignored",
                replica=replica.incarnation,
                current=after.incarnation if after else None,
            )
            return
        self._log_draining(replica, before, now_s)
        if before is not None and before.incarnation != after.incarnation:
            self._broadcast_evidence(
                self._poison.replica_ended(before.incarnation, now_s)
            )
            self._discard_incarnation(before.incarnation)
        for model, version in replica.weights_by_model.items():
            self._record_weights(replica.incarnation, model, version)

    def _log_draining(
        self, replica: Replica, before: Replica | None, now_s: float
    ) -> None:
        after = self._table.find(replica.id, now_s)
        if after is None or after.state is not ReplicaState.DRAINING:
            return
        is_known = before is not None and before.incarnation == after.incarnation
        if not is_known or before.state is not ReplicaState.DRAINING:
            self._log.record_state(
                "replica draining", replica=after.incarnation, source="entry"
            )

    def on_replica_removed(self, message: messages.ReplicaRemoved) -> None:
        """Schedule the removal of a replica whose store entry was deleted."""
        now_s = time.monotonic()
        replica = self._table.find(message.replica_id, now_s)
        is_crash = replica is not None and replica.state is ReplicaState.READY
        if is_crash and message.takes_effect_s <= now_s:
            self._broadcast_evidence(
                self._poison.replica_ended(replica.incarnation, now_s)
            )
        self._table.remove(message.replica_id, takes_effect_s=message.takes_effect_s)

    def on_availability_changed(self, message: messages.AvailabilityChanged) -> None:
        """Send no requests to a replica that leaves, or for the time that it named."""
        incarnation = message.incarnation
        if self._table.is_superseded(incarnation, time.monotonic()):
            return
        if message.availability.pause_s is not None:
            self._health_by_incarnation[incarnation].record_pause(
                message.availability.pause_s, time.monotonic()
            )
        if not message.availability.is_leaving:
            return
        if not self._table.mark_leaving(incarnation):
            return
        source = "peer" if message.is_from_peer else "answer"
        self._log.record_state("replica draining", replica=incarnation, source=source)
        if not message.is_from_peer:
            self._broadcast(ReplicaLeaving(incarnation=incarnation))

    def on_replica_unreachable(self, message: messages.ReplicaUnreachable) -> None:
        """Record that a replica is down."""
        now_s = time.monotonic()
        health = self._health_by_incarnation[message.incarnation]
        health.record(AttemptResult.UNREACHABLE, now_s)
        self._broadcast_evidence(self._poison.replica_ended(message.incarnation, now_s))

    def on_is_usable(self, message: messages.IsUsable) -> bool:
        """Return whether a replica may still be sent a request."""
        now_s = time.monotonic()
        health = self._health_by_incarnation[message.incarnation]
        return (
            self._table.is_ready(message.incarnation, now_s)
            and health.paused_for_s(now_s) == 0
            and self._loading_until_s.get(message.incarnation, 0.0) <= now_s
        )

    def on_set_target_version(self, message: messages.SetTargetVersion) -> None:
        """Record a target version."""
        now_s = boot_clock_s()
        if message.age_s is None:
            # Its record may be as old as any; the maximum age is the safe assumption.
            self._weights.assume_target(
                message.model, message.version, now_s - self._candidates.weights_limit_s
            )
            return
        self._weights.set_target(message.model, message.version, now_s - message.age_s)

    def on_get_target_versions(
        self, _message: messages.GetTargetVersions
    ) -> TargetVersions:
        """Return the target versions as a message for a peer."""
        now_s = boot_clock_s()
        return TargetVersions(
            versions=[
                [each.model, each.version, round((now_s - each.announced_s) * 1000)]
                for each in self._weights.observed_targets()
            ]
        )

    def on_weights_served(self, message: messages.WeightsServed) -> None:
        """Record the weights of a replica that has finished loading."""
        if self._table.is_superseded(message.incarnation, time.monotonic()):
            return
        self._loading_until_s.pop(message.incarnation, None)
        self._record_weights(message.incarnation, message.model, message.version)

    def on_replica_loading(self, message: messages.ReplicaLoading) -> None:
        """Send no requests to a replica while it loads weights."""
        now_s = time.monotonic()
        if not self._table.is_superseded(message.incarnation, now_s):
            self._loading_until_s[message.incarnation] = now_s + message.duration_s

    def on_cache_read(self, message: messages.CacheRead) -> None:
        """Apply an engine's cache events to its modelled cache."""
        engine = self._engine_traits(message.incarnation)
        if engine is not None:
            self._tracker.kv_map.apply_events(
                message.incarnation, engine.kv_capacity_tokens, message.events
            )

    def on_store_read(self, message: messages.StoreRead) -> None:
        """Apply the events of the KV-cache store to its model."""
        self._tracker.kv_map.apply_store_events(message.events)

    def on_peer_prompt_sent(self, message: messages.PeerPromptSent) -> None:
        """Record a large prompt that a peer has sent."""
        placed = message.placed
        now_s = time.monotonic()
        if self._table.is_superseded(placed.incarnation, now_s):
            return
        engine = self._engine_traits(placed.incarnation)
        self._tracker.record_peer_placed(placed, engine, now_s)

    def on_peer_small_prompts(self, message: messages.PeerSmallPrompts) -> None:
        """Record a peer's small prompts in the modelled cache."""
        sent = message.prompts
        self._tracker.record_peer_small_prompts(
            sent, self._engine_traits(sent.incarnation)
        )

    def on_broadcast_small_prompts(
        self, _message: messages.BroadcastSmallPrompts
    ) -> None:
        """Broadcast small prompts, less often if more nodes do so."""
        self._small_prompt_ticks += 1
        if self._small_prompt_ticks * NODES_PER_TICK < self._heard_count:
            return
        self._small_prompt_ticks = 0
        self._tracker.broadcast_small_prompts()

    def on_peer_crash(self, message: messages.PeerCrash) -> None:
        """Record a crash that a peer has observed."""
        crashed = message.crashed
        now_s = time.monotonic()
        if self._poison.record_peer_crash(crashed, now_s):
            self._log_crash(crashed, source="peer")
            self._broadcast_evidence(self._poison.answers_to_share(crashed, now_s))
        self._log_verdicts()

    def on_peer_loss(self, message: messages.PeerLoss) -> None:
        """Record a request that a peer has lost."""
        self._poison.record_peer_loss(message.lost, time.monotonic())

    def on_peer_answers(self, message: messages.PeerAnswers) -> None:
        """Record that requests with some prompt segments are answered."""
        self._poison.record_peer_answers(message.answered, time.monotonic())
        self._log_verdicts()

    def on_get_crash_evidence(
        self, message: messages.GetCrashEvidence
    ) -> list[GossipMessage]:
        """Return crashes and lost requests."""
        now_s = time.monotonic()
        crashes = self._poison.crashes(now_s, with_recent=message.with_recent)
        if not message.with_recent:
            return list(crashes)
        # Answers go first: a segment must not be refused because they arrive late.
        answers = self._poison.answers(now_s)
        return [*answers, *crashes, *self._poison.losses(now_s)]

    def on_peer_request_ended(self, message: messages.PeerRequestEnded) -> None:
        """Record the end of a peer's request."""
        self._tracker.record_peer_ended(message.request_id, message.incarnation)

    def on_set_fleet_size(self, message: messages.SetFleetSize) -> None:
        """Divide the retry allowance among the nodes and adapt broadcasts to them."""
        # Unreachable nodes go on sending retries, so the count never falls.
        self._node_count = max(self._node_count, message.count)
        self._heard_count = max(self._heard_count, message.heard_count)
        self._chooser.set_node_count(message.count)
        if self._gate is not None:
            self._gate.set_node_count(message.count)
        self._poison.set_node_count(message.count, time.monotonic())
        self._update_retry_budgets()

    def on_get_engine_states(
        self, _message: messages.GetEngineStates
    ) -> list[EngineState]:
        """Return the state of all replicas with models."""
        now_s = time.monotonic()
        return [
            EngineState(
                replica=replica,
                weights_by_model={
                    model: self._weights.served(replica.incarnation, model) or 0
                    for model in replica.weights_by_model
                },
                prefill_tokens=self._tracker.load(replica.incarnation).prefill_tokens,
                unwanted_for_s=self._health_by_incarnation[
                    replica.incarnation
                ].unwanted_for_s(now_s),
            )
            for replica in self._table.all(now_s)
            if replica.weights_by_model
        ]

    def on_place(self, message: messages.Place) -> Placed | Wait | Refusal:
        """Choose a replica for a request."""
        now_s = time.monotonic()
        request = message.request
        refusal = self._poison.check(request, now_s)
        if refusal is not None:
            return refusal
        service = self._configuration.services_by_name.get(request.service)
        if service is None:
            return no_replica("the service has no definition", None)
        budget = self._retry_budget(request.service)
        if message.earlier_attempts == 0 and not message.has_waited:
            budget.record_request(now_s)
        takes_retry = message.is_retry and not message.has_reserved_retry
        is_rejected = message.is_rejected
        if takes_retry and not budget.can_take(now_s, is_rejected=is_rejected):
            if self._gate is not None and is_rejected:
                return self._gate.refuse_retry(message, budget.state(now_s), now_s)
            return budget_spent(budget.state(now_s))
        if self._gate is None:
            choice = self._choose_within_bound(message, service, now_s)
        else:
            choice = self._choose_with_gate(message, service, now_s)
        if not isinstance(choice, Choice):
            return choice
        if choice.ready_in_ms > 0:
            return Wait(seconds=min(MAX_SEGMENT_WAIT_S, choice.ready_in_ms / 1000))
        if takes_retry:
            budget.take(now_s, is_rejected=is_rejected)
        return self._place(request, choice, now_s)

    def _choose_within_bound(
        self, message: messages.Place, service: Service, now_s: float
    ) -> Choice | Wait | Refusal:
        """Choose a replica; refuse if the expected wait there is too long."""
        request = message.request
        choice, ready_in_s = self._choose(request, service, message.tried, now_s)
        if choice is None:
            return self._wait_or_refuse(message, ready_in_s, now_s)
        excess_ms = choice.expected_ms - longest_wait_ms(
            request, choice.service_ms, now_s
        )
        if excess_ms > 0 and message.earlier_attempts == 0:
            return overloaded(choice.expected_ms, excess_ms)
        return choice

    def _choose_with_gate(
        self, message: messages.Place, service: Service, now_s: float
    ) -> Choice | Wait | Refusal:
        """Choose a replica that has room, by the rules for hard load."""
        request = message.request
        # A replica that has rejected a request is paused for a while and then has room.
        tried = () if message.is_rejected else message.tried
        answer = self._gate.keep_waiting(message, now_s)
        if answer is not None:
            return answer
        candidates, ready_in_s = self._candidates.find(request, tried, now_s)
        if not candidates and (ready_in_s is None or ready_in_s > MAX_AWAITED_OUTAGE_S):
            return self._wait_or_refuse(message, ready_in_s, now_s)
        room = self._gate.room(
            request, service, candidates, now_s, rejections=message.rejections
        )

        def choose() -> Choice | None:
            return self._choose_among(
                request, service, room.candidates, now_s, sources=candidates
            )

        # Held requests ask often; a choice is made only for one that is sent.
        choice = None if self._gate.is_held(request) else choose()
        answer = self._gate.admit(message, room, choice, now_s, ready_in_s=ready_in_s)
        if answer is not None:
            return answer
        choice = choice or choose()
        if choice is None and candidates:
            # The memory of all engines is taken; a started request can't be refused.
            return self._wait_or_refuse(message, PLACE_RETRY_INTERVAL_S, now_s)
        return choice or self._wait_or_refuse(message, ready_in_s, now_s)

    def on_reserve_retry(self, message: messages.ReserveRetry) -> Refusal | None:
        """Reserve a retry for an attempt that is still under way."""
        now_s = time.monotonic()
        request = message.request
        refusal = self._poison.check(request, now_s)
        if refusal is not None:
            return refusal
        service = self._configuration.services_by_name.get(request.service)
        if service is None:
            return no_replica("the service has no definition", None)
        budget = self._retry_budget(request.service)
        if not message.is_reserved and not budget.can_take(now_s):
            return budget_spent(budget.state(now_s))
        choice, ready_in_s = self._choose(request, service, message.tried, now_s)
        if choice is None:
            return no_replica("no other replica is usable now", ready_in_s)
        excess_ms = choice.expected_ms - (request.deadline_s - now_s) * 1000
        if excess_ms > 0:
            return overloaded(choice.expected_ms, excess_ms)
        if not message.is_reserved:
            budget.take(now_s)
        return None

    def on_prompt_computed(self, message: messages.PromptComputed) -> None:
        """Record that a request's prompt has been computed."""
        now_s = time.monotonic()
        self._tracker.record_prompt_computed(
            message.request_id, message.incarnation, now_s
        )
        self._poison.replica_answered(message.incarnation, now_s)

    def on_attempt_ended(self, message: messages.AttemptEnded) -> None:
        """Record the result of an attempt."""
        now_s = time.monotonic()
        attempt = message.attempt
        incarnation = attempt.incarnation
        request_id = message.request.caller.request_id
        self._tracker.record_ended(request_id, incarnation)
        if self._gate is not None:
            self._gate.record_result(message.request, message.result, now_s)
        is_superseded = self._table.is_superseded(incarnation, now_s)
        if not is_superseded:
            self._health_by_incarnation[incarnation].record(message.result, now_s)
        evidence = self._poison.attempt_ended(
            message.request,
            incarnation,
            message.result,
            is_lost_before_answer=message.is_lost_before_answer,
            has_begun=message.has_begun,
            sent_s=message.sent_s,
            is_success=message.is_success,
            is_framed=message.is_framed,
            now_s=now_s,
        )
        self._broadcast_evidence(evidence)
        prompt = message.request.caller.prompt
        if prompt is None or is_superseded:
            return
        if message.result is AttemptResult.OTHER_WEIGHTS:
            self._on_unknown_weights(attempt.replica_id)
        elif message.weights_version is not None:
            self._record_weights(incarnation, prompt.model, message.weights_version)

    def _broadcast_evidence(self, evidence: Sequence[GossipMessage]) -> None:
        for gossip in evidence:
            if isinstance(gossip, ReplicaCrashed):
                self._log_crash(gossip, source="own")
            self._broadcast(gossip)
        if evidence:
            unstored = self._poison.take_unstored(time.monotonic())
            for key, crashes in unstored.items():
                self._store_crashes(key, crashes)
        self._log_verdicts()

    def _log_verdicts(self) -> None:
        for verdict in self._poison.take_verdicts():
            event = "refused" if verdict.is_refused else "served again"
            self._log.record_state(
                f"prompt segment {event}",
                segment=verdict.segment,
                crashed=list(verdict.crashed),
            )

    def _log_crash(self, crashed: ReplicaCrashed, *, source: str) -> None:
        self._log.record_state(
            "crash attributed",
            replica=crashed.incarnation,
            fingerprint=crashed.fingerprint,
            segments=crashed.segments,
            source=source,
        )

    def _record_weights(self, incarnation: str, model: str, version: int) -> None:
        known = self._weights.served(incarnation, model)
        if (
            self._weights.record_served(incarnation, model, version)
            and known is not None
        ):
            # An engine loses its cache when it loads newer weights.
            self._tracker.kv_map.discard(incarnation)

    def _discard_incarnation(self, incarnation: str) -> None:
        self._weights.discard(incarnation)
        self._tracker.discard(incarnation)
        self._health_by_incarnation.pop(incarnation, None)
        self._loading_until_s.pop(incarnation, None)

    def _retry_budget(self, service: str) -> WindowedRetryBudget:
        budget = self._retry_budgets_by_service.get(service)
        if budget is None:
            budget = WindowedRetryBudget(
                bounds=self._retry_bounds(),
                started_s=time.monotonic(),
                is_full=self._is_first_start,
            )
            self._retry_budgets_by_service[service] = budget
        return budget

    def _update_retry_budgets(self) -> None:
        bounds = self._retry_bounds()
        for budget in self._retry_budgets_by_service.values():
            budget.set_bounds(bounds)

    def _retry_bounds(self) -> RetryBounds:
        return RetryBounds(
            ratio=self._bounds.retry_ratio,
            allowance=self._bounds.retry_slack / self._node_count,
            window_s=self._bounds.retry_window_ms / 1000,
        )

    def _engine_traits(self, incarnation: str) -> EngineTraits | None:
        """Return an engine's traits.

        None if it is unknown, not an engine, or has started again since.
        """
        now_s = time.monotonic()
        if self._table.is_superseded(incarnation, now_s):
            return None
        replica_id = incarnation.rpartition("@")[0]
        replica = self._table.find(replica_id, now_s)
        if replica is None or self._configuration is None:
            return None
        service = self._configuration.services_by_name.get(replica.service)
        return service.engine if service else None

    def _choose(
        self,
        request: RoutedRequest,
        service: Service,
        tried: Sequence[str],
        now_s: float,
    ) -> tuple[Choice | None, float | None]:
        """Return the best choice, and without one the time until a replica is usable.

        The time in seconds is None if no replica is expected to become usable.
        """
        candidates, ready_in_s = self._candidates.find(request, tried, now_s)
        targets = candidates
        if self._gate is not None:
            targets = self._gate.room(request, service, candidates, now_s).candidates
        choice = self._choose_among(
            request, service, targets, now_s, sources=candidates
        )
        return choice, ready_in_s

    def _choose_among(
        self,
        request: RoutedRequest,
        service: Service,
        candidates: Sequence[Candidate],
        now_s: float,
        *,
        sources: Sequence[Candidate] | None = None,
    ) -> Choice | None:
        return self._chooser.choose(
            request,
            service,
            candidates,
            self._configuration.kv_stores,
            now_s,
            may_wait=_may_wait_for_segments(request, now_s),
            sources=sources,
        )

    def _wait_or_refuse(
        self, message: messages.Place, ready_in_s: float | None, now_s: float
    ) -> Wait | Refusal:
        request = message.request
        remaining_s = request.deadline_s - now_s
        if message.earlier_attempts == 0:
            received_s = request.caller.received_s
            hold_s = MAX_HOLD_SHARE * (request.deadline_s - received_s)
            remaining_s = received_s + hold_s - now_s
        if ready_in_s is None:
            return no_replica("no replica is known to be up", RETRY_AFTER_S)
        if ready_in_s > min(remaining_s, MAX_AWAITED_OUTAGE_S):
            return no_replica("no replica is up in time", ready_in_s)
        return Wait(seconds=min(PLACE_RETRY_INTERVAL_S, ready_in_s))

    def _place(self, request: RoutedRequest, choice: Choice, now_s: float) -> Placed:
        candidate = choice.candidate
        replica = candidate.replica
        prompt = request.caller.prompt
        queued_tokens = candidate.load.prefill_tokens
        store = self._kv_store()
        is_saved = self._tracker.record_placed(
            request, choice, self._engine_traits(replica.incarnation), store, now_s
        )
        organisation = request.organisation
        limits = {}
        if self._gate is not None:
            self._gate.record_placed(request, now_s)
            limits["max_rejections"] = GATED_REJECTIONS
        attempt = Attempt(
            replica_id=replica.id,
            incarnation=replica.incarnation,
            address=replica.address,
            zone=replica.zone,
            tenant=organisation.name if organisation else "",
            engine_priority=engine_priority(request) if prompt else None,
            cache_salt=choice.salt,
            expected_weights_version=candidate.weights_version,
            shared_segment_id=prompt.shared_segment_id if prompt else "",
            fetch_kv_from=choice.fetch_from,
            store_kv_to=store.address if is_saved else "",
            prefill_tokens=choice.prefill_tokens,
        )
        return Placed(
            attempt=attempt,
            expected_ms=choice.expected_ms,
            queued_tokens=queued_tokens,
            **limits,
        )

    def _kv_store(self) -> KvStore | None:
        stores = self._configuration.kv_stores
        return stores[0] if stores else None


def _may_wait_for_segments(request: RoutedRequest, now_s: float) -> bool:
    held_ms = (now_s - request.caller.received_s) * 1000
    return held_ms < SEGMENT_WAIT_SHARE * request.route.target_latency_ms
