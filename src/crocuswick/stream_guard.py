"""Checks that the events of a stream are complete, in order and of one request."""

from __future__ import annotations

from enum import Enum, auto

import attrs

__all__ = ["EventVerdict", "StreamGuard", "TokenEvent"]


@attrs.frozen(kw_only=True)
class TokenEvent:
    """One event of an engine's response stream."""

    request_id: str
    """Id of the request that the event belongs to."""

    index: int
    """Position in the response, from 0."""

    text: str
    """Text of the token."""

    finish_reason: str | None = None
    """Set on the last event only."""

    cached_tokens: int = 0
    """Number of prompt tokens that the engine found in its cache."""

    prompt_tokens: int = 0
    """Number of tokens in the prompt."""


class EventVerdict(Enum):
    """What to do with an event."""

    DELIVER = auto()
    """The event is the next one of the stream; deliver it."""

    REPEATED = auto()
    """The event was delivered before; drop it."""

    FOREIGN = auto()
    """The event belongs to another request; drop it."""

    GAP = auto()
    """Events before this one are missing; resume from the expected index."""


class StreamGuard:
    """Accepts the events of one request in order, each once.

    Args:
        request_id: Id of the request.
        next_index: Index of the first event to accept.
    """

    def __init__(self, *, request_id: str, next_index: int = 0):
        self._request_id = request_id
        self._next_index = next_index

    @property
    def next_index(self) -> int:
        """Index of the event that is expected next."""
        return self._next_index

    def check(self, event: TokenEvent) -> EventVerdict:
        """Check an event and advance if it is the expected one.

        Args:
            event: Event as received.

        Returns:
            What to do with it; only `EventVerdict.DELIVER` advances the guard.
        """
        if event.request_id != self._request_id:
            return EventVerdict.FOREIGN
        if event.index < self._next_index:
            return EventVerdict.REPEATED
        if event.index > self._next_index:
            return EventVerdict.GAP
        self._next_index += 1
        return EventVerdict.DELIVER
