"""Decision about one request: send it, hold it back, or refuse it."""

from __future__ import annotations

import attrs

__all__ = [
    "Hold",
    "Refuse",
    "Send",
    "Verdict",
    "Waiting",
    "decide",
    "repeat_after_s",
]

MAX_HOLD_SHARE = 0.4
"""Share of a caller's time for which a request is held. Its caller then has time to
repeat it after a refusal."""

RETURNED_HOLD_SHARE = 0.9
"""The same for a request that was refused before: its caller doesn't repeat it again."""

MIN_REPEAT_S = 0.3
"""Shortest mean time after which a repeat has a better chance."""

REPEAT_SPREAD = 0.4
"""Share by which that time is varied in both directions."""

MAX_REPEAT_SHARE = 0.3
"""Share of the caller's remaining time up to which it waits for a repeat; callers accept
up to a third."""


@attrs.frozen(kw_only=True)
class Waiting:
    """A request that asks for room."""

    received_s: float
    deadline_s: float
    is_returned: bool
    """Whether it was refused before."""

    is_held: bool
    """Whether it is held already."""

    expected_s: float
    """Expected time from sending it to the first event of its answer."""

    has_room: bool
    """Whether a replica has room for it that it may claim now."""

    ahead: int
    """Held requests of this node that go before it."""

    sends_per_s: float
    """Recent rate at which this node sends such requests."""

    is_too_large: bool
    """Whether no replica can ever have room for it."""

    is_queue_full: bool
    """Whether this node holds as many requests as it may, all of them ahead."""


@attrs.frozen(kw_only=True)
class Send:
    """The request is sent now."""


@attrs.frozen(kw_only=True)
class Hold:
    """The request waits in this node."""

    expected_wait_s: float


@attrs.frozen(kw_only=True)
class Refuse:
    """The request is refused now."""

    cause: str
    """``hopeless``, ``too large``, ``queue full``, ``no room`` or ``held too long``."""

    expected_wait_s: float
    """Expected time until there is room."""


Verdict = Send | Hold | Refuse

MIN_SENDS_PER_S = 0.5
"""Rate assumed of a node that has sent no such request lately."""


def decide(waiting: Waiting, now_s: float) -> Verdict:
    """Decide about a request.

    Args:
        waiting: The request and what it waits for.
        now_s: Monotonic time.
    """
    rate = max(MIN_SENDS_PER_S, waiting.sends_per_s)
    wait_s = 0.0 if waiting.has_room else (waiting.ahead + 1) / rate
    if now_s + waiting.expected_s > waiting.deadline_s:
        return Refuse(cause="hopeless", expected_wait_s=wait_s)
    if waiting.is_too_large:
        return Refuse(cause="too large", expected_wait_s=wait_s)
    if waiting.has_room:
        return Send()
    if waiting.is_queue_full:
        return Refuse(cause="queue full", expected_wait_s=wait_s)
    share = RETURNED_HOLD_SHARE if waiting.is_returned else MAX_HOLD_SHARE
    time_s = waiting.deadline_s - waiting.received_s
    hold_until_s = min(
        waiting.received_s + share * time_s, waiting.deadline_s - waiting.expected_s
    )
    if now_s >= hold_until_s:
        return Refuse(cause="held too long", expected_wait_s=wait_s)
    # The rate is only an estimate: a request that is held already is not refused for it.
    if not waiting.is_held and now_s + wait_s > hold_until_s:
        return Refuse(cause="no room", expected_wait_s=wait_s)
    return Hold(expected_wait_s=wait_s)


def repeat_after_s(expected_wait_s: float, remaining_s: float, draw: float) -> float:
    """Return the time after which a refused request should be repeated.

    Callers that are refused at the same time are spread over the time until there is
    room for them.

    Args:
        expected_wait_s: Expected time until there is room.
        remaining_s: Time until the request's deadline.
        draw: Random number, at least 0 and below 1.
    """
    latest_s = MAX_REPEAT_SHARE * max(0.0, remaining_s) / (1 + REPEAT_SPREAD)
    mean_s = max(MIN_REPEAT_S, min(expected_wait_s, latest_s))
    return mean_s * (1 + REPEAT_SPREAD * (2 * draw - 1))
