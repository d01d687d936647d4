"""Runs one completion: placement, attempts, resumption and continuation.

A completion is idempotent: it has no effect but its answer. An attempt that is
lost before its end is resumed at the same endpoint, or continued at another one
from the prompt and the text delivered so far.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import pykka
from result import Err, Ok, Result

from crocuswick.block_key import block_keys, cache_salt, count_tokens
from crocuswick.callers._attempt import Attempt, Lost, unresumable
from crocuswick.callers.delivery import Delivery
from crocuswick.dispatcher import (
    Dispatcher,
    FailureKind,
    no_endpoint_refusal,
)
from crocuswick.endpoints import CompletionOrder, EngineClients, EngineStream
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
PLACEMENT_PATIENCE_S = 5.0
PLACEMENT_RETRY_S = 0.1


@attrs.frozen(kw_only=True)
class CompletionContext:
    """What a completion needs of its node."""

    dispatcher: pykka.ActorRef
    clients: EngineClients
    tokens: ResumeTokens
    time_line: TimeLine
    metrics: Metrics
    served_version: Callable[[str], str]
    """Returns the weights version that a public model name gets at this moment."""


def fingerprint(request: CompletionRequest) -> str:
    """Return the digest by which a repeated request is recognised."""
    return request_fingerprint(
        organisation=request.organisation,
        model=request.model,
        body=request.prompt.encode(),
    )


class CompletionRun:
    """One completion, run by the thread that serves its caller."""

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
        self._cached_tokens = 0
        self._salt = _salt_of(request)

    def deliveries(self) -> Iterator[Result[Delivery, Refusal]]:
        """Yield the answer token by token.

        Yields:
            `Delivery` values in order up to the one with a finish reason. A
            `Refusal` ends the iteration early: the answer is not whole.
        """
        try:
            while True:
                lost = yield from self._try_once()
                if lost is None:
                    return
                refusal = self._refusal_after(lost)
                if refusal is not None:
                    yield Err(refusal)
                    return
        finally:
            self._abandon()

    def resume(self, point: ResumePoint) -> Iterator[Result[Delivery, Refusal]]:
        """Yield the rest of an answer that another node began.

        Args:
            point: Where the caller's last event came from.

        Yields:
            As `deliveries`; without the prompt there is no continuation at
            another endpoint, so a lost endpoint ends the answer with a refusal.
            Nothing, if the caller already has the last token.
        """
        if point.finished:
            return
        attempt = Attempt(
            endpoint_id=point.endpoint_id,
            request_id=point.engine_request_id,
            guard=StreamGuard(
                request_id=point.engine_request_id, next_index=point.index + 1
            ),
            base=point.delivered - point.index - 1,
        )
        self._attempt = attempt
        try:
            lost = self._reconnect(attempt)
            if lost is None:
                lost = yield from self._follow(attempt)
            if lost is not None:
                yield Err(unresumable(attempt, lost))
        finally:
            self._abandon()

    def _try_once(self) -> Generator[Result[Delivery, Refusal], None, Lost | None]:
        placed = self._place()
        if placed.is_err():
            yield placed
            return None
        placement = placed.ok_value
        self._import_cache(placement)
        attempt = self._new_attempt(placement)
        lost = self._open(attempt)
        if lost is None:
            lost = yield from self._follow(attempt)
        cancel = lost is not None and lost.kind == FailureKind.LOST
        self._end_attempt(attempt, cancel=cancel, completed=lost is None)
        if lost is not None and self._remaining_tokens() == 0:
            yield Ok(self._last_delivery(attempt))
            return None
        return lost

    def _last_delivery(self, attempt: Attempt) -> Delivery:
        """Return the end of an answer whose last token came without its mark."""
        return self._delivery(
            attempt,
            index=attempt.guard.next_index - 1,
            text="",
            finish_reason="length",
        )

    def _place(self) -> Result[Placement, Refusal]:
        """Choose an endpoint; a request that has begun waits a while for one."""
        wanted = self._wanted()
        patience_s = PLACEMENT_PATIENCE_S if self._attempts else 0.0
        until_s = min(time.monotonic() + patience_s, self._deadline_s)
        while True:
            placed = self._context.dispatcher.ask(
                Dispatcher.Place(request=wanted, fingerprint=self._fingerprint)
            )
            if placed.is_ok():
                return placed
            if not self._attempts and self._adopt_served_version():
                wanted = self._wanted()
                continue
            quarantined = placed.err_value.step == QUARANTINE_STEP
            if quarantined or time.monotonic() >= until_s:
                return placed.map_err(self._with_outcome)
            time.sleep(PLACEMENT_RETRY_S)
            # Endpoints that failed before may have come back.
            wanted = attrs.evolve(wanted, excluded=frozenset())

    def _adopt_served_version(self) -> bool:
        """Take the weights that callers get now, if a rollout has just moved on."""
        version = self._context.served_version(self._request.model)
        if version == self._request.weights_version:
            return False
        self._request = attrs.evolve(self._request, weights_version=version)
        self._salt = _salt_of(self._request)
        return True

    def _with_outcome(self, refusal: Refusal) -> Refusal:
        return attrs.evolve(refusal, outcome=self._outcome_so_far)

    def _wanted(self) -> PlacementRequest:
        prompt = self._prompt()
        keys = block_keys(prompt, salt=self._salt)
        prompt_tokens = count_tokens(prompt)
        self._prompt_tokens = self._prompt_tokens or prompt_tokens
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
        held = keys[: placement.predicted_cached_blocks]
        # An import that fails costs time, not the answer: the engine computes.
        client.import_cache(source_address=source, keys=held)

    def _new_attempt(self, placement: Placement) -> Attempt:
        request_id = self._engine_request_id()
        self._attempts += 1
        self._attempt = Attempt(
            endpoint_id=placement.endpoint_id,
            request_id=request_id,
            guard=StreamGuard(request_id=request_id),
            base=len(self._text),
        )
        self._context.time_line.record(
            kind="placed",
            subject=self._request.request_id,
            detail=f"{placement.endpoint_id} ({placement.reason})",
        )
        return self._attempt

    def _open(self, attempt: Attempt) -> Lost | None:
        client = self._context.clients.get(attempt.endpoint_id)
        if client is None:
            return Lost(kind=FailureKind.REFUSED, step="open", detail="removed")
        opened = client.open(self._order(attempt))
        if opened.is_ok():
            self._use_stream(attempt, opened.ok_value)
            return None
        error = opened.err_value
        if error.outcome is Outcome.NOT_RUN:
            return Lost(kind=FailureKind.REFUSED, step="open", detail=error.detail)
        return self._reconnect(attempt)

    def _order(self, attempt: Attempt) -> CompletionOrder:
        return CompletionOrder(
            request_id=attempt.request_id,
            model=self._request.engine_model,
            weights_version=self._request.weights_version,
            prompt=self._prompt(),
            max_tokens=self._remaining_tokens(),
            priority=self._request.priority,
            cache_salt=self._salt,
        )

    def _follow(
        self, attempt: Attempt
    ) -> Generator[Result[Delivery, Refusal], None, Lost | None]:
        idle_resumes = 0
        while True:
            before = attempt.guard.next_index
            finished = yield from self._read_stream(attempt)
            if finished:
                return None
            progressed = attempt.guard.next_index > before
            idle_resumes = 0 if progressed else idle_resumes + 1
            if self._exhausted(attempt, idle_resumes):
                return Lost(kind=FailureKind.LOST, step="stream", detail="no progress")
            lost = self._reconnect(attempt)
            if lost is not None:
                return lost

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

    def _exhausted(self, attempt: Attempt, idle_resumes: int) -> bool:
        if time.monotonic() > self._deadline_s:
            return True
        waiting = attempt.guard.next_index == 0
        return idle_resumes > MAX_IDLE_RESUMES * (2 if waiting else 1)

    def _reconnect(self, attempt: Attempt) -> Lost | None:
        client = self._context.clients.get(attempt.endpoint_id)
        if client is None:
            return Lost(kind=FailureKind.LOST, step="resume", detail="removed")
        resumed = client.resume(
            request_id=attempt.request_id, from_index=attempt.guard.next_index
        )
        if resumed.is_ok():
            self._use_stream(attempt, resumed.ok_value)
            return None
        return Lost(
            kind=self._kind_of_loss(attempt, resumed.err_value),
            step="resume",
            detail=resumed.err_value.detail,
            gone=not resumed.err_value.timed_out,
        )

    def _kind_of_loss(self, attempt: Attempt, error: PeerError) -> FailureKind:
        """Return whether the endpoint went down or only lost this request."""
        if error.timed_out:
            return FailureKind.LOST
        client = self._context.clients.get(attempt.endpoint_id)
        report = client.load()
        if report.is_err() and not report.err_value.timed_out:
            # A process that is going down resets what its port still accepts.
            return FailureKind.CRASHED
        if report.is_err():
            return FailureKind.LOST
        same = report.ok_value.incarnation == attempt.incarnation
        return (
            FailureKind.LOST if same or not attempt.incarnation else FailureKind.CRASHED
        )

    def _use_stream(self, attempt: Attempt, stream: EngineStream) -> None:
        attempt.stream = stream
        attempt.incarnation = attempt.incarnation or stream.incarnation
        attempt.tokens = self._context.tokens.series(self._resume_point(attempt))

    def _deliver(self, attempt: Attempt, event: TokenEvent) -> Delivery:
        if event.index == 0:
            self._note_first_token(attempt, event)
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
        delivered = attempt.base + index + 1
        return Delivery(
            text=text,
            finish_reason=finish_reason,
            resume_token=attempt.tokens.issue(
                index=index,
                delivered=delivered,
                finished=finish_reason is not None,
            ),
            endpoint_id=attempt.endpoint_id,
            prompt_tokens=self._prompt_tokens,
            cached_tokens=self._cached_tokens,
            completion_tokens=delivered,
        )

    def _note_first_token(self, attempt: Attempt, event: TokenEvent) -> None:
        if attempt.base == 0:
            self._cached_tokens = event.cached_tokens
            self._prompt_tokens = event.prompt_tokens
        self._context.metrics.note_prefill(
            prompt_tokens=event.prompt_tokens, cached_tokens=event.cached_tokens
        )
        self._context.dispatcher.tell(
            Dispatcher.FirstToken(
                endpoint_id=attempt.endpoint_id,
                request_id=attempt.request_id,
                cached_tokens=event.cached_tokens,
            )
        )

    def _resume_point(self, attempt: Attempt) -> ResumePoint:
        """Return the point before the attempt's first event."""
        return ResumePoint(
            organisation=self._request.organisation,
            pool=self._request.pool,
            endpoint_id=attempt.endpoint_id,
            incarnation=attempt.incarnation,
            engine_request_id=attempt.request_id,
            index=0,
            delivered=attempt.base,
            model=self._request.model,
        )

    def _refusal_after(self, lost: Lost) -> Refusal | None:
        """Return the refusal that ends the run, or None to try again."""
        endpoint_id = self._attempt.endpoint_id
        self._excluded.add(endpoint_id)
        if lost.kind != FailureKind.REFUSED:
            self._outcome_so_far = Outcome.RAN if self._text else Outcome.UNKNOWN
        self._context.time_line.record(
            kind=f"attempt_{lost.kind}",
            subject=self._request.request_id,
            detail=f"{lost.step}: {lost.detail}",
        )
        verdict = self._context.dispatcher.ask(
            Dispatcher.Failed(
                endpoint_id=endpoint_id,
                kind=lost.kind,
                fingerprint=self._fingerprint,
                attempts=self._attempts,
                progressed=self._attempt.guard.next_index > 0,
            )
        )
        if verdict.refusal is not None:
            return self._with_outcome(verdict.refusal)
        if verdict.retry and time.monotonic() <= self._deadline_s:
            self._context.metrics.retries.inc({"kind": lost.kind})
            time.sleep(verdict.delay_s)
            return None
        return attrs.evolve(
            no_endpoint_refusal(lost.detail, None),
            outcome=self._outcome_so_far,
            step=lost.step,
            peer=endpoint_id,
        )

    def _end_attempt(
        self, attempt: Attempt, *, cancel: bool, completed: bool = False
    ) -> None:
        if attempt.stream is not None:
            attempt.stream.close()
        attempt.stream = None
        self._context.dispatcher.tell(
            Dispatcher.Finished(
                endpoint_id=attempt.endpoint_id,
                request_id=attempt.request_id,
                completed_fingerprint=self._fingerprint if completed else None,
            )
        )
        if cancel:
            self._context.clients.cancel_later(attempt.endpoint_id, attempt.request_id)

    def _abandon(self) -> None:
        """Cancel what still runs when the caller has gone away."""
        attempt = self._attempt
        if attempt is not None and attempt.stream is not None:
            self._end_attempt(attempt, cancel=True)

    def _prompt(self) -> str:
        return self._request.prompt + "".join(self._text)

    def _remaining_tokens(self) -> int:
        return self._request.max_tokens - len(self._text)

    def _engine_request_id(self) -> str:
        return f"{self._request.request_id}-{self._attempts}"


def _salt_of(request: CompletionRequest) -> str:
    return cache_salt(
        organisation=request.organisation,
        model=request.engine_model,
        weights_version=request.weights_version,
    )
