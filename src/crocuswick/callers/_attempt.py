"""One try of a completion at one endpoint, and how it can be lost."""

from __future__ import annotations

import attrs

from crocuswick.dispatcher import FailureKind
from crocuswick.endpoints import EngineStream
from crocuswick.errors import Refusal
from crocuswick.outcome import Outcome
from crocuswick.resume_token import TokenSeries
from crocuswick.stream_guard import StreamGuard

__all__ = ["Attempt", "Lost", "unresumable"]

RESUME_RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class Lost:
    """An attempt that ended before its last token."""

    kind: FailureKind
    """How it was lost."""

    step: str
    """The step at which it was lost."""

    detail: str
    """What happened, for people."""

    gone: bool = False
    """Whether the endpoint itself showed that it has the request no more."""


@attrs.define(kw_only=True)
class Attempt:
    """One try at one endpoint."""

    endpoint_id: str
    """The endpoint."""

    request_id: str
    """Id of the request at the endpoint."""

    guard: StreamGuard
    """Admits the endpoint's events in order."""

    base: int
    """Tokens delivered by earlier attempts."""

    stream: EngineStream | None = None
    """The connection that is read now."""

    incarnation: str = ""
    """Incarnation of the endpoint that took the request."""

    tokens: TokenSeries | None = None
    """Issues the resume tokens, from the first stream on."""


def unresumable(attempt: Attempt, lost: Lost) -> Refusal:
    """Return the refusal of a resumption; another node may still reach the endpoint."""
    return Refusal(
        status=410 if lost.gone else 503,
        title="stream-lost" if lost.gone else "endpoint-unreachable",
        detail=f"The answer can't be resumed here: {lost.detail}",
        outcome=Outcome.UNKNOWN,
        step=lost.step,
        peer=attempt.endpoint_id,
        retry_after_s=None if lost.gone else RESUME_RETRY_AFTER_S,
    )
