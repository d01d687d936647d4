"""The three outcomes that a request can have when no answer is delivered."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """What is known of a request's execution at the back end."""

    NOT_RUN = "not_run"
    """No byte of the request reached a back end, or the back end said so."""

    RAN = "ran"
    """The back end executed the request."""

    UNKNOWN = "unknown"
    """The request may or may not have been executed."""
