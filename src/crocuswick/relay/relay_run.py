"""Relaying of one request: placement, attempts and retries."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok

from crocuswick.byte_budget import ByteKind
from crocuswick.draining import draining_refusal
from crocuswick.errors import Refusal
from crocuswick.outcome import Outcome
from crocuswick.relay import dispatcher_messages
from crocuswick.relay.answer_estimate import leaves_time, remaining_events
from crocuswick.relay.dispatcher_messages import Placed, Wait
from crocuswick.relay.event_order import EventOrder
from crocuswick.relay.event_splitter import EventSplitter
from crocuswick.relay.place_refusals import (
    RETRY_AFTER_S,
    no_replica,
)
from crocuswick.relay.refusal_answer import CompleteAnswer, refusal_answer
from crocuswick.relay.relay_request import MISDIRECTED, ResponseHead
from crocuswick.relay.replica import Availability
from crocuswick.relay.replica_health import AttemptResult
from crocuswick.relay.run_report import EndedAttempt, RunReport
from crocuswick.relay.serving import RouteKind
from crocuswick.relay.stall_watch import WatchedAttempt
from crocuswick.relay.upstream import Upstream
from crocuswick.strict_answer import begins_with_framing, has_lost_framing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from crocuswick.errors import PeerError
    from crocuswick.quota.quota_gate import QuotaCharge
    from crocuswick.relay.caller_exchange import CallerExchange
    from crocuswick.relay.event_splitter import StreamEvent
    from crocuswick.relay.relay_context import RelayContext
    from crocuswick.relay.relay_request import Attempt, RoutedRequest

__all__ = ["RelayRun"]

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that assure the caller that the request was not run."""

SERVER_ERROR = 500
UNAVAILABLE = 503
HARD_FIRST_EVENT_FACTOR = 3.0
"""Multiple of the target latency, added to the expected time, after which a stream
without an event is retried even though its engine sends events to others."""

HARD_ANSWER_FACTOR = 1.5
"""Multiple of the target latency, added to the expected time, after which an idempotent
request is retried even though its replica answers others."""

SOFT_GAP_FACTOR = 1.5
"""Multiple of the longest allowed gap after which a stream is resumed at another
replica if its engine is silent on all requests."""

HARD_GAP_FACTOR = 4.0
"""Multiple of the longest allowed gap after which a stream is resumed at another
replica in any case."""

REPLACE_INTERVAL_S = 0.1
"""Interval at which the retry of a begun stream is placed again after a refusal."""

CONFIRM_AFTER_S = 0.1
"""Duration of a handshake after which the dispatcher is asked whether the replica still
takes requests; it may have turned others away or begun to leave meanwhile."""

SMALL_ANSWER_BYTES = 64 * 1024
"""Size up to which an answer is held in any case."""

MAX_BODY_BYTES = 2 * 1024 * 1024
"""Limit on an answer that is not a stream, which is held until it is complete."""

MAX_UNNUMBERED_BYTES = 64 * 1024
"""Bytes of a stream without a numbered event after which its replica is faulty."""

ROOM_TIMEOUT_S = 2.0
"""Time for which an answer waits for room in the byte budget. Replicas cut off answers that
stay unread for some seconds."""

ROOM_INTERVAL_S = 0.05
CHECK_TIMEOUT_S = 0.1
"""Handshake timeout of the check whether a replica is down. The port of a process that
has crashed refuses connections at once."""

LOST_FRAMING = "the head has lost its length or chunks"

MIN_RETRY_S = 0.1
"""Minimum remaining time for a retry to be sent."""

MAX_SLOW_REPLICAS = 3
"""Replicas that may be too slow for a request of a stopping node before it is refused."""

ANSWER_MARGIN_S = 0.05
"""Time reserved to send the final answer before the deadline."""


@attrs.define(kw_only=True)
class _Progress:
    """Progress of a request over its attempts."""

    connected_attempts: int = 0
    """Attempts that connected to a replica."""

    sent_result: AttemptResult | None = None
    """Result of the last attempt that was sent, None before it has ended."""

    possible_runs: int = 0
    """Attempts after which the request may have run."""

    not_run_attempts: int = 0
    """Attempts of which a replica reported that it did not run the request."""

    rejections: int = 0
    """Attempts that a replica rejected as full."""

    max_rejections: int = 0
    """Rejections after which the request is refused, from its last placement."""

    slow_replicas: int = 0
    """Placements at a replica that can't answer before this node exits."""

    avoids_slow_replicas: bool = True
    """Whether replicas that can't answer before this node exits are left out."""

    tried: list[str] = attrs.Factory(list)
    """Incarnations that must not be chosen again."""

    has_waited: bool = False
    """Whether the request has waited for a replica or for cached segments."""

    has_reserved_retry: bool = False
    """Whether the budget already counts the next attempt as a retry."""

    head: ResponseHead | None = None
    """Head that was sent to the caller, None before it was sent."""

    last_event: int | None = None
    """Number of the last event that the caller received."""

    has_lost_place: bool = False
    """Whether the numbers of the events that the caller received may be wrong."""

    error: str = ""
    """Cause of the last failure."""

    @property
    def has_reached_none(self) -> bool:
        """Whether no replica has or may have run the request."""
        return self.connected_attempts == self.not_run_attempts

    @property
    def may_be_refused(self) -> bool:
        """Whether no replica may have run the request and its answer has not begun."""
        return self.possible_runs == 0 and self.head is None


class RelayRun:
    """Relays one request on the thread that serves its caller.

    Args:
        context: Dependencies shared by all requests.
        request: The request with its route.
        exchange: The exchange with the caller.
        charge: Charge to its organisation's quota, None without a quota.
    """

    def __init__(
        self,
        *,
        context: RelayContext,
        request: RoutedRequest,
        exchange: CallerExchange,
        charge: QuotaCharge | None = None,
    ):
        self._context = context
        self._request = request
        self._exchange = exchange
        self._charge = charge
        self._report = RunReport(context=context, request=request)
        self._progress = _Progress(last_event=request.caller.last_event_id)
        self._upstream: Upstream | None = None
        self._watched: WatchedAttempt | None = None
        self._first_event_s: float | None = None
        self._last_event_s: float | None = None
        self._events = 0
        self._is_lost = False
        self._unnumbered_bytes = 0
        self._held_answer_bytes = 0

    def run(self) -> str:
        """Relay the request.

        Returns:
            The outcome, for logs and metrics.
        """
        try:
            return self._run()
        finally:
            if self._charge is not None and self._progress.has_reached_none:
                self._context.quotas.credit(self._charge)
            # The replica is free by now, however slowly the caller reads.
            self._exchange.finish()
            self._release_answer()

    def _run(self) -> str:
        self._exchange.on_disconnect(self._on_caller_disconnected)
        while True:
            if self._exchange.has_disconnected:
                return self._finish("caller left")
            refusal = self._renew_charge()
            if refusal is not None:
                return self._give_up(refusal)
            avoided = self._avoided_replicas()
            placed = self._context.dispatcher.ask(self._place_message(avoided))
            if isinstance(placed, Wait):
                if self._is_too_late():
                    return self._give_up(draining_refusal())
                self._progress.has_waited = True
                placed.pause()
                continue
            if isinstance(placed, Refusal):
                outcome = self._after_refusal(placed, has_avoided=bool(avoided))
            else:
                outcome = self._attempt(placed)
            if outcome is not None:
                return outcome

    def _after_refusal(self, refusal: Refusal, *, has_avoided: bool) -> str | None:
        """Give up a request that was not placed, or place it again later.

        Args:
            refusal: Why it was not placed.
            has_avoided: Whether slow replicas were left out.

        Returns:
            The outcome, or None if the request is to be placed again.
        """
        progress = self._progress
        is_slow = has_avoided or progress.slow_replicas > 0
        if is_slow and progress.may_be_refused and refusal.status == UNAVAILABLE:
            return self._give_up(draining_refusal())
        if has_avoided and not progress.may_be_refused:
            # A slow replica is better than none for a request that may have run.
            progress.avoids_slow_replicas = False
            return None
        if not self._may_place_later(refusal):
            return self._give_up(refusal)
        time.sleep(REPLACE_INTERVAL_S)
        return None

    def _renew_charge(self) -> Refusal | None:
        """Charge a request that has waited to the time at which it is sent."""
        if self._charge is None or not self._progress.has_reached_none:
            return None
        return self._context.quotas.renew(self._charge)

    def _avoided_replicas(self) -> tuple[str, ...]:
        """Return the replicas that can't end the stream before this node exits."""
        if not self._progress.avoids_slow_replicas or not self._ends_with_node():
            return ()
        events = remaining_events(self._request, self._progress.last_event)
        if events is None:
            return ()
        return self._context.answer_times.slow_replicas(
            self._request.service, events, within_s=self._remaining_s()
        )

    def _place_message(self, avoided: Sequence[str]) -> dispatcher_messages.Place:
        progress = self._progress
        return dispatcher_messages.Place(
            request=self._request,
            tried=(*progress.tried, *avoided),
            is_retry=progress.connected_attempts > 0,
            is_rejected=progress.may_be_refused,
            rejections=progress.rejections,
            earlier_attempts=progress.connected_attempts + len(progress.tried),
            has_waited=progress.has_waited,
            has_reserved_retry=progress.has_reserved_retry,
        )

    def _attempt(self, placed: Placed) -> str | None:
        """Send the request once.

        Returns:
            The outcome, or None if the request is to be placed again.
        """
        attempt = placed.attempt
        self._progress.max_rejections = placed.max_rejections
        upstream = Upstream(replica_id=attempt.replica_id, address=attempt.address)
        self._upstream = upstream
        started_s = time.monotonic()
        result = AttemptResult.FAILED
        head = retried_after = None
        self._watched = self._watch(placed, upstream)
        try:
            # A disconnect while the request was being placed has aborted nothing.
            if self._exchange.has_disconnected:
                return self._finish("caller left")
            if self._is_too_late(placed):
                result = AttemptResult.NOT_SENT
                return self._after_too_slow(attempt)
            connected = upstream.connect(self._remaining_s())
            if connected.is_err():
                result = AttemptResult.UNREACHABLE
                return self._after_no_connection(attempt, connected.err_value)
            if upstream.has_unsolicited_bytes or not self._may_still_send(
                attempt, started_s
            ):
                result = AttemptResult.NOT_SENT
                return self._after_not_sent(attempt)
            retried_after = self._progress.sent_result
            if retried_after is not None:
                self._report.retry_sent(retried_after)
            self._progress.connected_attempts += 1
            self._progress.has_reserved_retry = False
            head, result, outcome = self._exchange_with(upstream, attempt)
            self._progress.sent_result = result
            return outcome
        finally:
            self._upstream = None
            self._context.stalls.end(self._watched)
            upstream.close()
            if self._exchange.has_disconnected and result is not AttemptResult.ANSWERED:
                result = AttemptResult.CANCELLED
            ended = EndedAttempt(
                result=result,
                head=head,
                is_lost=self._is_lost,
                started_s=started_s,
                first_event_s=self._first_event_s,
                events=self._events,
                last_event_s=self._last_event_s,
                error=self._progress.error,
                retried_after=retried_after,
                stalled=self._watched.stall_reason,
            )
            self._report.attempt_ended(placed, ended)
            if result is AttemptResult.FAILED and ended.is_lost:
                self._check_replica(attempt)

    def _check_replica(self, attempt: Attempt) -> None:
        """Report a replica that is down, which shows that it has crashed.

        In a large fleet, this node may not send it another request before it is back.
        """
        probe = Upstream(replica_id=attempt.replica_id, address=attempt.address)
        connected = probe.connect(CHECK_TIMEOUT_S)
        probe.close()
        if connected.is_err():
            self._report.replica_unreachable(attempt)

    def _exchange_with(
        self, upstream: Upstream, attempt: Attempt
    ) -> tuple[ResponseHead | None, AttemptResult, str | None]:
        budget_ms = int(self._remaining_s() * 1000)
        upstream_request = self._context.dialect.encode_attempt(
            request=self._request,
            attempt=attempt,
            budget_ms=budget_ms,
            last_event_id=self._progress.last_event,
        )
        sent = upstream.send(upstream_request, self._remaining_s())
        if sent.is_err():
            return None, *self._after_loss(attempt, sent.err_value)
        self._context.stalls.record_activity(attempt.incarnation, self._watched)
        head = self._context.dialect.decode_response(sent.ok_value)
        self._report_availability(attempt, head)
        if head.request_id not in (None, self._request.caller.request_id):
            return None, *self._after_bad_response(
                attempt, "response to another request"
            )
        if head.is_not_run or head.is_misdirected(attempt.replica_id):
            if head.is_anonymous:
                return None, *self._after_bad_response(
                    attempt, "refusal that names neither request nor replica"
                )
            return head, *self._after_not_run(attempt, head)
        if head.status in NOT_RUN_STATUSES:
            return head, *self._after_unfounded_refusal(attempt, head)
        if head.is_encoded:
            return head, *self._after_bad_response(
                attempt, "unexpected content encoding"
            )
        if 200 <= head.status < 300:
            if not head.is_signed:
                return head, *self._after_bad_response(attempt, "unsigned response")
            if self._request.route.kind is RouteKind.STREAMING:
                return head, *self._relay_stream(upstream, attempt, head)
        return head, *self._relay_complete(upstream, attempt, head)

    def _may_still_send(self, attempt: Attempt, started_s: float) -> bool:
        if self._exchange.has_disconnected:
            return False
        if time.monotonic() - started_s < CONFIRM_AFTER_S:
            return True
        return self._context.dispatcher.ask(
            dispatcher_messages.IsUsable(incarnation=attempt.incarnation)
        )

    def _report_availability(self, attempt: Attempt, head: ResponseHead) -> None:
        """Report at once that a replica leaves or wants no more requests."""
        is_other = head.replica_id not in (None, attempt.replica_id)
        if is_other or head.request_id not in (None, self._request.caller.request_id):
            return
        if head.availability != Availability():
            self._report.availability(attempt, head.availability)

    # Complete answers.

    def _relay_complete(
        self, upstream: Upstream, attempt: Attempt, head: ResponseHead
    ) -> tuple[AttemptResult, str | None]:
        read = self._read_answer(upstream)
        if read.is_err():
            self._release_answer()
            if isinstance(read.err_value, str):
                return self._after_bad_response(attempt, read.err_value)
            return self._after_loss(attempt, read.err_value)
        body = read.ok_value
        if not head.is_framed and has_lost_framing(body):
            return self._after_bad_response(attempt, LOST_FRAMING)
        self._progress.possible_runs += 1
        # The replica has run the request; a retry would fail as well.
        is_failure = head.status >= SERVER_ERROR
        result = AttemptResult.FAILED if is_failure else AttemptResult.ANSWERED
        return result, self._deliver(head, body)

    def _read_answer(self, upstream: Upstream) -> Result[bytearray, PeerError | str]:
        """Read a body, and count its bytes in the budget.

        Returns:
            The body, or the error of the connection or the fault of the answer.
        """
        body = bytearray()
        while True:
            chunk = upstream.read(self._remaining_s())
            if chunk.is_err():
                return Err(chunk.err_value)
            if not chunk.ok_value:
                return Ok(body)
            if not self._hold_answer(len(body) + len(chunk.ok_value)):
                return Err("the answer exceeds the size limit")
            body += chunk.ok_value

    def _hold_answer(self, size_bytes: int) -> bool:
        """Count the bytes of the answer, for which other callers may have to make room.

        Small answers are held in any case, so that unread ones don't displace them. Their
        number is limited by that of the threads.

        Returns:
            False if there is no room.
        """
        if size_bytes > MAX_BODY_BYTES:
            return False
        budget = self._context.byte_budget
        added_bytes = size_bytes - self._held_answer_bytes
        deadline_s = time.monotonic() + min(ROOM_TIMEOUT_S, self._remaining_s())
        while not budget.try_reserve(ByteKind.ANSWER, added_bytes):
            if size_bytes <= SMALL_ANSWER_BYTES:
                return True
            if time.monotonic() > deadline_s:
                return False
            self._exchange.want_room(added_bytes)
            time.sleep(ROOM_INTERVAL_S)
        self._held_answer_bytes = size_bytes
        return True

    def _release_answer(self) -> None:
        self._context.byte_budget.release(ByteKind.ANSWER, self._held_answer_bytes)
        self._held_answer_bytes = 0

    def _deliver(self, head: ResponseHead, body: bytes | bytearray) -> str:
        if self._progress.head is not None:
            # The stream has begun, so no other answer can be sent.
            self._exchange.abort_answer()
            return self._finish("broken off", detail=f"status {head.status}")
        answer = CompleteAnswer(
            status=head.status, reason=head.reason, headers=head.headers, body=body
        )
        return self._send_final(answer, "answered", f"status {head.status}")

    # Streams.

    def _relay_stream(
        self, upstream: Upstream, attempt: Attempt, head: ResponseHead
    ) -> tuple[AttemptResult, str | None]:
        begun = self._progress.head
        if begun is not None and not begun.is_continued_by(head):
            return self._after_bad_response(attempt, "answer of another kind")
        return self._relay_all_events(upstream, attempt, head)

    def _relay_all_events(
        self, upstream: Upstream, attempt: Attempt, head: ResponseHead
    ) -> tuple[AttemptResult, str | None]:
        splitter = EventSplitter()
        self._unnumbered_bytes = 0
        starts, route = self._context.stream_starts, self._request.route.name
        order = EventOrder(
            last=self._progress.last_event,
            start=starts.expected(route, attempt.incarnation),
        )
        while True:
            chunk = upstream.read(self._remaining_s())
            if chunk.is_err():
                return self._after_loss(attempt, chunk.err_value)
            if not chunk.ok_value:
                return self._after_last_event(splitter, order, attempt, head)
            self._context.stalls.record_activity(attempt.incarnation, None)
            events = splitter.feed(chunk.ok_value)
            is_first = self._events == 0 and bool(events)
            if is_first and not head.is_framed and begins_with_framing(events[0].data):
                return self._after_bad_response(attempt, LOST_FRAMING)
            ended = self._relay_events(events, attempt, head, order)
            if ended is not None:
                return ended
            start = order.take_confirmed_start()
            if start is not None:
                starts.record(route, attempt.incarnation, start)
            if splitter.is_oversized:
                return self._after_bad_response(attempt, "event exceeds the size limit")

    def _after_last_event(
        self,
        splitter: EventSplitter,
        order: EventOrder,
        attempt: Attempt,
        head: ResponseHead,
    ) -> tuple[AttemptResult, str | None]:
        if splitter.has_partial_event:
            return self._after_early_end(attempt, head, "stream ended within an event")
        if self._events == 0 and not head.is_framed:
            return self._after_early_end(
                attempt, head, "stream ended before its first event"
            )
        ended = self._send_events(order.take_held(), head)
        if ended is not None:
            return ended
        self._progress.possible_runs += 1
        if self._progress.head is None:
            return AttemptResult.ANSWERED, self._deliver(head, b"")
        return AttemptResult.ANSWERED, self._end_stream()

    def _relay_events(
        self,
        events: Sequence[StreamEvent],
        attempt: Attempt,
        head: ResponseHead,
        order: EventOrder,
    ) -> tuple[AttemptResult, str | None] | None:
        """Forward events to the caller.

        Returns:
            The result and outcome of the attempt, or None if it continues.
        """
        for event in events:
            if not event.is_well_formed:
                return self._after_bad_response(attempt, "bytes that are no event")
            accepted = order.accept(event)
            if accepted is None:
                self._progress.has_lost_place = order.has_lost_place
                return self._after_bad_response(
                    attempt, f"unexpected event number {event.number}"
                )
            if self._is_without_numbers(event):
                return self._after_bad_response(
                    attempt, f"no event number in {self._unnumbered_bytes} bytes"
                )
            self._record_event(attempt)
            ended = self._send_events(accepted, head)
            if ended is not None:
                return ended
        return None

    def _send_events(
        self, events: Sequence[StreamEvent], head: ResponseHead
    ) -> tuple[AttemptResult, str | None] | None:
        """Send events to the caller.

        Returns:
            The result and outcome of the attempt if the caller has left, else None.
        """
        for event in events:
            try:
                self._send_event(head, event.data)
            except OSError as error:
                outcome = self._finish("caller left", detail=str(error))
                return AttemptResult.CANCELLED, outcome
            if event.number is not None:
                self._progress.last_event = event.number
        return None

    def _end_stream(self) -> str:
        try:
            self._exchange.end_stream()
        except OSError as error:
            return self._finish("caller left", detail=str(error))
        return self._finish("answered", detail="stream")

    def _is_without_numbers(self, event: StreamEvent) -> bool:
        """Whether too many bytes have arrived since the last numbered event."""
        if event.number is not None:
            self._unnumbered_bytes = 0
            return False
        self._unnumbered_bytes += len(event.data)
        return self._unnumbered_bytes > MAX_UNNUMBERED_BYTES

    def _record_event(self, attempt: Attempt) -> None:
        """Count an event; report the first one and switch to the limits for gaps."""
        self._events += 1
        self._last_event_s = time.monotonic()
        if _is_power_of_two(self._events):
            self._record_pace(attempt)
        # Bytes that don't complete an event are no progress.
        self._watched.last_activity_s = self._last_event_s
        if self._first_event_s is not None:
            return
        self._first_event_s = self._last_event_s
        if self._watched.may_retry:
            gap_s = self._request.route.max_gap_ms / 1000
            self._watched.soft_limit_s = SOFT_GAP_FACTOR * gap_s
            self._watched.hard_limit_s = HARD_GAP_FACTOR * gap_s
        self._report.first_event_received(attempt.incarnation)

    def _record_pace(self, attempt: Attempt) -> None:
        """Record how fast the events of the stream come."""
        if self._events > 1:
            self._context.answer_times.record_pace(
                self._request.service,
                attempt.incarnation,
                (self._last_event_s - self._first_event_s) / (self._events - 1),
            )

    def _send_event(self, head: ResponseHead, data: bytes) -> None:
        if self._progress.head is None:
            self._progress.head = head
            self._exchange.begin_stream(head.status, head.reason, head.headers)
        self._exchange.send_chunk(data)

    # Failed attempts.

    def _after_no_connection(self, attempt: Attempt, error: PeerError) -> str | None:
        self._progress.tried.append(attempt.incarnation)
        self._progress.error = str(error)
        return None

    def _after_not_sent(self, attempt: Attempt) -> str | None:
        self._progress.tried.append(attempt.incarnation)
        self._progress.error = "the replica stopped taking requests meanwhile"
        return None

    def _after_too_slow(self, attempt: Attempt) -> str | None:
        """Try other replicas than one that can't answer before this node exits."""
        progress = self._progress
        progress.slow_replicas += 1
        if progress.slow_replicas > MAX_SLOW_REPLICAS or self._is_too_late():
            return self._give_up(draining_refusal())
        progress.tried.append(attempt.incarnation)
        return None

    def _after_not_run(
        self, attempt: Attempt, head: ResponseHead
    ) -> tuple[AttemptResult, str | None]:
        progress = self._progress
        progress.error = f"status {head.status}, not run"
        progress.not_run_attempts += 1
        if head.status != MISDIRECTED:
            progress.tried.append(attempt.incarnation)
            return AttemptResult.BUSY, self._refuse_if_rejected()
        if head.replica_id != attempt.replica_id:
            progress.tried.append(attempt.incarnation)
            return AttemptResult.MISDIRECTED, None
        # The replica may be chosen again; the dispatcher queries its weights.
        return AttemptResult.OTHER_WEIGHTS, None

    def _refuse_if_rejected(self) -> str | None:
        """Refuse the request if enough replicas have rejected it.

        Returns:
            The outcome, or None if the request is to be placed again.
        """
        progress = self._progress
        progress.rejections += 1
        has_attempts_left = progress.rejections < progress.max_rejections
        if has_attempts_left or not progress.may_be_refused:
            return None
        detail = f"{progress.rejections} replicas rejected it"
        return self._refuse(no_replica(detail, RETRY_AFTER_S))

    def _after_bad_response(
        self, attempt: Attempt, detail: str
    ) -> tuple[AttemptResult, str | None]:
        self._progress.possible_runs += 1
        self._progress.error = detail
        return AttemptResult.FAILED, self._retry_or_fail(attempt, timed_out=False)

    def _after_unfounded_refusal(
        self, attempt: Attempt, head: ResponseHead
    ) -> tuple[AttemptResult, str | None]:
        """Handle a status that callers take for a promise that the replica hasn't given."""
        result, outcome = self._after_bad_response(
            attempt, f"status {head.status}, although the request may have run"
        )
        if head.status == MISDIRECTED:
            # Only the weights are queried; the request counts as run.
            result = AttemptResult.OTHER_WEIGHTS
        return result, outcome

    def _after_early_end(
        self, attempt: Attempt, head: ResponseHead, detail: str
    ) -> tuple[AttemptResult, str | None]:
        """Handle a stream that was broken off without an error of its connection."""
        # The end of a framed stream is its replica's, however it looks.
        self._is_lost = not head.is_framed
        return self._after_bad_response(attempt, detail)

    def _after_loss(
        self, attempt: Attempt, error: PeerError
    ) -> tuple[AttemptResult, str | None]:
        self._is_lost = True
        self._progress.possible_runs += 1
        self._progress.error = str(error)
        watched = self._watched
        is_silent = watched.is_stalled or watched.is_overdue or error.timed_out
        result = AttemptResult.SILENT if is_silent else AttemptResult.FAILED
        return result, self._retry_or_fail(attempt, timed_out=is_silent)

    def _retry_or_fail(self, attempt: Attempt, *, timed_out: bool) -> str | None:
        if self._exchange.has_disconnected:
            return self._finish("caller left")
        if self._may_retry(attempt):
            return None
        return self._fail(timed_out=timed_out)

    def _may_retry(self, attempt: Attempt) -> bool:
        """Check whether a request that may have run may be sent again.

        If so, the replica of the failed attempt is excluded from the next one.
        """
        progress = self._progress
        route = self._request.route
        if not route.may_run_again or progress.possible_runs >= route.max_attempts:
            return False
        is_placeless = progress.last_event is None or progress.has_lost_place
        if progress.head is not None and is_placeless:
            return False
        if self._remaining_s() < MIN_RETRY_S or self._exchange.has_disconnected:
            return False
        progress.tried.append(attempt.incarnation)
        return True

    def _may_place_later(self, refusal: Refusal) -> bool:
        """Whether a begun stream waits after its retry was refused.

        Its caller can't be sent a refusal any more, only be cut off.
        """
        return (
            self._progress.head is not None
            and refusal.status == UNAVAILABLE
            and self._remaining_s() > REPLACE_INTERVAL_S + MIN_RETRY_S
        )

    # Final outcomes.

    def _give_up(self, refusal: Refusal) -> str:
        progress = self._progress
        if progress.possible_runs:
            progress.error += f"; not retried: {refusal.title}: {refusal.detail}"
            return self._fail(timed_out=False)
        return self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> str:
        self._report.refused(refusal.title)
        answer = refusal_answer(refusal, self._request.caller.request_id)
        return self._send_final(answer, "refused", refusal.detail)

    def _fail(self, *, timed_out: bool) -> str:
        progress = self._progress
        if progress.head is not None:
            self._exchange.abort_answer()
            return self._finish("broken off", detail=progress.error)
        refusal = Refusal(
            status=504 if timed_out else 502,
            title="answer-late" if timed_out else "answer-lost",
            detail=f"The request may have run: {progress.error}.",
            outcome=Outcome.UNKNOWN,
            step="relay",
        )
        answer = refusal_answer(refusal, self._request.caller.request_id)
        return self._send_final(answer, "failed", progress.error)

    def _send_final(self, answer: CompleteAnswer, outcome: str, detail: str) -> str:
        try:
            self._exchange.send_complete(answer)
        except OSError as error:
            return self._finish("caller left", detail=str(error))
        return self._finish(outcome, detail=detail)

    def _finish(self, outcome: str, detail: str = "") -> str:
        self._report.request_ended(
            outcome,
            detail=detail or self._progress.error,
            attempts=self._progress.connected_attempts,
        )
        return outcome

    # Time limits.

    def _remaining_s(self) -> float:
        deadline_s = self._context.answer_deadline.limit(self._request.deadline_s)
        remaining_s = deadline_s - time.monotonic() - ANSWER_MARGIN_S
        return max(0.001, remaining_s)

    def _is_too_late(self, placed: Placed | None = None) -> bool:
        """Whether the node exits before the request could be sent and answered.

        One that may have run can't be refused. It is sent again as long as there is time.

        Args:
            placed: Its placement, None before it is placed.
        """
        if not self._progress.may_be_refused:
            return self._ends_with_node() and self._remaining_s() < MIN_RETRY_S
        return not leaves_time(
            self._context, self._request, self._request.deadline_s, placed
        )

    def _ends_with_node(self) -> bool:
        """Whether this node exits before the request's own deadline."""
        deadline_s = self._request.deadline_s
        return self._context.answer_deadline.limit(deadline_s) < deadline_s

    def _watch(self, placed: Placed, upstream: Upstream) -> WatchedAttempt:
        """Watch an attempt for its deadline, and for stalls if it may be retried."""
        self._first_event_s = self._last_event_s = None
        self._events = 0
        self._is_lost = False
        route = self._request.route
        deadline_s = self._request.deadline_s - ANSWER_MARGIN_S
        if (
            not route.may_run_again
            or self._progress.possible_runs + 1 >= route.max_attempts
        ):
            watched = WatchedAttempt(
                incarnation=placed.attempt.incarnation,
                abort=upstream.abort,
                deadline_s=deadline_s,
            )
            self._context.stalls.begin(watched)
            return watched
        is_stream = route.kind is RouteKind.STREAMING
        target_s = route.target_latency_ms / 1000
        expected_s = placed.expected_ms / 1000
        hard_factor = HARD_FIRST_EVENT_FACTOR if is_stream else HARD_ANSWER_FACTOR
        watched = WatchedAttempt(
            incarnation=placed.attempt.incarnation,
            soft_limit_s=target_s + expected_s,
            hard_limit_s=hard_factor * target_s + expected_s,
            reserve_retry=lambda: self._reserve_retry(placed.attempt),
            abort=upstream.abort,
            deadline_s=deadline_s,
        )
        self._context.stalls.begin(watched)
        return watched

    def _reserve_retry(self, stalled: Attempt) -> bool:
        """Reserve a retry for a stalled attempt; runs on the thread of the watch.

        An attempt that is aborted without a retry would lose an answer that may come.
        """
        if self._remaining_s() < MIN_RETRY_S or self._exchange.has_disconnected:
            return False
        is_reserved = self._progress.has_reserved_retry
        refusal = self._context.dispatcher.ask(
            dispatcher_messages.ReserveRetry(
                request=self._request,
                tried=(*self._progress.tried, stalled.incarnation),
                is_reserved=is_reserved,
            )
        )
        if refusal is not None:
            self._report.retry_not_reserved(stalled, refusal)
            return False
        if not is_reserved:
            # The run may meanwhile have used a reservation that was only confirmed.
            self._progress.has_reserved_retry = True
        return True

    def _on_caller_disconnected(self) -> None:
        upstream = self._upstream
        if upstream is not None:
            upstream.abort()


def _is_power_of_two(number: int) -> bool:
    return number & (number - 1) == 0
