"""Admission of requests by the rules for hard load."""

from __future__ import annotations

import random
import threading
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from crocuswick.admission import (
    HeldRequest,
    HeldRequests,
    Hold,
    OrganisationUse,
    RateMeter,
    Refuse,
    ReserveControl,
    Send,
    SmallDemand,
    Waiting,
    contenders,
    decide,
    may_claim,
    repeat_after_s,
)
from crocuswick.relay.admission_bound import is_caller_retry
from crocuswick.relay.dispatcher_messages import Wait
from crocuswick.relay.place_refusals import RETRY_AFTER_S, no_room
from crocuswick.relay.replica_chooser import engine_priority
from crocuswick.relay.replica_health import AttemptResult
from crocuswick.relay.replica_room import (
    NO_ROOM,
    engine_room,
    is_large_request,
    plain_room,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crocuswick.decision_log import DecisionLog
    from crocuswick.errors import Refusal
    from crocuswick.fleet_metrics import FleetMetrics
    from crocuswick.relay.candidate import Candidate
    from crocuswick.relay.dispatcher_messages import Place
    from crocuswick.relay.relay_request import RoutedRequest
    from crocuswick.relay.replica_chooser import Choice
    from crocuswick.relay.replica_room import Room
    from crocuswick.relay.serving import Service

__all__ = ["PressureGate"]

ASK_AGAIN_S = 0.05
"""Mean time after which a held request asks again. It is varied, so that the nodes don't
all see the room that a peer's request leaves at the same time."""

INHERIT_S = 0.2
"""Time for which a held request may take the room that a request of this node left."""

MAX_STATES = 200
"""Held requests with which those that have left are dropped."""

DEFERRED_FACTOR = 4.0
"""Factor by which a request claims room less often if it is late in any case or its
organisation is above its share. That leaves room for other requests of peers."""

IN_TIME_SHARE = 0.9
"""Share of the target latency by which the first event must be expected for a request
to count as in time, a margin for the error of that expectation."""

HIGH_REJECTED_SHARE = 0.35
"""Share of rejected attempts above which no room is foreseen for a repeat. Callers that
come back soon would make others late."""

MAX_REJECTIONS = 3
"""Rejections by full replicas after which a request is refused. Each repeated attempt
counts against the fleet's retries."""


@attrs.define(kw_only=True)
class _Measures:
    """Measures of one service and size class at this node."""

    arrivals: RateMeter = attrs.Factory(RateMeter)
    sends: RateMeter = attrs.Factory(RateMeter)
    use: OrganisationUse = attrs.Factory(OrganisationUse)


@attrs.define(kw_only=True)
class _HeldState:
    """What the gate keeps for a held request besides its place in the queue."""

    wake: threading.Event = attrs.Factory(threading.Event)
    expected_s: float = 0.0
    inherits_until_s: float = 0.0


class PressureGate:
    """Decides which requests are sent, held or refused.

    Args:
        log: Log of decisions.
        metrics: Metrics of the node, None for none.
        seed: Seed for random choices.
    """

    def __init__(
        self,
        *,
        log: DecisionLog,
        metrics: FleetMetrics | None = None,
        seed: int | None = None,
    ):
        self._log = log
        self._metrics = metrics
        self._random = random.Random(seed)
        self._nodes = 1
        self._held = HeldRequests()
        self._states_by_id: dict[str, _HeldState] = {}
        self._demand_by_service: dict[str, SmallDemand] = defaultdict(SmallDemand)
        self._measures: dict[tuple[str, bool], _Measures] = defaultdict(_Measures)
        self._reserves: dict[str, ReserveControl] = defaultdict(ReserveControl)
        self._sent_small: dict[str, tuple[str, int, int]] = {}

    def set_node_count(self, count: int) -> None:
        """Adapt to the number of nodes that share the replicas."""
        self._nodes = max(1, count)

    def is_held(self, request: RoutedRequest) -> bool:
        """Return whether a request is held."""
        return request.caller.request_id in self._held

    def keep_waiting(self, message: Place, now_s: float) -> Wait | Refusal | None:
        """Decide about a large request behind others without looking at the replicas.

        Returns:
            None if the request is small, not held, or the first.
        """
        request = message.request
        state = self._states_by_id.get(request.caller.request_id)
        if state is None or not is_large_request(request) or not self.is_held(request):
            return None
        if _is_started(message):
            return None
        held = self._held_request(request, state.expected_s, now_s)
        if self._held.ahead_of(held, now_s) == 0:
            return None
        return self.admit(message, NO_ROOM, None, now_s)

    def room(
        self,
        request: RoutedRequest,
        service: Service,
        candidates: Sequence[Candidate],
        now_s: float,
        *,
        rejections: int = 0,
    ) -> Room:
        """Return the candidates that have room for a request.

        Args:
            request: The request.
            service: Its service.
            candidates: Usable replicas.
            now_s: Monotonic time.
            rejections: Attempts that replicas have rejected as full.
        """
        if service.engine is None or request.caller.prompt is None:
            return plain_room(candidates)
        demand = self._demand_by_service[request.service]
        peers = demand.of_peers(
            priority=engine_priority(request),
            nodes=self._nodes,
            replicas=len(candidates),
            now_s=now_s,
        )
        correction = self._reserves[request.service].correction
        return engine_room(
            request,
            service,
            candidates,
            peers,
            correction=correction,
            rejections=rejections,
        )

    def admit(
        self,
        message: Place,
        room: Room,
        choice: Choice | None,
        now_s: float,
        *,
        ready_in_s: float | None = None,
    ) -> Wait | Refusal | None:
        """Decide whether a request is sent.

        Args:
            message: The query for a replica.
            room: Result of `room`.
            choice: Where the request would be sent, or where its time was estimated;
                None without a candidate.
            now_s: Monotonic time.
            ready_in_s: Time until a replica becomes usable if there is none.

        Returns:
            None if the request is to be sent now.
        """
        request = message.request
        request_id = request.caller.request_id
        if _is_started(message):
            return None
        if message.earlier_attempts == 0 and not message.has_waited:
            measure = self._measure(request)
            measure.arrivals.record(now_s)
            measure.use.record(_organisation(request), now_s)
        state = self._states_by_id.get(request_id) or _HeldState()
        if choice is not None:
            expected_ms = choice.expected_ms if room.is_certain else choice.service_ms
            state.expected_s = expected_ms / 1000
        held = self._held_request(request, state.expected_s, now_s)
        waiting = self._waiting(message, room, held, state, now_s)
        verdict = decide(waiting, now_s)
        match verdict:
            case Send():
                self._forget(request_id)
                return None
            case Hold():
                self._count("held", "", request)
                return self._hold(held, state, now_s, ready_in_s)
            case Refuse():
                self._forget(request_id)
                return self._refuse(message, room, waiting, verdict, now_s)

    def refuse_retry(self, message: Place, budget: str, now_s: float) -> Refusal:
        """Refuse a rejected request because the fleet's retries are spent.

        Args:
            message: The query for a replica.
            budget: State of the retry budget, for the log.
            now_s: Monotonic time.
        """
        request = message.request
        self._forget(request.caller.request_id)
        rejected_share = self._reserves[request.service].rejected_share
        remaining_s = request.deadline_s - now_s
        if rejected_share > HIGH_REJECTED_SHARE:
            retry_after_s = RETRY_AFTER_S
        else:
            draw = self._random.random()
            retry_after_s = repeat_after_s(0.0, remaining_s, draw)
        self._count("refused", "retries spent", request)
        self._log.record(
            "admission refused",
            failed=True,
            request=request.caller.request_id,
            cause="retries spent",
            route=request.route.name,
            budget=budget,
            rejections=message.rejections,
            rejected_share=round(rejected_share, 2),
            retry_after_s=round(retry_after_s, 2),
        )
        return no_room("retries spent", 0.0, retry_after_s)

    def record_placed(self, request: RoutedRequest, now_s: float) -> None:
        """Record a request that is sent."""
        self._forget(request.caller.request_id)
        self._measure(request).sends.record(now_s)
        prompt = request.caller.prompt
        if is_large_request(request):
            return
        tokens = (
            0 if prompt is None else prompt.prompt_tokens + prompt.max_output_tokens
        )
        self.record_ended(request, now_s)
        priority = engine_priority(request)
        self._sent_small[request.caller.request_id] = (
            request.service,
            priority,
            tokens,
        )
        self._demand_by_service[request.service].begin(priority, tokens, now_s)

    def record_ended(self, request: RoutedRequest, now_s: float) -> None:
        """Record the end of an attempt of this node."""
        sent = self._sent_small.pop(request.caller.request_id, None)
        if sent is not None:
            service, priority, tokens = sent
            self._demand_by_service[service].end(priority, tokens, now_s)

    def record_result(
        self, request: RoutedRequest, result: AttemptResult, now_s: float
    ) -> None:
        """Record the result of an attempt of this node."""
        self.record_ended(request, now_s)
        if result is AttemptResult.BUSY:
            self._reserves[request.service].record_rejected()
        elif result in (AttemptResult.ANSWERED, AttemptResult.CANCELLED):
            if not is_large_request(request):
                self._reserves[request.service].record_accepted()
            self.pass_on_room(request, now_s)

    def pass_on_room(self, request: RoutedRequest, now_s: float) -> None:
        """Let a held request take the room that a request of this node leaves.

        Peers are notified of the end later and see the room only when a held request
        of theirs asks again.
        """
        is_large = is_large_request(request)
        first = self._held.first(request.service, now_s, is_large=is_large)
        if first is None or first.is_late(now_s):
            return
        state = self._states_by_id.get(first.request_id)
        if state is not None:
            state.inherits_until_s = now_s + INHERIT_S
            state.wake.set()

    def _waiting(
        self,
        message: Place,
        room: Room,
        held: HeldRequest,
        state: _HeldState,
        now_s: float,
    ) -> Waiting:
        request = message.request
        measures = self._measure(request)
        ahead = self._held.ahead_of(held, now_s)
        is_held = held.request_id in self._held
        return Waiting(
            received_s=request.caller.received_s,
            deadline_s=request.deadline_s,
            is_returned=held.is_returned,
            is_held=is_held,
            expected_s=state.expected_s,
            has_room=message.rejections < MAX_REJECTIONS
            and self._may_send(request, room, held, state, ahead, now_s),
            ahead=ahead,
            sends_per_s=measures.sends.per_second(now_s),
            is_too_large=room.is_too_large,
            is_queue_full=message.rejections >= MAX_REJECTIONS
            or self._held.is_full_for(held, now_s),
        )

    def _may_send(
        self,
        request: RoutedRequest,
        room: Room,
        held: HeldRequest,
        state: _HeldState,
        ahead: int,
        now_s: float,
    ) -> bool:
        if not room.is_certain:
            return False
        if not held.is_large:
            return room.requests >= 1 and (ahead == 0 or room.requests > ahead)
        if now_s < state.inherits_until_s:
            return room.requests >= 1
        contending = contenders(
            nodes=self._nodes,
            held=self._held.count(request.service, is_large=True),
            arrivals_per_s=self._measure(request).arrivals.per_second(now_s),
        )
        if held.is_late(now_s) or held.is_over_share:
            contending *= DEFERRED_FACTOR
        return may_claim(room.requests, ahead, contending, self._random.random())

    def _held_request(
        self, request: RoutedRequest, expected_s: float, now_s: float
    ) -> HeldRequest:
        received_s = request.caller.received_s
        return HeldRequest(
            request_id=request.caller.request_id,
            service=request.service,
            priority=request.priority,
            is_large=is_large_request(request),
            is_over_share=self._measure(request).use.is_over_share(
                _organisation(request), now_s
            ),
            is_returned=is_caller_retry(request),
            in_time_until_s=(
                received_s
                + IN_TIME_SHARE * request.route.target_latency_ms / 1000
                - expected_s
            ),
        )

    def _hold(
        self,
        held: HeldRequest,
        state: _HeldState,
        now_s: float,
        ready_in_s: float | None,
    ) -> Wait:
        self._held.put(held, now_s)
        self._states_by_id[held.request_id] = state
        if len(self._states_by_id) > MAX_STATES:
            # Callers that leave are not reported; the queue forgets them after a while.
            self._states_by_id = {
                request_id: each
                for request_id, each in self._states_by_id.items()
                if request_id in self._held
            }
        state.wake.clear()
        seconds = ASK_AGAIN_S * self._random.uniform(0.7, 1.3)
        if ready_in_s is not None:
            seconds = min(seconds, ready_in_s)
        return Wait(seconds=seconds, wake=state.wake)

    def _refuse(
        self,
        message: Place,
        room: Room,
        waiting: Waiting,
        verdict: Refuse,
        now_s: float,
    ) -> Refusal:
        request = message.request
        remaining_s = request.deadline_s - now_s
        retry_after_s = repeat_after_s(
            verdict.expected_wait_s, remaining_s, self._random.random()
        )
        cause = verdict.cause
        if message.rejections >= MAX_REJECTIONS:
            cause = "rejected"
        self._count("refused", cause, request)
        self._log.record(
            "admission refused",
            failed=True,
            request=request.caller.request_id,
            cause=cause,
            route=request.route.name,
            organisation=_organisation(request),
            priority=request.priority,
            large=is_large_request(request),
            returned=waiting.is_returned,
            held_ms=round((now_s - waiting.received_s) * 1000),
            remaining_ms=round(remaining_s * 1000),
            expected_ms=round(waiting.expected_s * 1000),
            wait_ms=round(verdict.expected_wait_s * 1000),
            ahead=waiting.ahead,
            sends_per_s=round(waiting.sends_per_s, 2),
            room=round(room.requests, 1),
            open=len(room.candidates),
            replicas=room.replicas,
            rejections=message.rejections,
            nodes=self._nodes,
            retry_after_s=round(retry_after_s, 2),
        )
        return no_room(cause, verdict.expected_wait_s, retry_after_s)

    def _count(self, verdict: str, cause: str, request: RoutedRequest) -> None:
        if self._metrics is not None:
            self._metrics.admission.inc(
                {"verdict": verdict, "cause": cause, "kind": _kind(request)}
            )

    def _measure(self, request: RoutedRequest) -> _Measures:
        return self._measures[request.service, is_large_request(request)]

    def _forget(self, request_id: str) -> None:
        self._held.discard(request_id)
        self._states_by_id.pop(request_id, None)


def _is_started(message: Place) -> bool:
    """Whether a replica may have run the request, so that it can't be refused."""
    return message.earlier_attempts > 0 and not message.is_rejected


def _kind(request: RoutedRequest) -> str:
    if request.caller.prompt is None:
        return "plain"
    return "large" if is_large_request(request) else "small"


def _organisation(request: RoutedRequest) -> str:
    return request.organisation.name if request.organisation else ""
