"""Actor that rolls out the target weights to engines."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from crocuswick.actor import Actor, Message
from crocuswick.backoff import backoff_s
from crocuswick.boot_clock import boot_clock_s
from crocuswick.elastic_threads import ElasticThreads
from crocuswick.gossip.messages import (
    LeaseAcquired,
    LeaseReleased,
    ReplicaLoading,
    WeightsServed,
)
from crocuswick.rollouts.engine_orders import WeightsOrder
from crocuswick.rollouts.lease_claims import LeaseClaim, LeaseClaims
from crocuswick.rollouts.lease_takeover import LeaseTakeover
from crocuswick.rollouts.order_lease import OrderLease, Release
from crocuswick.rollouts.rollout_plan import WeightsStep, next_steps, outdated_engines
from crocuswick.rollouts.weights_load import LoadResult, WeightsLoad

if TYPE_CHECKING:
    import threading
    from collections.abc import Callable, Sequence

    from crocuswick.decision_log import DecisionLog
    from crocuswick.gossip.messages import GossipMessage
    from crocuswick.records.store import RecordStore
    from crocuswick.records.store_era import StoreEra
    from crocuswick.relay.engine_state import EngineState
    from crocuswick.relay.replica import Replica
    from crocuswick.rollouts.engine_orders import EngineOrders

__all__ = ["VERSION_CHECK_INTERVAL_S", "RolloutDriver"]

TICK_S = 0.1
LEASE_ANNOUNCE_INTERVAL_S = 0.3
"""Interval at which the lease holder announces itself to the other nodes."""

VERSION_CHECK_INTERVAL_S = 0.5
"""Interval at which a node checks for newly started engines with outdated weights
while no engine is known to be outdated."""

IDLE_POLL_S = 0.05
"""Poll interval and minimum wait before an order; within it, peers are notified that
the engine takes no more requests."""

MAX_IDLE_WAIT_S = 0.4
"""Longest wait for queued prompts; the order makes the engine reject those that have
not started."""

EXPECTED_LOAD_S = 2.0
"""Time for which peers send nothing to a loading engine, unless a later message
extends or ends it."""

FIRST_RETRY_PAUSE_S = 0.2
"""First pause before an order to an engine that did not load is repeated."""

MAX_RETRY_PAUSE_S = 2.0
"""Longest such pause; must be well below the time limit for serving new weights."""

WORKERS = 16


@attrs.define(kw_only=True)
class _Load:
    """An order that was sent and has no known result yet."""

    step: WeightsStep
    started_s: float


class RolloutDriver(Actor):
    """Acquires the order lease, sends orders to engines and tracks their results.

    Args:
        node_id: This node.
        topic: Topic of the lease records.
        handover_s: Minimum time between the last order of one lease holder and the
            first order of the next.
        store: Client of the store, used by one worker at a time.
        era: The store's era, as that client knows it.
        orders: Client of the engines.
        engines: Returns the state of all engines.
        rank: Returns this node's rank among the live nodes for acquiring the lease.
        is_active: Set while engines are outdated; without it, `Tick` is needed only
            every `VERSION_CHECK_INTERVAL_S`.
        publish: Delivers a gossip message to this node and its peers.
        log: Decision log.
    """

    @attrs.frozen(kw_only=True)
    class Tick(Message):
        """Periodic tick."""

    @attrs.frozen(kw_only=True)
    class SetTargetVersion(Message):
        """Sets the target version of a model."""

        model: str
        version: int

    @attrs.frozen(kw_only=True)
    class ClaimEnded(Message):
        """An attempt to acquire or renew the lease has ended."""

        claim: LeaseClaim

    @attrs.frozen(kw_only=True)
    class LoadEnded(Message):
        """An order was executed or abandoned."""

        incarnation: str
        result: LoadResult

    @attrs.frozen(kw_only=True)
    class HolderReleased(Message):
        """Another node has released the lease or failed to renew it."""

        node_id: str
        token: int
        last_order_age_s: float | None
        """Time since its last order, None if it sent none."""

    @attrs.frozen(kw_only=True)
    class HolderActive(Message):
        """Another node sends orders, or is about to."""

        node_id: str
        next_order_in_s: float = 0.0
        """Time until its next order."""

        token: int | None = None
        """Position of the holder's lease record, None if unknown."""

    @attrs.frozen(kw_only=True)
    class SetHandoverTime(Message):
        """Sets the minimum time between the orders of two lease holders."""

        handover_s: float

    @attrs.frozen(kw_only=True)
    class ReleaseLease(Message):
        """Releases the lease permanently because this node shuts down."""

    def __init__(
        self,
        *,
        node_id: str,
        topic: str,
        handover_s: float,
        store: RecordStore,
        era: StoreEra,
        orders: EngineOrders,
        engines: Callable[[], Sequence[EngineState]],
        rank: Callable[[], int],
        is_active: threading.Event,
        publish: Callable[[GossipMessage], None],
        log: DecisionLog,
    ):
        super().__init__()
        self._node_id = node_id
        self._claims = LeaseClaims(node_id=node_id, topic=topic, store=store, era=era)
        self._orders = orders
        self._engines = engines
        self._rank = rank
        self._is_active = is_active
        self._publish = publish
        self._log = log
        self._lease = OrderLease(node_id=node_id, handover_s=handover_s)
        self._target_by_model: dict[str, int] = {}
        self._loads_by_incarnation: dict[str, _Load] = {}
        self._order_counts_by_incarnation: dict[str, int] = {}
        self._failures_by_incarnation: dict[str, int] = {}
        self._paused_until_s: dict[str, float] = {}
        self._takeover = LeaseTakeover(started_s=boot_clock_s())
        self._has_outdated = False
        self._next_check_s = float("-inf")
        self._next_announcement_s = float("-inf")
        self._newest_token = -1
        self._newest_token_at_claim = -1
        self._last_order_s = float("-inf")
        self._is_claiming = False
        self._is_shutting_down = False
        self._workers = ElasticThreads(name="orders", max_threads=WORKERS)

    def on_set_target_version(self, message: SetTargetVersion) -> None:
        """Raise the target version of a model."""
        known = self._target_by_model.get(message.model, 0)
        self._target_by_model[message.model] = max(known, message.version)
        self._continue_rollout()

    def on_tick(self, _message: Tick) -> None:
        """Send orders to outdated engines."""
        if self._has_outdated or boot_clock_s() >= self._next_check_s:
            self._continue_rollout()

    def on_holder_active(self, message: HolderActive) -> None:
        """Leave the rollout to the lease holder."""
        if message.token is not None:
            self._lease.other_acquired(message.node_id)
            self._newest_token = max(self._newest_token, message.token)
            if self._lease.token is not None and message.token > self._lease.token:
                self._release()
        self._takeover.holder_seen(boot_clock_s(), next_in_s=message.next_order_in_s)

    def on_holder_released(self, message: HolderReleased) -> None:
        """Record that another node sends no more orders under its lease."""
        last_order_s = (
            float("-inf")
            if message.last_order_age_s is None
            else boot_clock_s() - message.last_order_age_s
        )
        self._lease.holder_released(
            message.node_id, Release(token=message.token, last_order_s=last_order_s)
        )
        if message.token >= self._newest_token:
            self._newest_token = message.token
            self._takeover.holder_released(boot_clock_s())

    def on_release_lease(self, _message: ReleaseLease) -> None:
        """Stop sending orders and notify the other nodes."""
        self._is_shutting_down = True
        self._release()

    def on_set_handover_time(self, message: SetHandoverTime) -> None:
        """Change the minimum time between the orders of two lease holders."""
        self._lease.set_handover_time(message.handover_s)

    def on_claim_ended(self, message: ClaimEnded) -> None:
        """Process the result of an attempt to acquire or renew the lease."""
        claim = message.claim
        self._is_claiming = False
        if claim.token is None or self._is_superseded(claim.token):
            self._after_failed_claim(claim)
            return
        self._newest_token = max(self._newest_token, claim.token)
        if claim.is_renewal:
            self._lease.renewed(claim.token, sent_s=claim.sent_s)
        else:
            self._lease_acquired(claim)
        self._continue_rollout()

    def _is_superseded(self, token: int) -> bool:
        """Whether another node announced a later claim before the response arrived.

        Positions known earlier don't count: the store may have begun the topic anew.
        """
        return self._newest_token > max(token, self._newest_token_at_claim)

    def on_load_ended(self, message: LoadEnded) -> None:
        """Process the result of an order."""
        incarnation, result = message.incarnation, message.result
        load = self._loads_by_incarnation.pop(incarnation, None)
        if load is None:
            return
        if result.accepted_orders is not None:
            self._order_counts_by_incarnation[incarnation] = result.accepted_orders
        self._log_load(load, result)
        if result.is_loaded:
            self._failures_by_incarnation.pop(incarnation, None)
            self._publish(
                WeightsServed(
                    incarnation=incarnation,
                    model=load.step.model,
                    version=load.step.version,
                )
            )
        else:
            self._back_off(incarnation)
        self._continue_rollout()

    def _log_load(self, load: _Load, result: LoadResult) -> None:
        self._log.record_state(
            "weights order ended",
            replica=load.step.replica.id,
            model=load.step.model,
            version=load.step.version,
            loaded=result.is_loaded,
            detail=result.detail,
            ms=round((boot_clock_s() - load.started_s) * 1000),
        )

    def _back_off(self, incarnation: str) -> None:
        """Allow requests to an engine that did not load, and retry the order later."""
        failures = self._failures_by_incarnation.get(incarnation, 0)
        self._failures_by_incarnation[incarnation] = failures + 1
        pause_s = backoff_s(
            failures, initial_s=FIRST_RETRY_PAUSE_S, max_s=MAX_RETRY_PAUSE_S
        )
        self._paused_until_s[incarnation] = boot_clock_s() + pause_s
        self._announce_loading(incarnation, 0.0)

    def on_stop(self) -> None:
        """Shut down the threads without waiting for calls in progress."""
        self._workers.stop()

    def _continue_rollout(self) -> None:
        now_s = boot_clock_s()
        if self._is_shutting_down or not self._target_by_model:
            return
        engines = self._engines()
        outdated = outdated_engines(engines, self._target_by_model)
        self._has_outdated = bool(outdated)
        self._next_check_s = now_s + VERSION_CHECK_INTERVAL_S
        if not self._has_outdated:
            self._is_active.clear()
            self._takeover.engines_current()
            return
        self._is_active.set()
        self._takeover.engines_outdated(now_s)
        self._announce_lease(now_s)
        steps = next_steps(
            engines,
            outdated,
            busy_incarnations=self._loads_by_incarnation,
            paused_incarnations=self._paused(now_s),
        )
        if not steps or not self._is_own_turn(now_s):
            return
        if self._lease.needs_renewal(now_s):
            self._claim()
        if self._lease.may_order(now_s):
            for step in steps:
                self._order(step, now_s)

    def _paused(self, now_s: float) -> set[str]:
        return {
            incarnation
            for incarnation, until_s in self._paused_until_s.items()
            if now_s < until_s
        }

    def _is_own_turn(self, now_s: float) -> bool:
        return self._takeover.is_own_turn(
            now_s, rank=self._rank(), holds_lease=self._lease.token is not None
        )

    def _announce_lease(self, now_s: float) -> None:
        """Announce this node as the holder while orders are executed.

        This keeps other nodes from taking the lease over.
        """
        if self._lease.token is None or now_s < self._next_announcement_s:
            return
        self._next_announcement_s = now_s + LEASE_ANNOUNCE_INTERVAL_S
        self._publish(
            LeaseAcquired(
                token=self._lease.token,
                usable_in_ms=round(self._lease.remaining_wait_s(now_s) * 1000),
            )
        )

    # The order lease.

    def _claim(self) -> None:
        if self._is_claiming:
            return
        self._is_claiming = True
        self._newest_token_at_claim = self._newest_token
        self._submit(self._run_claim, self._lease.token, self._newest_token)

    def _run_claim(self, own_token: int | None, newest_token: int) -> None:
        """Acquire or renew the lease; runs on a worker."""
        claim = self._claims.claim(own_token, newest_token=newest_token)
        self.actor_ref.tell(RolloutDriver.ClaimEnded(claim=claim))

    def _lease_acquired(self, claim: LeaseClaim) -> None:
        now_s = boot_clock_s()
        self._lease.acquired(
            claim.token,
            sent_s=claim.sent_s,
            now_s=now_s,
            previous=claim.previous,
            clock_s=time.time(),
            era_since_s=claim.era_since_s,
        )
        usable_in_ms = round(self._lease.remaining_wait_s(now_s) * 1000)
        self._log.record_state(
            "right to order taken",
            token=claim.token,
            previous=claim.previous.node_id if claim.previous else None,
            usable_in_ms=usable_in_ms,
        )
        self._announce_lease(now_s)

    def _after_failed_claim(self, claim: LeaseClaim) -> None:
        self._log.record_state("right to order not renewed", error=claim.error)
        self._release()
        if claim.is_contested:
            self._takeover.holder_seen(boot_clock_s(), next_in_s=0.0)
        else:
            self._takeover.claim_failed(boot_clock_s())

    def _release(self) -> None:
        """Send no more orders, and announce when the last one can have been sent."""
        token = self._lease.token
        # Workers note an order's time before they check the lease, so that a release
        # names the time of each order that is still sent.
        self._lease.lost()
        if token is None:
            return
        # A lease that was never used passes on the wait that it owed to earlier holders.
        last_order_s = max(self._last_order_s, self._lease.earlier_order_s)
        age_ms = None
        if last_order_s > float("-inf"):
            age_ms = round((boot_clock_s() - last_order_s) * 1000)
        self._publish(LeaseReleased(token=token, last_order_age_ms=age_ms))

    # Orders.

    def _order(self, step: WeightsStep, now_s: float) -> None:
        incarnation = step.replica.incarnation
        self._loads_by_incarnation[incarnation] = _Load(step=step, started_s=now_s)
        self._announce_loading(incarnation, EXPECTED_LOAD_S)
        self._submit(self._run_order, step, self._lease.token)

    def _run_order(self, step: WeightsStep, token: int) -> None:
        """Send one order and wait for its effect; runs on a worker."""
        incarnation = step.replica.incarnation
        self._wait_until_idle(incarnation)
        if incarnation not in self._order_counts_by_incarnation:
            self._read_order_count(step.replica)
        load = WeightsLoad(
            orders=self._orders,
            replica=step.replica,
            order=WeightsOrder(
                model=step.model,
                version=step.version,
                holder=self._node_id,
                fencing_token=token,
                expected_orders=self._order_counts_by_incarnation.get(incarnation, 0),
            ),
            on_busy=lambda: self._announce_loading(incarnation, EXPECTED_LOAD_S),
        )
        now_s = boot_clock_s()
        self._last_order_s = now_s
        if self._lease.may_order(now_s):
            result = load.run()
        else:
            result = LoadResult(
                is_loaded=False, detail="the lease was lost", accepted_orders=None
            )
        self.actor_ref.tell(
            RolloutDriver.LoadEnded(incarnation=incarnation, result=result)
        )

    def _read_order_count(self, replica: Replica) -> None:
        """Read how many orders an engine has accepted, also from other nodes.

        Runs on a worker.
        """
        report = self._orders.report(replica)
        if report.is_ok():
            self._order_counts_by_incarnation[replica.incarnation] = (
                report.ok_value.orders
            )

    def _wait_until_idle(self, incarnation: str) -> None:
        """Wait until the prompts that were sent to an engine have been computed."""
        deadline_s = time.monotonic() + MAX_IDLE_WAIT_S
        time.sleep(IDLE_POLL_S)
        while time.monotonic() < deadline_s:
            waiting = [
                engine.prefill_tokens
                for engine in self._engines()
                if engine.replica.incarnation == incarnation
            ]
            if not any(waiting):
                return
            time.sleep(IDLE_POLL_S)

    def _announce_loading(self, incarnation: str, duration_s: float) -> None:
        self._publish(
            ReplicaLoading(incarnation=incarnation, for_ms=round(duration_s * 1000))
        )

    def _submit(self, call: Callable, *arguments: object) -> None:
        self._workers.submit(self._run_logged, call, *arguments)

    def _run_logged(self, call: Callable, *arguments: object) -> None:
        try:
            call(*arguments)
        except Exception as error:
            self._log.record_state("worker failed", error=repr(error))
            raise
