"""Interface for the translation between the wire format and the relay's types."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from crocuswick.errors import Refusal
    from crocuswick.relay.relay_request import (
        Attempt,
        CallerRequest,
        ResponseHead,
        RoutedRequest,
    )
    from crocuswick.relay.upstream import UpstreamRequest, UpstreamResponse

__all__ = ["Dialect"]


class Dialect(Protocol):
    """Translates requests and responses from and to the wire format."""

    def decode_request(
        self,
        *,
        method: str,
        target: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes | bytearray,
        received_s: float,
    ) -> Result[CallerRequest, Refusal]:
        """Decode a caller's request, or refuse it and name the invalid field."""

    def encode_attempt(
        self,
        *,
        request: RoutedRequest,
        attempt: Attempt,
        budget_ms: int,
        last_event_id: int | None,
    ) -> UpstreamRequest:
        """Encode a request to a replica with its remaining time."""

    def decode_response(self, response: UpstreamResponse) -> ResponseHead:
        """Decode the head of a replica's response."""
