"""Runs one completion: placement, attempts, resumption and continuation.

A completion is idempotent: it has no side effects. An attempt that fails before
its end is resumed at the same endpoint, or continued at another one from the
prompt and the text delivered so far.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import pykka
from result import Err, Ok, Result

from crocuswick.block_key import block_keys, cache_salt, count_tokens
from crocuswick.callers._attempt import Attempt, AttemptFailure, resume_refusal
from crocuswick.callers.delivery import Delivery
from crocuswick.dispatcher import (
    Dispatcher,
    FailureKind,
    no_endpoint_refusal,
)
from crocuswick.draining import PlannedStop, draining_refusal
from crocuswick.endpoints import EngineClients, EngineCompletionRequest, EngineStream
from crocuswick.metrics import Metrics
from crocuswick.outcome import Outcome
from crocuswick.placement import Placement, PlacementRequest
from crocuswick.quarantine import QUARANTINE_STEP, request_fingerprint
from crocuswick.resume_token import ResumePoint, ResumeTokens
from crocuswick.stream_guard import EventVerdict, StreamGuard, TokenEvent
from crocuswick.time_line import TimeLine

if TYPE_CHECKING:
    from collections.abc import Generator, Iterator

    from crocuswick.callers.completion_request import CompletionRequest
    from crocuswick.errors import PeerError, Refusal

__all__ = ["CompletionContext", "CompletionRun", "fingerprint"]

MAX_IDLE_RESUMES = 2
"""Maximum number of consecutive resumes without a new event; twice as many are
allowed before the first event."""

PLACEMENT_WAIT_S = 5.0
"""Time to wait for an available endpoint after a failed attempt."""

PLACEMENT_RETRY_S = 0.1


@attrs.frozen(kw_only=True)
class CompletionContext:
    """Components of the node that a completion uses."""

    dispatcher: pykka.ActorRef
    clients: EngineClients
    resume_tokens: ResumeTokens
    time_line: TimeLine
    metrics: Metrics
    served_version: Callable[[str], str]
    """Returns the weights version currently served under a public model name."""

    stop: PlannedStop = attrs.Factory(PlannedStop)


def fingerprint(request: CompletionRequest) -> str:
    """Return the digest that identifies repeats of a request."""
    return request_fingerprint(
        organisation=request.organisation,
        model=request.model,
        body=request.prompt.encode(),
    )


class CompletionRun:
    """One completion, run on the thread that serves its caller."""

    def __init__(self, *, context: CompletionContext, request: CompletionRequest):
        self._context = context
        self._request = request
        self._fingerprint = fingerprint(request)
        self._deadline_s = time.monotonic() + request.deadline_ms / 1000
        self._excluded: set[str] = set()
        self._attempts = 0
        self._text: list[str] = []
        self._attempt: Attempt | None = None
        self._outcome_so_far = Outcome.NOT_RUN
        self._prompt_tokens = 0
        self._block_keys: tuple[int, ...] = ()
        """Keys of the prompt's blocks, without tokens of the answer."""

        self._cached_tokens = 0
        self._salt = _request_salt(request)

    def deliveries(self) -> Iterator[Result[Delivery, Refusal]]:
        """Run the completion and yield it token by token.

        Yields:
            `Delivery` values in order up to the one with a finish reason. A
            `Refusal` ends the iteration early: the response is incomplete.
        """
        try:
            while True:
                failure = yield from self._run_attempt()
                if failure is None:
                    return
                refusal = self._refusal_after(failure)
                if refusal is not None:
                    yield Err(refusal)
                    return
        finally:
            self._cancel_open_attempt()

    def resume(self, point: ResumePoint) -> Iterator[Result[Delivery, Refusal]]:
        """Yield the rest of a response that another node began.

        Args:
            point: Position of the last event that the caller received.

        Yields:
            The same as `deliveries`. Without the prompt, the response can't be
            continued at another endpoint, so the loss of the endpoint ends it with
            a refusal. Yields nothing if the caller already has the last token.
        """
        if point.finished:
            return
        attempt = Attempt(
            endpoint_id=point.endpoint_id,
            request_id=point.engine_request_id,
            guard=StreamGuard(
                request_id=point.engine_request_id, next_index=point.index + 1
            ),
            prior_tokens=point.delivered - point.index - 1,
        )
        self._attempt = attempt
        try:
            failure = self._reconnect(attempt)
            if failure is None:
                failure = yield from self._stream_attempt(attempt)
            if failure is not None:
                yield Err(resume_refusal(attempt, failure))
        finally:
            self._cancel_open_attempt()

    def _run_attempt(
        self,
    ) -> Generator[Result[Delivery, Refusal], None, AttemptFailure | None]:
        placed = self._place()
        if placed.is_err():
            yield placed
            return None
        placement = placed.ok_value
        attempt = self._new_attempt(placement)
        if self._is_too_late(attempt):
            self._end_attempt(attempt, cancel=False, completed=False)
            yield Err(draining_refusal())
            return None
        self._import_cache(placement)
        failure = self._open(attempt)
        if failure is None:
            failure = yield from self._stream_attempt(attempt)
        cancel = failure is not None and failure.kind == FailureKind.LOST
        self._end_attempt(attempt, cancel=cancel, completed=failure is None)
        if failure is not None and self._remaining_tokens() == 0:
            yield Ok(self._last_delivery(attempt))
            return None
        return failure

    def _last_delivery(self, attempt: Attempt) -> Delivery:
        """Return the final delivery when the last token had no finish reason."""
        return self._delivery(
            attempt,
            index=attempt.guard.next_index - 1,
            text="",
            finish_reason="length",
        )

    def _place(self) -> Result[Placement, Refusal]:
        """Choose an endpoint; after a failed attempt, wait until one is available."""
        placement_request = self._placement_request()
        wait_s = PLACEMENT_WAIT_S if self._attempts else 0.0
        wait_deadline_s = self._context.stop.deadline.limit(
            min(time.monotonic() + wait_s, self._deadline_s)
        )
        while True:
            placed = self._context.dispatcher.ask(
                Dispatcher.Place(
                    request=placement_request, fingerprint=self._fingerprint
                )
            )
            if placed.is_ok():
                return placed
            if not self._attempts and self._refresh_weights_version():
                placement_request = self._placement_request()
                continue
            quarantined = placed.err_value.step == QUARANTINE_STEP
            if quarantined or time.monotonic() >= wait_deadline_s:
                return placed.map_err(self._with_outcome)
            time.sleep(PLACEMENT_RETRY_S)
            # Endpoints that failed earlier may have recovered.
            placement_request = attrs.evolve(placement_request, excluded=frozenset())

    def _refresh_weights_version(self) -> bool:
        """Switch to the weights served now; return whether a rollout changed them."""
        version = self._context.served_version(self._request.model)
        if version == self._request.weights_version:
            return False
        self._request = attrs.evolve(self._request, weights_version=version)
        self._salt = _request_salt(self._request)
        return True

    def _with_outcome(self, refusal: Refusal) -> Refusal:
        return attrs.evolve(refusal, outcome=self._outcome_so_far)

    def _placement_request(self) -> PlacementRequest:
        prompt = self._prompt()
        keys = block_keys(prompt, salt=self._salt)
        prompt_tokens = count_tokens(prompt)
        self._prompt_tokens = self._prompt_tokens or prompt_tokens
        if not self._text:
            self._block_keys = tuple(keys)
        return PlacementRequest(
            request_id=self._engine_request_id(),
            model=self._request.engine_model,
            weights_version=self._request.weights_version,
            keys=keys,
            prompt_tokens=prompt_tokens,
            max_tokens=self._remaining_tokens(),
            priority=self._request.priority,
            excluded=frozenset(self._excluded),
            pool=self._request.pool,
        )

    def _import_cache(self, placement: Placement) -> None:
        if placement.import_from is None:
            return
        source = self._context.clients.address_of(placement.import_from)
        client = self._context.clients.get(placement.endpoint_id)
        if source is None or client is None:
            return
        keys = block_keys(self._prompt(), salt=self._salt)
        cached_keys = keys[: placement.predicted_cached_blocks]
        # A failed import only costs time: the engine then computes the prompt itself.
        client.import_cache(source_address=source, keys=cached_keys)

    def _new_attempt(self, placement: Placement) -> Attempt:
        request_id = self._engine_request_id()
        self._attempts += 1
        self._attempt = Attempt(
            endpoint_id=placement.endpoint_id,
            request_id=request_id,
            guard=StreamGuard(request_id=request_id),
            prior_tokens=len(self._text),
        )
        self._context.time_line.record(
            kind="placed",
            subject=self._request.request_id,
            detail=f"{placement.endpoint_id} ({placement.reason})",
        )
        return self._attempt

    def _open(self, attempt: Attempt) -> AttemptFailure | None:
        client = self._context.clients.get(attempt.endpoint_id)
        if client is None:
            return AttemptFailure(
                kind=FailureKind.REFUSED, step="open", detail="removed"
            )
        opened = client.open(self._engine_request(attempt))
        if opened.is_ok():
            self._use_stream(attempt, opened.ok_value)
            return None
        error = opened.err_value
        if error.outcome is Outcome.NOT_RUN:
            return AttemptFailure(
                kind=FailureKind.REFUSED, step="open", detail=error.detail
            )
        return self._reconnect(attempt)

    def _is_too_late(self, attempt: Attempt) -> bool:
        """Whether the node exits before an endpoint could answer.

        A completion that may have run is not refused.
        """
        if self._outcome_so_far is not Outcome.NOT_RUN:
            return False
        stop = self._context.stop
        return not stop.deadline.leaves_time(
            self._deadline_s,
            lambda: stop.times.stream_s(
                self._request.pool,
                self._remaining_tokens(),
                replica=attempt.endpoint_id,
                must_hold=True,
            ),
        )

    def _engine_request(self, attempt: Attempt) -> EngineCompletionRequest:
        return EngineCompletionRequest(
            request_id=attempt.request_id,
            model=self._request.engine_model,
            weights_version=self._request.weights_version,
            prompt=self._prompt(),
            max_tokens=self._remaining_tokens(),
            priority=self._request.priority,
            cache_salt=self._salt,
        )

    def _stream_attempt(
        self, attempt: Attempt
    ) -> Generator[Result[Delivery, Refusal], None, AttemptFailure | None]:
        idle_resumes = 0
        while True:
            index_before = attempt.guard.next_index
            finished = yield from self._read_stream(attempt)
            if finished:
                return None
            progressed = attempt.guard.next_index > index_before
            idle_resumes = 0 if progressed else idle_resumes + 1
            if self._must_stop_resuming(attempt, idle_resumes):
                return AttemptFailure(
                    kind=FailureKind.LOST, step="stream", detail="no progress"
                )
            failure = self._reconnect(attempt)
            if failure is not None:
                return failure

    def _read_stream(
        self, attempt: Attempt
    ) -> Generator[Result[Delivery, Refusal], None, bool]:
        for item in attempt.stream.events():
            if item.is_err():
                self._context.metrics.stream_faults.inc({"step": item.err_value.step})
                break
            event = item.ok_value
            verdict = attempt.guard.check(event)
            if verdict is EventVerdict.GAP:
                self._context.metrics.stream_faults.inc({"step": "gap"})
                break
            if verdict is not EventVerdict.DELIVER:
                self._context.metrics.stream_faults.inc({"step": verdict.name.lower()})
                continue
            yield Ok(self._deliver(attempt, event))
            if event.finish_reason is not None:
                return True
        attempt.stream.close()
        return False

    def _must_stop_resuming(self, attempt: Attempt, idle_resumes: int) -> bool:
        if not self._has_time():
            return True
        awaits_first_token = attempt.guard.next_index == 0
        return idle_resumes > MAX_IDLE_RESUMES * (2 if awaits_first_token else 1)

    def _has_time(self) -> bool:
        """Whether neither the caller's time nor that of a stopping node has passed."""
        deadline_s = self._context.stop.deadline.limit(self._deadline_s)
        return time.monotonic() <= deadline_s

    def _reconnect(self, attempt: Attempt) -> AttemptFailure | None:
        attempt.lost_s = time.monotonic()
        client = self._context.clients.get(attempt.endpoint_id)
        if client is None:
            return AttemptFailure(
                kind=FailureKind.LOST, step="resume", detail="removed"
            )
        resumed = client.resume(
            request_id=attempt.request_id, from_index=attempt.guard.next_index
        )
        if resumed.is_ok():
            self._use_stream(attempt, resumed.ok_value)
            return None
        return AttemptFailure(
            kind=self._failure_kind(attempt, resumed.err_value),
            step="resume",
            detail=resumed.err_value.detail,
            gone=not resumed.err_value.timed_out,
        )

    def _failure_kind(self, attempt: Attempt, error: PeerError) -> FailureKind:
        """Return whether the endpoint crashed or only lost this request."""
        if error.timed_out:
            return FailureKind.LOST
        client = self._context.clients.get(attempt.endpoint_id)
        report = client.load()
        if report.is_err() and not report.err_value.timed_out:
            # An engine that is exiting may still accept connections and reset them, so
            # any error other than a time-out counts as a crash.
            return FailureKind.CRASHED
        if report.is_err():
            return FailureKind.LOST
        same_incarnation = report.ok_value.incarnation == attempt.incarnation
        return (
            FailureKind.LOST
            if same_incarnation or not attempt.incarnation
            else FailureKind.CRASHED
        )

    def _use_stream(self, attempt: Attempt, stream: EngineStream) -> None:
        attempt.stream = stream
        attempt.incarnation = attempt.incarnation or stream.incarnation
        attempt.token_issuer = self._context.resume_tokens.issuer_for(
            self._resume_point(attempt)
        )

    def _deliver(self, attempt: Attempt, event: TokenEvent) -> Delivery:
        if event.index == 0:
            self._record_first_token(attempt, event)
        self._text.append(event.text)
        self._prompt_tokens = self._prompt_tokens or event.prompt_tokens
        return self._delivery(
            attempt,
            index=event.index,
            text=event.text,
            finish_reason=event.finish_reason,
        )

    def _delivery(
        self, attempt: Attempt, *, index: int, text: str, finish_reason: str | None
    ) -> Delivery:
        delivered = attempt.prior_tokens + index + 1
        return Delivery(
            text=text,
            finish_reason=finish_reason,
            resume_token=attempt.token_issuer.issue(
                index=index,
                delivered=delivered,
                finished=finish_reason is not None,
            ),
            endpoint_id=attempt.endpoint_id,
            prompt_tokens=self._prompt_tokens,
            cached_tokens=self._cached_tokens,
            completion_tokens=delivered,
        )

    def _record_times(self, attempt: Attempt) -> None:
        """Record how long the answer and its tokens took."""
        times = self._context.stop.times
        now_s = time.monotonic()
        times.record_answer(self._request.pool, now_s - attempt.started_s)
        tokens = attempt.guard.next_index
        if attempt.first_token_s is not None and tokens > 1:
            gap_s = (now_s - attempt.first_token_s) / (tokens - 1)
            times.record_pace(self._request.pool, attempt.endpoint_id, gap_s)

    def _record_first_token(self, attempt: Attempt, event: TokenEvent) -> None:
        attempt.first_token_s = time.monotonic()
        self._context.stop.times.record_first_event(
            self._request.pool, attempt.first_token_s - attempt.started_s
        )
        if attempt.prior_tokens == 0:
            self._cached_tokens = event.cached_tokens
            self._prompt_tokens = event.prompt_tokens
        self._context.metrics.record_prefill(
            prompt_tokens=event.prompt_tokens, cached_tokens=event.cached_tokens
        )
        self._context.dispatcher.tell(
            Dispatcher.FirstTokenReceived(
                endpoint_id=attempt.endpoint_id,
                request_id=attempt.request_id,
                cached_tokens=event.cached_tokens,
            )
        )

    def _resume_point(self, attempt: Attempt) -> ResumePoint:
        """Return the resume point before the attempt's first event."""
        return ResumePoint(
            organisation=self._request.organisation,
            pool=self._request.pool,
            endpoint_id=attempt.endpoint_id,
            incarnation=attempt.incarnation,
            engine_request_id=attempt.request_id,
            index=0,
            delivered=attempt.prior_tokens,
            model=self._request.model,
        )

    def _refusal_after(self, failure: AttemptFailure) -> Refusal | None:
        """Report a failed attempt to the dispatcher and decide on the next one.

        Returns:
            The refusal that ends the run, or None, after the retry delay, for
            another attempt.
        """
        endpoint_id = self._attempt.endpoint_id
        self._excluded.add(endpoint_id)
        if failure.kind != FailureKind.REFUSED:
            self._outcome_so_far = Outcome.RAN if self._text else Outcome.UNKNOWN
        self._context.time_line.record(
            kind=f"attempt_{failure.kind}",
            subject=self._request.request_id,
            detail=f"{failure.step}: {failure.detail}",
        )
        verdict = self._context.dispatcher.ask(
            Dispatcher.AttemptFailed(
                endpoint_id=endpoint_id,
                kind=failure.kind,
                fingerprint=self._fingerprint,
                attempts=self._attempts,
                progressed=self._attempt.guard.next_index > 0,
                block_keys=self._block_keys,
                run_s=time.monotonic() - self._attempt.started_s,
                since_loss_s=self._attempt.since_loss_s,
            )
        )
        if verdict.refusal is not None:
            return self._with_outcome(verdict.refusal)
        if verdict.retry and self._has_time():
            self._context.metrics.retries.inc({"kind": failure.kind})
            time.sleep(verdict.delay_s)
            return None
        return attrs.evolve(
            no_endpoint_refusal(failure.detail, None),
            outcome=self._outcome_so_far,
            step=failure.step,
            peer=endpoint_id,
        )

    def _end_attempt(
        self, attempt: Attempt, *, cancel: bool, completed: bool = False
    ) -> None:
        if attempt.stream is not None:
            attempt.stream.close()
        attempt.stream = None
        if completed:
            self._record_times(attempt)
        self._context.dispatcher.tell(
            Dispatcher.AttemptFinished(
                endpoint_id=attempt.endpoint_id,
                request_id=attempt.request_id,
                completed_fingerprint=self._fingerprint if completed else None,
                completed_block_keys=self._block_keys if completed else (),
            )
        )
        if cancel:
            self._context.clients.cancel_in_background(
                attempt.endpoint_id, attempt.request_id
            )

    def _cancel_open_attempt(self) -> None:
        """Cancel the current attempt if the caller disconnected during it."""
        attempt = self._attempt
        if attempt is not None and attempt.stream is not None:
            self._end_attempt(attempt, cancel=True)

    def _prompt(self) -> str:
        return self._request.prompt + "".join(self._text)

    def _remaining_tokens(self) -> int:
        return self._request.max_tokens - len(self._text)

    def _engine_request_id(self) -> str:
        return f"{self._request.request_id}-{self._attempts}"


def _request_salt(request: CompletionRequest) -> str:
    return cache_salt(
        organisation=request.organisation,
        model=request.engine_model,
        weights_version=request.weights_version,
    )
