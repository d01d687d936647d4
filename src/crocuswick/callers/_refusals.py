"""Refusals of the callers' interface, all of them before anything is run."""

from __future__ import annotations

from crocuswick.errors import Refusal

__all__ = [
    "RefusedError",
    "bad_body",
    "bad_idempotency_key",
    "bad_token",
    "not_found",
    "slow_body",
    "starting",
    "too_large",
    "unauthorised",
    "wrong_method",
]

RETRY_AFTER_S = 1.0


class RefusedError(Exception):
    """Ends the handling of a request with a refusal."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


def starting() -> Refusal:
    """Refuse while the node has no configuration."""
    return Refusal(
        status=503,
        title="starting",
        detail="This node has no configuration yet.",
        step="configuration",
        retry_after_s=RETRY_AFTER_S,
    )


def unauthorised() -> Refusal:
    """Refuse a request without a known key."""
    return Refusal(
        status=401,
        title="unauthorised",
        detail="The Authorization header holds no known key.",
        step="authentication",
        field="Authorization",
    )


def not_found(path: str) -> Refusal:
    """Refuse a path that has nothing to offer."""
    return Refusal(
        status=404, title="not-found", detail=f"nothing at {path}", step="routing"
    )


def wrong_method(method: str) -> Refusal:
    """Refuse a method that a path does not take."""
    return Refusal(
        status=405,
        title="method-not-allowed",
        detail=f"{method} is not answered here",
        step="routing",
    )


def bad_token() -> Refusal:
    """Refuse to resume from a token that is not valid for the caller."""
    return Refusal(
        status=400,
        title="invalid-request",
        detail="The token is not one that this organisation can resume from.",
        step="validation",
        field="Last-Event-ID",
    )


def slow_body() -> Refusal:
    """Refuse a body that arrives too slowly."""
    return Refusal(
        status=408,
        title="body-too-slow",
        detail="the body did not arrive in time",
        step="validation",
        field="body",
    )


def bad_body(detail: str) -> Refusal:
    """Refuse a body that is malformed or incomplete."""
    return Refusal(
        status=400,
        title="invalid-request",
        detail=detail,
        step="validation",
        field="body",
    )


def too_large(limit: int) -> Refusal:
    """Refuse a body over the limit."""
    return Refusal(
        status=413,
        title="body-too-large",
        detail=f"the body exceeds {limit} bytes",
        step="validation",
        field="body",
    )


def bad_idempotency_key(max_characters: int) -> Refusal:
    """Refuse an idempotency key that is empty or too long."""
    return Refusal(
        status=400,
        title="invalid-request",
        detail=f"the key must have 1 to {max_characters} characters",
        step="validation",
        field="Idempotency-Key",
    )
