"""Reports on a relayed request to the dispatcher, the metrics and the log."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from crocuswick.relay import dispatcher_messages
from crocuswick.relay.relay_request import ResponseHead
from crocuswick.relay.replica_health import AttemptResult

if TYPE_CHECKING:
    from crocuswick.errors import Refusal
    from crocuswick.relay.dispatcher_messages import Placed
    from crocuswick.relay.relay_context import RelayContext
    from crocuswick.relay.relay_request import Attempt, RoutedRequest
    from crocuswick.relay.replica import Availability

__all__ = ["EndedAttempt", "RunReport"]

NORMAL_OUTCOMES = ("answered", "caller left")
"""Outcomes whose log lines may be dropped under load."""


@attrs.frozen(kw_only=True)
class EndedAttempt:
    """Summary of an attempt."""

    result: AttemptResult
    head: ResponseHead | None
    """Head of the replica's response, None if there was none."""

    is_lost: bool
    """Whether the connection was lost or fell silent."""

    started_s: float
    first_event_s: float | None
    """Monotonic time of the first event, None if there was none."""

    events: int
    """Number of events received."""

    last_event_s: float | None
    """Monotonic time of the last event, None if there was none."""

    error: str
    retried_after: AttemptResult | None = None
    """Result of the attempt before, None if this one was the first to be sent."""

    stalled: str = ""
    """Why the attempt was aborted as stalled, empty if it was not."""

    @property
    def is_lost_before_answer(self) -> bool:
        """Whether the connection was lost before an event or the end of the answer."""
        return self.is_lost and self.events == 0

    @property
    def first_event_ms(self) -> int | None:
        """Time from the start of the attempt to the first event."""
        return self._ms_after_start(self.first_event_s)

    @property
    def last_event_ms(self) -> int | None:
        """Time from the start of the attempt to the last event."""
        return self._ms_after_start(self.last_event_s)

    def _ms_after_start(self, time_s: float | None) -> int | None:
        return None if time_s is None else round((time_s - self.started_s) * 1000)


class RunReport:
    """Reports the progress of one request.

    Args:
        context: Dependencies shared by all requests.
        request: The request.
    """

    def __init__(self, *, context: RelayContext, request: RoutedRequest):
        self._context = context
        self._request = request

    def retry_sent(self, retried_after: AttemptResult) -> None:
        """Report that the request is sent once more.

        Args:
            retried_after: Result of the attempt before.
        """
        self._context.metrics.retries.inc(
            {"service": self._request.service, "after": retried_after.name.lower()}
        )

    def first_event_received(self, incarnation: str) -> None:
        """Report the first event of an attempt."""
        self._context.dispatcher.tell(
            dispatcher_messages.PromptComputed(
                request_id=self._request.caller.request_id, incarnation=incarnation
            )
        )

    def attempt_ended(self, placed: Placed, ended: EndedAttempt) -> None:
        """Report the end of an attempt."""
        head = ended.head
        self._context.dispatcher.tell(
            dispatcher_messages.AttemptEnded(
                request=self._request,
                attempt=placed.attempt,
                result=ended.result,
                weights_version=head.weights_version if head else None,
                is_lost_before_answer=ended.is_lost_before_answer,
                has_begun=ended.is_lost and ended.events > 0,
                sent_s=ended.started_s,
                is_success=head is not None and 200 <= head.status < 300,
                is_framed=head is None or head.is_framed,
            )
        )
        self._record_times(ended)
        self._context.metrics.prefill_tokens.add({}, placed.attempt.prefill_tokens)
        first_event_ms = ended.first_event_ms
        self._context.metrics.observe_attempt(
            ended.result.name.lower(),
            None if first_event_ms is None else first_event_ms / 1000,
        )
        self._log_attempt(placed, ended)

    def availability(self, attempt: Attempt, availability: Availability) -> None:
        """Report that a replica leaves or wants no requests for a while."""
        self._context.dispatcher.tell(
            dispatcher_messages.AvailabilityChanged(
                incarnation=attempt.incarnation, availability=availability
            )
        )
        self._context.log.record(
            "replica unavailable",
            failed=True,
            request=self._request.caller.request_id,
            replica=attempt.replica_id,
            leaving=availability.is_leaving,
            pause_s=availability.pause_s,
        )

    def replica_unreachable(self, attempt: Attempt) -> None:
        """Report that a replica can't be reached after it lost the request."""
        self._context.dispatcher.tell(
            dispatcher_messages.ReplicaUnreachable(incarnation=attempt.incarnation)
        )
        self._context.log.record(
            "replica crashed",
            failed=True,
            request=self._request.caller.request_id,
            replica=attempt.replica_id,
        )

    def retry_not_reserved(self, attempt: Attempt, refusal: Refusal) -> None:
        """Report that a stalled attempt goes on because it can't be retried."""
        self._context.log.record(
            "retry not reserved",
            failed=True,
            request=self._request.caller.request_id,
            replica=attempt.replica_id,
            reason=refusal.detail,
        )

    def refused(self, title: str) -> None:
        """Report a refusal of the request."""
        self._context.metrics.refusals.inc({"title": title})

    def request_ended(self, outcome: str, *, detail: str, attempts: int) -> None:
        """Report the end of the request."""
        caller = self._request.caller
        elapsed_s = time.monotonic() - caller.received_s
        self._context.metrics.observe_request(
            self._request.route.name, outcome, elapsed_s
        )
        self._context.log.record(
            "request ended",
            request=caller.request_id,
            failed=outcome not in NORMAL_OUTCOMES,
            outcome=outcome,
            detail=detail,
            route=self._request.route.name,
            configuration=self._request.configuration_version,
            attempts=attempts,
            ms=round(elapsed_s * 1000),
        )

    def _record_times(self, ended: EndedAttempt) -> None:
        times = self._context.answer_times
        if ended.first_event_s is not None:
            begin_s = ended.first_event_s - ended.started_s
            times.record_first_event(self._request.service, begin_s)
        if ended.result is AttemptResult.ANSWERED:
            duration_s = time.monotonic() - ended.started_s
            times.record_answer(self._request.service, duration_s)

    def _log_attempt(self, placed: Placed, ended: EndedAttempt) -> None:
        attempt = placed.attempt
        retried_after = ended.retried_after
        self._context.log.record(
            "attempt ended",
            request=self._request.caller.request_id,
            failed=ended.result is not AttemptResult.ANSWERED,
            result=ended.result.name.lower(),
            replica=attempt.replica_id,
            weights=attempt.expected_weights_version,
            part=attempt.shared_segment_id,
            salt=attempt.cache_salt,
            fetch=attempt.fetch_kv_from,
            saved=bool(attempt.store_kv_to),
            prefill=attempt.prefill_tokens,
            queued=placed.queued_tokens,
            expected_ms=round(placed.expected_ms),
            begun_ms=ended.first_event_ms,
            events=ended.events,
            last_event_ms=ended.last_event_ms,
            ms=round((time.monotonic() - ended.started_s) * 1000),
            error=ended.error,
            retried_after=retried_after.name.lower() if retried_after else "",
            stalled=ended.stalled,
        )
