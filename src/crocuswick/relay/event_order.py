"""Order of the events of a stream that one replica sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crocuswick.relay.stream_starts import StreamStart

if TYPE_CHECKING:
    from crocuswick.relay.event_splitter import StreamEvent

__all__ = ["EventOrder"]

MIN_CONFIRMING_EVENTS = 3
"""Consecutive events that confirm the number of the first one."""

USUAL_STARTS = (0, 1, None)
"""Numbers of first events that are passed on at once; None stands for none."""


class EventOrder:
    """Passes on events in order, each once.

    One wrong byte can change any number, also that of the first event, after which the
    stream would be resumed at a wrong place. While it is not known how streams begin, an
    unusual first event is held until the second one confirms it.

    Args:
        last: Number of the last event that the caller has, None for none.
        start: How streams begin, None if that is not known.
    """

    def __init__(self, *, last: int | None, start: StreamStart | None):
        self._last = last
        self._start = start
        self._is_resumed = last is not None
        self._is_numbered = self._is_resumed
        self._first: int | None = None
        self._events = 0
        self._has_told_start = False
        self._held: list[StreamEvent] = []
        self.has_lost_place = False
        """Whether the numbers of the events before may be wrong, so that nothing shows
        where another replica would have to go on."""

    def accept(self, event: StreamEvent) -> list[StreamEvent] | None:
        """Take the next event.

        Args:
            event: The event.

        Returns:
            The events that can be passed on now, or None if this one is out of order.
        """
        if not event.is_piece:
            return self._pass_on(event)
        if self._events or self._is_resumed:
            wanted = self._last + 1 if self._is_numbered else None
            if event.number != wanted:
                self.has_lost_place = self._suggests_another_start(event.number)
                return None
        elif self._start is not None and event.number != self._start.number:
            return None
        else:
            self._first = event.number
            self._is_numbered = event.number is not None
        self._events += 1
        self._last = event.number
        is_first = self._events == 1 and not self._is_resumed
        if is_first and self._start is None and event.number not in USUAL_STARTS:
            self._held.append(event)
            return []
        return self._pass_on(event, ends_hold=True)

    def take_held(self) -> list[StreamEvent]:
        """Return the events that are still held at the end of the stream."""
        held, self._held = self._held, []
        return held

    def take_confirmed_start(self) -> StreamStart | None:
        """Return once how the stream began, as soon as enough events confirm it."""
        is_confirmed = self._events >= MIN_CONFIRMING_EVENTS
        if self._is_resumed or self._has_told_start or not is_confirmed:
            return None
        self._has_told_start = True
        return StreamStart(number=self._first)

    def _suggests_another_start(self, number: int | None) -> bool:
        """Whether the number of an event fits to another start than that of this stream."""
        is_confirmed = (
            self._is_resumed
            or self._start is not None
            or self._events >= MIN_CONFIRMING_EVENTS
        )
        return (
            not is_confirmed
            and number is not None
            and number - self._events in USUAL_STARTS
            and number - self._events != self._first
        )

    def _pass_on(
        self, event: StreamEvent, *, ends_hold: bool = False
    ) -> list[StreamEvent]:
        if self._held and not ends_hold:
            self._held.append(event)
            return []
        return [*self.take_held(), event]
