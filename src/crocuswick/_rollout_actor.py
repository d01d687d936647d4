"""The actor that holds the orders lease and drives rollouts."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import attrs
import logbook

from crocuswick.actor import Actor, Message
from crocuswick.endpoints.order_client import OrderClient
from crocuswick.lease import LeaseTable, encode_lease_request
from crocuswick.lease_holder import LeaseHolder
from crocuswick.orders import EngineState, Order, OrderAction
from crocuswick.rollout import (
    Replica,
    ReplicaPhase,
    Rollout,
    RolloutStatus,
    plan_rollout,
    previous_version,
)
from crocuswick.rollout_table import (
    NEW_ROLLOUT_ID,
    ORDERS_RESOURCE,
    RolloutTable,
    encode_rollout,
)
from crocuswick.stable_replicas import StableReplicas
from crocuswick.wanted_versions import WantedVersion, wanted_versions

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.configuration import Configuration, Endpoint
    from crocuswick.lease import HeldLease
    from crocuswick.platform_log import GapFound, LogClient, LogUnavailable, PageRead

__all__ = ["LEASES_STREAM", "RolloutActor", "Tick"]

LEASES_STREAM = "leases"
POLL_THREADS = 8
ORDER_VISIBILITY_TIMEOUT_S = 3.0
"""Time after sending an order for which the engine counts as loading, although its
reported state does not show the order yet."""

ROLLOUT_REFRESH_INTERVAL_S = 600.0

_logger = logbook.Logger("orders")


@attrs.frozen(kw_only=True)
class Tick(Message):
    """Asks the actor to renew the lease and advance the rollouts."""


@attrs.frozen(kw_only=True)
class _SentOrder:
    """A sent order that the engine's state may not show yet."""

    order_id: str
    sent_s: float


class RolloutActor(Actor):
    """Owns the lease and the rollouts, and sends orders to the engines."""

    def __init__(
        self,
        *,
        client: LogClient,
        node_id: str,
        configuration: Callable[[], Configuration],
        publish: Callable[[tuple[Rollout, ...]], None],
        min_ready_s: float,
    ):
        super().__init__()
        self._client = client
        self._configuration = configuration
        self._publish = publish
        self._leases = LeaseTable()
        self._rollouts = RolloutTable()
        self._next_offset = 0
        self._is_caught_up = False
        self._holder = LeaseHolder(
            resource=ORDERS_RESOURCE, node_id=node_id, now_s=time.monotonic()
        )
        self._sent_by_endpoint_id: dict[str, _SentOrder] = {}
        self._status_by_pool_and_model: dict[tuple[str, str], RolloutStatus] = {}
        self._stable_replicas = StableReplicas(min_ready_s=min_ready_s)
        self._refreshed_s = time.monotonic()
        self._executor = ThreadPoolExecutor(max_workers=POLL_THREADS)

    def on_stop(self) -> None:
        """Shut down the polling threads."""
        self._executor.shutdown(wait=False)

    def on_page_read(self, message: PageRead) -> None:
        """Apply a page of the stream."""
        self._is_caught_up = message.is_end
        for record in message.page.records:
            if record.offset < self._next_offset:
                continue
            self._next_offset = record.offset + 1
            grant = self._leases.apply(record)
            if grant is not None:
                self._holder.record_grant(grant, time.monotonic())
            self._rollouts.apply(record, self._leases)
        self._publish(self._rollouts.rollouts())

    def on_gap_found(self, message: GapFound) -> None:
        """Clear the lease table after the log dropped records before they were read."""
        self._next_offset = message.gap.first_retained
        self._leases.restart()

    def on_log_unavailable(self, message: LogUnavailable) -> None:
        """Record that the end of the stream is unknown."""
        self._is_caught_up = False

    def on_tick(self, message: Tick) -> None:
        """Request the lease if due, and advance the rollouts while holding it."""
        wanted = wanted_versions(self._configuration())
        if not (self._is_caught_up and wanted):
            return
        self._request_lease()
        held = self._holder.held(time.monotonic())
        if held is None or not held.can_send(time.monotonic()):
            return
        self._refresh_rollouts()
        self._advance_rollouts(wanted, held)

    def _request_lease(self) -> None:
        sent_s = time.monotonic()
        request = self._holder.due_request(sent_s)
        if request is None:
            return
        result = self._client.append(LEASES_STREAM, [encode_lease_request(request)])
        if result.is_ok():
            self._holder.record_append(result.unwrap().first_offset, sent_s)

    def _advance_rollouts(self, wanted: list[WantedVersion], held: HeldLease) -> None:
        states_by_id = self._read_states(wanted)
        loading = {
            endpoint_id
            for endpoint_id in states_by_id
            if self._phase(endpoint_id, states_by_id[endpoint_id])
            is ReplicaPhase.LOADING
        }
        for each in wanted:
            own_ids = {endpoint.id for endpoint in each.endpoints}
            ordered = self._advance_rollout(
                each, states_by_id, held, len(loading - own_ids)
            )
            loading |= set(ordered)

    def _advance_rollout(
        self,
        wanted: WantedVersion,
        states_by_id: dict[str, EngineState | None],
        held: HeldLease,
        loading_elsewhere: int,
    ) -> tuple[str, ...]:
        """Advance one model in one pool; return the ids of the endpoints to load next."""
        rollout = self._rollouts.rollout(wanted.pool, wanted.model)
        is_new = rollout is None or rollout.new_version != wanted.weights_version
        rollout_id = NEW_ROLLOUT_ID if is_new else rollout.id
        replicas = [
            self._replica(endpoint, wanted.model, states_by_id[endpoint.id], rollout_id)
            for endpoint in wanted.endpoints
        ]
        if is_new:
            self._start_rollout(wanted, replicas)
            return ()
        plan = plan_rollout(rollout, replicas, loading_elsewhere=loading_elsewhere)
        self._log_status(rollout, plan.status)
        if plan.status is RolloutStatus.MUST_ROLL_BACK:
            self._append(attrs.evolve(rollout, is_rolled_back=True))
            return ()
        for endpoint in wanted.endpoints:
            if endpoint.id in plan.endpoint_ids:
                self._send(rollout, endpoint, held)
        return plan.endpoint_ids

    def _start_rollout(self, wanted: WantedVersion, replicas: list[Replica]) -> None:
        reachable = [
            each for each in replicas if each.phase is not ReplicaPhase.UNREACHABLE
        ]
        is_served = all(
            each.weights_version == wanted.weights_version for each in reachable
        )
        has_previous = self._rollouts.rollout(wanted.pool, wanted.model) is not None
        if is_served and not has_previous:
            return
        # Recorded even if no replica has to load, so that weights which were rolled
        # back are tried again when the configuration asks for them again.
        self._append(
            Rollout(
                id=NEW_ROLLOUT_ID,
                pool=wanted.pool,
                model=wanted.model,
                old_version=previous_version(replicas, wanted.weights_version),
                new_version=wanted.weights_version,
            )
        )

    def _send(self, rollout: Rollout, endpoint: Endpoint, held: HeldLease) -> None:
        now_s = time.monotonic()
        # Checked before each order because the process may have been paused.
        if not held.can_send(now_s):
            return
        order = Order(
            order_id=_order_id(rollout, endpoint.id),
            fencing_token=held.fencing_token,
            action=OrderAction.LOAD_MODEL,
            model=rollout.model,
            weights_version=rollout.target_version,
        )
        self._sent_by_endpoint_id[endpoint.id] = _SentOrder(
            order_id=order.order_id, sent_s=now_s
        )
        client = OrderClient(endpoint_id=endpoint.id, address=endpoint.address)
        receipt = client.send(order)
        if receipt.is_ok() and not receipt.unwrap().accepted:
            _logger.warning(
                "engine {} has seen a newer fencing token, lease dropped", endpoint.id
            )
            self._holder.drop()

    def _read_states(
        self, wanted: list[WantedVersion]
    ) -> dict[str, EngineState | None]:
        endpoints_by_id = {
            endpoint.id: endpoint for each in wanted for endpoint in each.endpoints
        }
        states = self._executor.map(_read_state, endpoints_by_id.values())
        return dict(zip(endpoints_by_id, states, strict=True))

    def _replica(
        self,
        endpoint: Endpoint,
        model: str,
        state: EngineState | None,
        rollout_id: int,
    ) -> Replica:
        if state is None:
            return Replica(endpoint_id=endpoint.id, phase=ReplicaPhase.UNREACHABLE)
        roll_forward_id = _roll_forward_order_id(rollout_id, endpoint.id)
        return Replica(
            endpoint_id=endpoint.id,
            phase=self._phase(endpoint.id, state),
            weights_version=state.versions_by_model.get(model, ""),
            has_failed=state.failed_order_id == roll_forward_id,
        )

    def _phase(self, endpoint_id: str, state: EngineState | None) -> ReplicaPhase:
        phase = self._reported_phase(endpoint_id, state)
        if phase is not ReplicaPhase.READY:
            self._stable_replicas.remove(endpoint_id)
            return phase
        is_stable = self._stable_replicas.is_stable(
            endpoint_id, state.versions_by_model, time.monotonic()
        )
        return phase if is_stable else ReplicaPhase.LOADING

    def _reported_phase(
        self, endpoint_id: str, state: EngineState | None
    ) -> ReplicaPhase:
        if state is None:
            return ReplicaPhase.UNREACHABLE
        sent = self._sent_by_endpoint_id.get(endpoint_id)
        if sent is not None and state.last_order_id != sent.order_id:
            is_in_flight = time.monotonic() - sent.sent_s < ORDER_VISIBILITY_TIMEOUT_S
            return ReplicaPhase.LOADING if is_in_flight else _to_phase(state)
        return _to_phase(state)

    def _append(self, rollout: Rollout) -> None:
        record = encode_rollout(rollout, lease_id=self._holder.lease_id)
        self._client.append(LEASES_STREAM, [record])

    def _refresh_rollouts(self) -> None:
        """Append all rollouts again if due, before the log drops their records."""
        if time.monotonic() - self._refreshed_s < ROLLOUT_REFRESH_INTERVAL_S:
            return
        self._refreshed_s = time.monotonic()
        for rollout in self._rollouts.rollouts():
            self._append(rollout)

    def _log_status(self, rollout: Rollout, status: RolloutStatus) -> None:
        pool_and_model = (rollout.pool, rollout.model)
        if self._status_by_pool_and_model.get(pool_and_model) is status:
            return
        self._status_by_pool_and_model[pool_and_model] = status
        _logger.info(
            "rollout of {} {} in {} is {}",
            rollout.model,
            rollout.target_version,
            rollout.pool,
            status,
        )


def _read_state(endpoint: Endpoint) -> EngineState | None:
    client = OrderClient(endpoint_id=endpoint.id, address=endpoint.address)
    return client.state().unwrap_or(None)


def _to_phase(state: EngineState) -> ReplicaPhase:
    try:
        return ReplicaPhase(state.state)
    except ValueError:
        return ReplicaPhase.UNREACHABLE


def _order_id(rollout: Rollout, endpoint_id: str) -> str:
    roll_forward_id = _roll_forward_order_id(rollout.id, endpoint_id)
    return f"{roll_forward_id}-back" if rollout.is_rolled_back else roll_forward_id


def _roll_forward_order_id(rollout_id: int, endpoint_id: str) -> str:
    return f"rollout-{rollout_id}-{endpoint_id}"
