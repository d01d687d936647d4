"""Rendering of a refusal as a complete answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from crocuswick.problem import problem_body, problem_headers

if TYPE_CHECKING:
    from crocuswick.errors import Refusal

__all__ = ["CompleteAnswer", "refusal_answer"]

RETRY_AFTER = "Retry-After"


@attrs.frozen(kw_only=True)
class CompleteAnswer:
    """An answer with its complete body."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray


def refusal_answer(refusal: Refusal, request_id: str) -> CompleteAnswer:
    """Return the answer that reports a refusal.

    Args:
        refusal: The refusal.
        request_id: Id of the refused request, empty if it has none.
    """
    headers = problem_headers(refusal)
    if refusal.retry_after_s is not None:
        # Callers of relayed routes accept fractions of a second.
        headers[RETRY_AFTER] = f"{max(0.05, refusal.retry_after_s):.2f}"
    return CompleteAnswer(
        status=refusal.status,
        reason=HTTPStatus(refusal.status).phrase,
        headers=tuple(headers.items()),
        body=problem_body(refusal, request_id),
    )
