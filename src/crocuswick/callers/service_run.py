"""Runs one call to a plain service and reports its outcome.

The outcome says whether the call was executed, or that this is unknown.

Idempotent calls may be retried at another endpoint. Any other call is sent at most
once. With an ``Idempotency-Key`` this holds across all nodes: the node first claims
the key in the platform's log.
"""

from __future__ import annotations

import hashlib
import random
import time
from typing import TYPE_CHECKING

import attrs
import pykka
from result import Err, Ok, Result

from crocuswick.configuration import EndpointPool, Service
from crocuswick.dispatcher import Dispatcher, FailureKind, no_endpoint_refusal
from crocuswick.draining import PlannedStop
from crocuswick.endpoints import ServiceCall, ServiceClient, ServiceResponse
from crocuswick.errors import PeerError, Refusal
from crocuswick.metrics import Metrics
from crocuswick.outcome import Outcome
from crocuswick.platform_log import ClaimRegistry, ClaimVerdictKind
from crocuswick.time_line import TimeLine

if TYPE_CHECKING:
    from crocuswick.configuration import Endpoint
    from crocuswick.platform_log import ClaimVerdict

__all__ = ["ServiceContext", "ServiceRequest", "ServiceRun", "call_fingerprint"]

CLAIM_RETRY_AFTER_S = 1.0
MAX_RECORDED_BODY_BYTES = 16 * 1024
"""Size limit of a response body that is recorded for a replay."""


@attrs.frozen(kw_only=True)
class ServiceContext:
    """Components and settings of the node that a service call uses."""

    dispatcher: pykka.ActorRef
    claims: ClaimRegistry
    metrics: Metrics
    time_line: TimeLine
    zone: str
    stop: PlannedStop = attrs.Factory(PlannedStop)


@attrs.frozen(kw_only=True)
class ServiceRequest:
    """A validated call to a plain service."""

    request_id: str
    organisation: str
    service: Service
    pool: EndpointPool
    call: ServiceCall
    idempotency_key: str | None

    @property
    def idempotent(self) -> bool:
        """Whether the call may be executed more than once."""
        return self.call.method in self.service.idempotent_methods


def call_fingerprint(call: ServiceCall) -> str:
    """Return a digest of the call, to detect that a key is reused for another call."""
    head = f"{call.method}\0{call.path}\0".encode()
    return hashlib.blake2b(head + call.body, digest_size=16).hexdigest()


class ServiceRun:
    """One service call, run on the thread that serves its caller."""

    def __init__(
        self,
        *,
        context: ServiceContext,
        request: ServiceRequest,
        client: ServiceClient | None = None,
    ):
        self._context = context
        self._request = request
        self._client = client or ServiceClient(on_connect=context.stop.calls.add)
        self._excluded: set[str] = set()
        self._outcome_so_far = Outcome.NOT_RUN

    def run(self) -> Result[ServiceResponse, Refusal]:
        """Run the call.

        Returns:
            The service's response, or a refusal with the outcome of the call, which
            may be unknown.
        """
        if self._request.idempotent or self._request.idempotency_key is None:
            return self._send()
        return self._send_claimed(self._request.idempotency_key)

    def _send_claimed(self, key: str) -> Result[ServiceResponse, Refusal]:
        claimed = self._context.claims.claim(
            organisation=self._request.organisation,
            service=self._request.service.id,
            key=key,
            fingerprint=call_fingerprint(self._request.call),
        )
        if claimed.is_err():
            return Err(_claim_refusal(claimed.err_value))
        verdict = claimed.ok_value
        if verdict.kind is not ClaimVerdictKind.FIRST:
            return _repeat_response(verdict)
        response = self._send()
        self._record_outcome(verdict, response)
        return response

    def _record_outcome(
        self, verdict: ClaimVerdict, response: Result[ServiceResponse, Refusal]
    ) -> None:
        """Record the outcome of a claimed call for later calls with its key."""
        if response.is_ok():
            self._record_response(verdict, response.ok_value)
        elif response.err_value.outcome is Outcome.NOT_RUN:
            self._context.claims.abandon(verdict.claim_id)
        else:
            self._context.claims.record_unknown_outcome(verdict.claim_id)

    def _record_response(
        self, verdict: ClaimVerdict, response: ServiceResponse
    ) -> None:
        if len(response.body) > MAX_RECORDED_BODY_BYTES:
            # A replay must be complete. Without the body, later calls with this key get
            # the outcome "unknown".
            self._context.claims.record_unknown_outcome(verdict.claim_id)
            return
        self._context.claims.complete(
            verdict.claim_id,
            status=response.status,
            headers=replayable_headers(response.headers),
            body=response.body,
        )

    def _send(self) -> Result[ServiceResponse, Refusal]:
        attempts = 0
        while True:
            endpoint = self._choose_endpoint()
            if endpoint is None:
                refusal = no_endpoint_refusal("no endpoint is available", None)
                return Err(attrs.evolve(refusal, outcome=self._outcome_so_far))
            attempts += 1
            started_s = time.monotonic()
            sent = self._client.send(
                endpoint_id=endpoint.id,
                address=endpoint.address,
                call=self._request.call,
                timeout_s=self._request.service.timeout_ms / 1000,
            )
            if sent.is_ok():
                self._context.stop.times.record_answer(
                    self._request.service.id, time.monotonic() - started_s
                )
                return Ok(sent.ok_value)
            error = sent.err_value
            if error.outcome is not Outcome.NOT_RUN:
                self._outcome_so_far = error.outcome
            if not self._may_retry(endpoint, error, attempts):
                return Err(_call_refusal(error, self._outcome_so_far))

    def _choose_endpoint(self) -> Endpoint | None:
        """Choose a random available endpoint, preferably in the local zone."""
        unavailable = self._context.dispatcher.ask(Dispatcher.GetUnavailableEndpoints())
        usable = [
            endpoint
            for endpoint in self._request.pool.endpoints
            if endpoint.id not in unavailable and endpoint.id not in self._excluded
        ]
        local = [endpoint for endpoint in usable if endpoint.zone == self._context.zone]
        candidates = local or usable
        return random.choice(candidates) if candidates else None

    def _may_retry(self, endpoint: Endpoint, error: PeerError, attempts: int) -> bool:
        """Report a failed attempt and return whether to try another endpoint."""
        self._excluded.add(endpoint.id)
        verdict = self._context.dispatcher.ask(
            Dispatcher.AttemptFailed(
                endpoint_id=endpoint.id,
                kind=FailureKind.LOST,
                fingerprint="",
                attempts=attempts,
            )
        )
        is_safe = self._request.idempotent or error.outcome is Outcome.NOT_RUN
        return is_safe and verdict.retry and not self._context.stop.deadline.has_passed


def replayable_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the response headers that are recorded for a replay."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() in ("content-type", "location")
    }


def _repeat_response(verdict: ClaimVerdict) -> Result[ServiceResponse, Refusal]:
    if verdict.kind is ClaimVerdictKind.REPLAY:
        replay = verdict.replay
        headers = {**replay.headers, "X-Crocuswick-Replayed": "true"}
        return Ok(
            ServiceResponse(status=replay.status, headers=headers, body=replay.body)
        )
    if verdict.kind is ClaimVerdictKind.MISMATCH:
        return Err(
            Refusal(
                status=422,
                title="idempotency-key-reused",
                detail="The key was used before with a different request.",
                step="claim",
                field="Idempotency-Key",
            )
        )
    return Err(
        Refusal(
            status=409,
            title="first-call-unsettled",
            detail="An earlier call with the key is running or has an unknown outcome.",
            outcome=Outcome.UNKNOWN,
            step="claim",
            retry_after_s=CLAIM_RETRY_AFTER_S,
        )
    )


def _claim_refusal(error: PeerError) -> Refusal:
    return Refusal(
        status=503,
        title="claim-not-recorded",
        detail=f"The call was not run because its key could not be claimed: {error}",
        outcome=error.outcome,
        step=error.step,
        peer=error.peer,
        retry_after_s=CLAIM_RETRY_AFTER_S,
    )


def _call_refusal(error: PeerError, outcome: Outcome) -> Refusal:
    not_run = outcome is Outcome.NOT_RUN
    return Refusal(
        status=503 if not_run else 502,
        title="endpoint-unreachable" if not_run else "answer-lost",
        detail=error.detail,
        outcome=outcome,
        step=error.step,
        peer=error.peer,
        retry_after_s=1.0,
    )
