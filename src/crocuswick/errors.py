"""Errors that carry the step and the peer at which they arose."""

from __future__ import annotations

import attrs

from crocuswick.outcome import Outcome

__all__ = ["PeerError", "Refusal"]


@attrs.frozen(kw_only=True)
class PeerError:
    """A failed exchange with a peer, used as the ``Err`` side of a ``Result``."""

    step: str
    """The step that failed, for instance ``"connect"`` or ``"append"``."""

    peer: str
    """The peer's id or address, for instance ``"engine-1"``."""

    detail: str
    """What happened, in a sentence for people."""

    outcome: Outcome = Outcome.UNKNOWN
    """What is known of the exchange's effect at the peer."""

    timed_out: bool = False
    """Whether the peer was silent, rather than refusing or closing."""

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.detail} ({self.outcome})"


@attrs.frozen(kw_only=True)
class Refusal:
    """A final answer that denies a request; rendered as problem+json."""

    status: int
    """HTTP status code."""

    title: str
    """Short name of the problem, stable for programs."""

    detail: str
    """What happened and what to do, for people."""

    outcome: Outcome = Outcome.NOT_RUN
    """What is known of the request's execution."""

    step: str = "admission"
    """The step at which the request was refused."""

    peer: str = ""
    """The peer concerned, or an empty string for the node itself."""

    retry_after_s: float | None = None
    """Seconds after which a repeat may succeed, or None if it never will."""

    field: str = ""
    """The offending field of the request, if one is to blame."""
