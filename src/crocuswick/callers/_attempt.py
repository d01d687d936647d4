"""One attempt to run a completion at an endpoint, and how it can fail."""

from __future__ import annotations

import time

import attrs

from crocuswick.dispatcher import FailureKind
from crocuswick.endpoints import EngineStream
from crocuswick.errors import Refusal
from crocuswick.outcome import Outcome
from crocuswick.resume_token import TokenIssuer
from crocuswick.stream_guard import StreamGuard

__all__ = ["Attempt", "AttemptFailure", "resume_refusal"]

RESUME_RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class AttemptFailure:
    """The failure of an attempt before its last token."""

    kind: FailureKind
    """Kind of failure, which decides on retries."""

    step: str
    """Step that failed."""

    detail: str
    """Human-readable description."""

    gone: bool = False
    """Whether resuming failed other than by a time-out; the request then counts as
    lost."""


@attrs.define(kw_only=True)
class Attempt:
    """One attempt to run a completion at one endpoint."""

    endpoint_id: str
    """Id of the endpoint."""

    request_id: str
    """Id of the request at the endpoint."""

    guard: StreamGuard
    """Checks the order of the endpoint's events."""

    prior_tokens: int
    """Tokens delivered by earlier attempts."""

    started_s: float = attrs.field(factory=time.monotonic)
    """Monotonic time at which the attempt began."""

    first_token_s: float | None = None
    """Monotonic time of its first token, None before that."""

    lost_s: float | None = None
    """Monotonic time at which the connection was last lost."""

    stream: EngineStream | None = None
    """Open event stream of the endpoint, or None."""

    incarnation: str = ""
    """Incarnation of the endpoint that accepted the request."""

    token_issuer: TokenIssuer | None = None
    """Issues the resume tokens; set when the first stream is opened."""

    @property
    def since_loss_s(self) -> float:
        """Time since the connection was last lost, 0 if it was not."""
        return 0.0 if self.lost_s is None else time.monotonic() - self.lost_s


def resume_refusal(attempt: Attempt, failure: AttemptFailure) -> Refusal:
    """Return the refusal for a stream that can't be resumed at this node.

    It allows a retry unless the endpoint has lost the request: another node may
    still reach the endpoint.
    """
    return Refusal(
        status=410 if failure.gone else 503,
        title="stream-lost" if failure.gone else "endpoint-unreachable",
        detail=f"The stream can't be resumed at this node: {failure.detail}",
        outcome=Outcome.UNKNOWN,
        step=failure.step,
        peer=attempt.endpoint_id,
        retry_after_s=None if failure.gone else RESUME_RETRY_AFTER_S,
    )
