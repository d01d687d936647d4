"""Renders refusals as problem+json, with the fields that common clients read."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from crocuswick.errors import Refusal

__all__ = ["OUTCOME_HEADER", "problem_body", "problem_headers"]

OUTCOME_HEADER = "X-Crocuswick-Outcome"
AT_ONCE_S = 0.1
"""Time below which a repeat need not wait for a whole second."""


def problem_document(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the problem document of a refusal."""
    return {
        "type": f"urn:crocuswick:problem:{refusal.title}",
        "title": refusal.title,
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "step": refusal.step,
        "peer": refusal.peer,
        "field": refusal.field,
        "retry_after_s": refusal.retry_after_s,
        "request_id": request_id,
        "error": {
            "message": refusal.detail,
            "type": refusal.title,
            "param": refusal.field or None,
            "code": refusal.outcome.value,
        },
    }


def problem_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the problem document of a refusal, encoded as JSON."""
    return json.dumps(problem_document(refusal, request_id)).encode()


def problem_headers(refusal: Refusal) -> dict[str, str]:
    """Return the headers of a refusal, ``Retry-After`` in whole seconds.

    It is 0 if another node takes the request at once.
    """
    headers = {
        "Content-Type": "application/problem+json",
        OUTCOME_HEADER: refusal.outcome.value,
    }
    if refusal.retry_after_s is not None:
        is_at_once = refusal.retry_after_s < AT_ONCE_S
        seconds = 0 if is_at_once else math.ceil(refusal.retry_after_s)
        headers["Retry-After"] = str(seconds)
    return headers
