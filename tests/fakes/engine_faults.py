"""Fault settings of the fake engine, and the injection of stream faults."""

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
    """Fault settings of an engine, in addition to those of all calls."""

    crash: bool = False
    """Crashes the process at once."""

    crash_after_tokens: int = 0
    """Crashes the process once it has generated this many more tokens; 0: never."""

    poison_marker: str = ""
    """A prompt that contains this text crashes the process before its prefill."""

    freeze: bool = False
    """Stops all computation; calls are still accepted."""

    freeze_after_tokens: int = 0
    """Sets ``freeze`` once this many more tokens have been generated; 0: never."""

    busy: bool = False
    """Refuses completions with status 503 and the error ``busy``."""

    leaving: bool = False
    """Refuses completions with status 503, and reports the state ``leaving``."""

    load_lag_ms: int = 0
    """Age of the reported load."""

    event_delay_ms: int = 0
    """Time after which a cache event becomes visible."""

    event_drop_rate: float = 0.0
    """Fraction of the cache events that are lost, leaving a gap in sequence numbers."""

    fail_orders: bool = False
    """Accepted orders fail, and the state reports the failure."""

    lose_next_order_answers: int = 0
    """How many of the next orders take effect but lose their response."""

    fault_streams: int = -1
    """How many of the next streams the settings below apply to; -1: all."""

    token_delay_ms: int = 0
    """Delay of each token event."""

    token_delay_after: int = 0
    """Number of events at the start of a stream without ``token_delay_ms``."""

    crossed_rate: float = 0.0
    """Fraction of the events before which an event of another request is sent."""

    repeat_rate: float = 0.0
    """Fraction of the events that are sent twice."""

    missing_rate: float = 0.0
    """Fraction of the events that are omitted; the last event is always sent."""

    end_after: int = 0
    """Ends a well-formed response without ``[DONE]`` after this many events; 0: never."""

    abort_after: int = 0
    """Resets the connection after this many events; 0: never."""

    done_after: int = 0
    """Sends ``[DONE]`` without a finish reason after this many events; 0: never."""


class StreamEndedError(Exception):
    """Raised to end a well-formed response at this point, without ``[DONE]``."""


class StreamDoneError(Exception):
    """Raised to send ``[DONE]`` at this point of the stream."""


def with_stream_faults(
    events: Iterable[TokenEvent], *, faults: EngineFaults
) -> Iterator[TokenEvent]:
    """Pass on the events of a stream and inject faults.

    Args:
        events: Events that the engine generated.
        faults: Fault settings at the start of the stream.

    Yields:
        The events to send to the caller.
    """
    for count, event in enumerate(events):
        _apply_end_faults(count, faults)
        if faults.token_delay_ms and count >= faults.token_delay_after:
            time.sleep(faults.token_delay_ms / 1000)
        yield from _apply_event_faults(event, faults)


def _apply_end_faults(count: int, faults: EngineFaults) -> None:
    if faults.abort_after and count >= faults.abort_after:
        drop_connection()
    if faults.end_after and count >= faults.end_after:
        raise StreamEndedError
    if faults.done_after and count >= faults.done_after:
        raise StreamDoneError


def _apply_event_faults(
    event: TokenEvent, faults: EngineFaults
) -> Iterator[TokenEvent]:
    if random.random() < faults.crossed_rate:
        yield attrs.evolve(event, request_id=f"other-{event.index}", text=" crossed")
    is_last = event.finish_reason is not None
    if not is_last and random.random() < faults.missing_rate:
        return
    yield event
    if random.random() < faults.repeat_rate:
        yield event
