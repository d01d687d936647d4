"""Estimate of how long the answer to a request takes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crocuswick.draining import with_margin
from crocuswick.relay.serving import RouteKind

if TYPE_CHECKING:
    from crocuswick.draining import AnswerTimes
    from crocuswick.relay.dispatcher_messages import Placed
    from crocuswick.relay.relay_context import RelayContext
    from crocuswick.relay.relay_request import RoutedRequest

__all__ = [
    "expected_answer_s",
    "leaves_time",
    "remaining_events",
    "target_answer_s",
]


def leaves_time(
    context: RelayContext,
    request: RoutedRequest,
    deadline_s: float,
    placed: Placed | None = None,
) -> bool:
    """Whether a request that is sent now is answered before the node exits.

    Args:
        context: Dependencies of relayed requests.
        request: The request.
        deadline_s: Monotonic time at which its caller gives up.
        placed: Its placement, None before it is placed. Without one, the replica that
            answers soonest counts.
    """

    times = context.answer_times
    deadline = context.answer_deadline

    def answer_s() -> float | None:
        expected_s = expected_answer_s(
            times, request, placed, must_hold=not deadline.is_unannounced
        )
        if expected_s is not None or not deadline.is_unannounced:
            return expected_s
        # The others are judged by the one that goes by the targets.
        if placed and not times.try_replica(placed.attempt.incarnation):
            return None
        return target_answer_s(request, placed)

    return deadline.leaves_time(deadline_s, answer_s)


def expected_answer_s(
    times: AnswerTimes,
    request: RoutedRequest,
    placed: Placed | None = None,
    *,
    must_hold: bool = False,
) -> float | None:
    """Return the seconds that an answer may take, None if nothing is known about it.

    Args:
        times: Recent answer times of the service.
        request: The request.
        placed: Its placement, None before it is placed.
        must_hold: Whether a stream must not take longer even if its replica slows down.
    """
    events = remaining_events(request, request.caller.last_event_id)
    if events is None:
        return times.answer_s(request.service)
    return times.stream_s(
        request.service,
        events,
        replica="" if placed is None else placed.attempt.incarnation,
        first_event_s=0.0 if placed is None else placed.expected_ms / 1000,
        must_hold=must_hold,
        max_gap_s=request.route.max_gap_ms / 1000,
    )


def target_answer_s(request: RoutedRequest, placed: Placed | None = None) -> float:
    """Return the seconds that an answer may take if it meets the targets of its route.

    Args:
        request: The request.
        placed: Its placement, None before it is placed.
    """
    route = request.route
    expected_ms = 0.0 if placed is None else placed.expected_ms
    begin_ms = max(route.target_latency_ms, expected_ms)
    events = remaining_events(request, request.caller.last_event_id) or 0
    return with_margin((begin_ms + events * route.max_gap_ms) / 1000)


def remaining_events(request: RoutedRequest, last_event: int | None) -> int | None:
    """Return the events that a stream may still have, None for other answers.

    Args:
        request: The request.
        last_event: Number of the last event that the caller has, None for none.
    """
    prompt = request.caller.prompt
    if request.route.kind is not RouteKind.STREAMING or prompt is None:
        return None
    # An event holds at least one token.
    return max(1, prompt.max_output_tokens - (last_event or 0))
