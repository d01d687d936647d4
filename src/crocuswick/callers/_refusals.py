"""Refusals of the callers' interface, issued before a request is executed."""

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
    """Raised to end the handling of a request with a refusal."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


def starting() -> Refusal:
    """Return the refusal of a node that has no configuration yet."""
    return Refusal(
        status=503,
        title="starting",
        detail="This node has no configuration yet.",
        step="configuration",
        retry_after_s=RETRY_AFTER_S,
    )


def unauthorised() -> Refusal:
    """Return the refusal of a request without a known API key."""
    return Refusal(
        status=401,
        title="unauthorised",
        detail="The Authorization header contains no known API key.",
        step="authentication",
        field="Authorization",
    )


def not_found(path: str) -> Refusal:
    """Return the refusal of a path that does not exist."""
    return Refusal(
        status=404, title="not-found", detail=f"no resource at {path}", step="routing"
    )


def wrong_method(method: str) -> Refusal:
    """Return the refusal of a method that a path does not support."""
    return Refusal(
        status=405,
        title="method-not-allowed",
        detail=f"method {method} is not supported here",
        step="routing",
    )


def bad_token() -> Refusal:
    """Return the refusal of a resume token that is not valid for the caller."""
    return Refusal(
        status=400,
        title="invalid-request",
        detail="The resume token is not valid for this organisation.",
        step="validation",
        field="Last-Event-ID",
    )


def slow_body() -> Refusal:
    """Return the refusal of a body that arrives too slowly."""
    return Refusal(
        status=408,
        title="body-too-slow",
        detail="the body did not arrive in time",
        step="validation",
        field="body",
    )


def bad_body(detail: str) -> Refusal:
    """Return the refusal of a body that is malformed or incomplete."""
    return Refusal(
        status=400,
        title="invalid-request",
        detail=detail,
        step="validation",
        field="body",
    )


def too_large(limit_bytes: int) -> Refusal:
    """Return the refusal of a body over the size limit.

    Args:
        limit_bytes: The limit.
    """
    return Refusal(
        status=413,
        title="body-too-large",
        detail=f"the body exceeds {limit_bytes} bytes",
        step="validation",
        field="body",
    )


def bad_idempotency_key(max_characters: int) -> Refusal:
    """Return the refusal of an idempotency key that is empty or too long."""
    return Refusal(
        status=400,
        title="invalid-request",
        detail=f"the key must have 1 to {max_characters} characters",
        step="validation",
        field="Idempotency-Key",
    )
