"""Checks that the events of an answer stream are complete, in order and its own."""

from __future__ import annotations

from enum import Enum, auto

import attrs

__all__ = ["EventVerdict", "StreamGuard", "TokenEvent"]


@attrs.frozen(kw_only=True)
class TokenEvent:
    """One event of an engine's answer stream."""

    request_id: str
    """Id of the request that the event answers."""

    index: int
    """Position in the answer, from 0."""

    text: str
    """Text of the token."""

    finish_reason: str | None = None
    """Set on the last event only."""

    cached_tokens: int = 0
    """Prompt tokens that the engine found in its cache."""

    prompt_tokens: int = 0
    """Tokens of the prompt."""


class EventVerdict(Enum):
    """What is to be done with an event."""

    DELIVER = auto()
    """The event is the next one of this answer."""

    REPEATED = auto()
    """The event was delivered before; drop it."""

    FOREIGN = auto()
    """The event belongs to another request; drop it."""

    GAP = auto()
    """Events before this one are missing; resume from the expected index."""


class StreamGuard:
    """Admits the events of one request in order, each once."""

    def __init__(self, *, request_id: str, next_index: int = 0):
        self._request_id = request_id
        self._next_index = next_index

    @property
    def next_index(self) -> int:
        """Index of the event that is expected next."""
        return self._next_index

    def check(self, event: TokenEvent) -> EventVerdict:
        """Judge an event and move on when it is the expected one.

        Args:
            event: Event as received.

        Returns:
            The verdict; only `EventVerdict.DELIVER` advances the guard.
        """
        if event.request_id != self._request_id:
            return EventVerdict.FOREIGN
        if event.index < self._next_index:
            return EventVerdict.REPEATED
        if event.index > self._next_index:
            return EventVerdict.GAP
        self._next_index += 1
        return EventVerdict.DELIVER
