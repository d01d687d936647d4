"""Errors that carry the step and the peer at which they occurred."""

from __future__ import annotations

import attrs

from crocuswick.outcome import Outcome

__all__ = ["PeerError", "Refusal"]


@attrs.frozen(kw_only=True)
class PeerError:
    """A failed exchange with a peer, used as the ``Err`` side of a ``Result``."""

    step: str
    """Step that failed, for instance ``"connect"`` or ``"append"``."""

    peer: str
    """Id or address of the peer, for instance ``"engine-1"``."""

    detail: str
    """Human-readable description of the failure."""

    outcome: Outcome = Outcome.UNKNOWN
    """Whether the peer executed the request, as far as known."""

    timed_out: bool = False
    """Whether the peer did not respond, rather than refusing or closing."""

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.detail} ({self.outcome})"


@attrs.frozen(kw_only=True)
class Refusal:
    """A final response that refuses a request, rendered as problem+json."""

    status: int
    """HTTP status code."""

    title: str
    """Stable machine-readable name of the problem."""

    detail: str
    """Human-readable description of what happened and what to do."""

    outcome: Outcome = Outcome.NOT_RUN
    """Whether the request was executed, as far as known."""

    step: str = "admission"
    """Step at which the request was refused."""

    peer: str = ""
    """Id or address of the peer concerned, empty for the node itself."""

    retry_after_s: float | None = None
    """Seconds after which a retry may succeed, or None if no retry can."""

    field: str = ""
    """Field of the request that caused the refusal, empty if none did."""
