"""Fault settings of the engine stand-in, and the faults on its streams."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs

from tests.fakes.control import CallFaults
from tests.fakes.http_service import drop_connection

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from tests.fakes.engine_jobs import TokenEvent

__all__ = ["EngineFaults", "with_stream_faults"]


@attrs.frozen(kw_only=True)
class EngineFaults(CallFaults):
    """Fault settings of an engine, besides those of all calls."""

    crash: bool = False
    """Ends the process at once."""

    crash_after_tokens: int = 0
    """Ends the process once it has generated this many more tokens; 0: never."""

    poison_marker: str = ""
    """A prompt that contains this text ends the process when it is prefilled."""

    freeze: bool = False
    """Stops all work; calls are still accepted."""

    freeze_after_tokens: int = 0
    """Sets ``freeze`` once this many more tokens were generated; 0: never."""

    busy: bool = False
    """Refuses completions with 503 busy."""

    leaving: bool = False
    """Refuses completions with 503 leaving, and reports that state."""

    load_lag_ms: int = 0
    """Age of the reported load."""

    event_delay_ms: int = 0
    """Time after which a cache event becomes visible."""

    event_drop_rate: float = 0.0
    """Part of the cache events that are lost, leaving a gap in the numbers."""

    fail_orders: bool = False
    """Accepted orders fail, and the state says so."""

    lose_next_order_answers: int = 0
    """Number of next orders that take effect without an answer."""

    fault_streams: int = -1
    """Number of next streams that the settings below hit; -1: all."""

    token_delay_ms: int = 0
    """Time for which each token event is held back."""

    token_delay_after: int = 0
    """Events of a stream that pass before ``token_delay_ms`` begins."""

    crossed_rate: float = 0.0
    """Part of the events before which one of another request is sent."""

    repeat_rate: float = 0.0
    """Part of the events that are sent twice."""

    missing_rate: float = 0.0
    """Part of the events that are left out, but for the last."""

    end_after: int = 0
    """Ends a stream in due form but unfinished after this many events; 0: never."""

    abort_after: int = 0
    """Resets the connection after this many events; 0: never."""

    done_after: int = 0
    """Sends ``[DONE]`` after this many events without a finish; 0: never."""


class StreamEndedError(Exception):
    """The stream is to end in due form at this place."""


class StreamDoneError(Exception):
    """The stream is to send its end mark at this place."""


def with_stream_faults(
    events: Iterable[TokenEvent], *, faults: EngineFaults
) -> Iterator[TokenEvent]:
    """Pass a stream's events on, with faults.

    Args:
        events: What the engine generated.
        faults: Settings, as they stood when the stream began.

    Yields:
        The events that the caller gets.
    """
    for count, event in enumerate(events):
        _hit_end(count, faults)
        if faults.token_delay_ms and count >= faults.token_delay_after:
            time.sleep(faults.token_delay_ms / 1000)
        yield from _hit_event(event, faults)


def _hit_end(count: int, faults: EngineFaults) -> None:
    if faults.abort_after and count >= faults.abort_after:
        drop_connection()
    if faults.end_after and count >= faults.end_after:
        raise StreamEndedError
    if faults.done_after and count >= faults.done_after:
        raise StreamDoneError


def _hit_event(event: TokenEvent, faults: EngineFaults) -> Iterator[TokenEvent]:
    if random.random() < faults.crossed_rate:
        yield attrs.evolve(event, request_id=f"other-{event.index}", text=" crossed")
    is_last = event.finish_reason is not None
    if not is_last and random.random() < faults.missing_rate:
        return
    yield event
    if random.random() < faults.repeat_rate:
        yield event
