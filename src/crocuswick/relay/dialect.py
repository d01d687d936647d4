"""What the relay asks of the translation between the wire and its own types."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from crocuswick.errors import Refusal
    from crocuswick.relay.relay_request import (
        AnswerHead,
        Attempt,
        CallerRequest,
        RoutedRequest,
    )
    from crocuswick.relay.upstream import UpstreamRequest, UpstreamResponse

__all__ = ["Dialect"]


class Dialect(Protocol):
    """Translates requests and answers; its names stay on its own side."""

    def decode_request(
        self,
        *,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        received_s: float,
    ) -> Result[CallerRequest, Refusal]:
        """Read a caller's request, or say which part of it is at fault."""

    def encode_attempt(
        self,
        *,
        request: RoutedRequest,
        attempt: Attempt,
        budget_ms: int,
        last_event_id: int | None,
    ) -> UpstreamRequest:
        """Write a request for a replica with what is left of its time."""

    def decode_answer(self, response: UpstreamResponse) -> AnswerHead:
        """Read the head of a replica's answer."""
