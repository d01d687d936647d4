"""The three possible outcomes of a request without a complete response."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """Whether a back end executed a request, as far as known."""

    NOT_RUN = "not_run"
    """No byte of the request reached a back end, or it reported not running it."""

    RAN = "ran"
    """The back end executed the request."""

    UNKNOWN = "unknown"
    """The request may or may not have been executed."""
