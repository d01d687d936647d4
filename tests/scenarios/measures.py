"""The measures that expectations can bound, in a registry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crocuswick.block_key import count_tokens
from tests.scenarios.history import (
    Booking,
    Completion,
    Cut,
    Ending,
    EngineLifetime,
    NodeLifetime,
    Submission,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from tests.scenarios.history import History

    Measure = Callable[[History], float]

__all__ = ["measures_by_name"]

RESTART_WINDOW_S = 3.0
"""Seconds after a restarted node is ready in which its requests are measured."""

measures_by_name: dict[str, Measure] = {}


def measure(name: str) -> Callable[[Measure], Measure]:
    """Register a measure under its name in scenario files."""

    def register(function: Measure) -> Measure:
        measures_by_name[name] = function
        return function

    return register


def _ordinary(history: History) -> list[Completion]:
    """Return the completions whose prompt does not crash engines."""
    return [item for item in history.of(Completion) if not item.poison]


def _ratio(part: int, whole: int) -> float:
    return part / whole if whole else 0.0


def _hit_rate(completions: Iterable[Completion]) -> float:
    done = [item for item in completions if item.ending is Ending.DONE]
    cached = sum(item.cached_tokens for item in done)
    return _ratio(cached, sum(count_tokens(item.prompt) for item in done))


@measure("answered")
def answered(history: History) -> float:
    """Return the fraction of ordinary completions that were answered completely."""
    completions = _ordinary(history)
    done = [item for item in completions if item.ending is Ending.DONE]
    return _ratio(len(done), len(completions))


@measure("answers")
def answers(history: History) -> float:
    """Return the number of completions that were answered completely."""
    return sum(item.ending is Ending.DONE for item in _ordinary(history))


@measure("poison-attempts")
def poison_attempts(history: History) -> float:
    """Return the number of completions that crash engines."""
    return sum(item.poison for item in history.of(Completion))


@measure("booked")
def booked(history: History) -> float:
    """Return the fraction of seats with a confirmed booking."""
    bookings = history.of(Booking)
    seats = {item.seat for item in bookings}
    confirmed = {item.seat for item in bookings if item.ending is Ending.DONE}
    return _ratio(len(confirmed), len(seats))


@measure("booking-attempts")
def booking_attempts(history: History) -> float:
    """Return the number of attempts at bookings."""
    return len(history.of(Booking))


@measure("hit-rate")
def hit_rate(history: History) -> float:
    """Return the fraction of prompt tokens that engines found in their cache."""
    return _hit_rate(_ordinary(history))


@measure("hit-rate-after-restart")
def hit_rate_after_restart(history: History) -> float:
    """Return the hit rate of requests to nodes that have just restarted."""
    lifetimes = [
        lifetime
        for lifetime in history.of(NodeLifetime)
        if lifetime.recovered and lifetime.ready_s
    ]
    return _hit_rate(
        item
        for item in _ordinary(history)
        for lifetime in lifetimes
        if item.node == lifetime.node
        and 0 <= item.interval.start_s - lifetime.ready_s <= RESTART_WINDOW_S
    )


@measure("answers-in-isolation")
def answers_in_isolation(history: History) -> float:
    """Return the number of complete answers that nodes gave while isolated."""
    return sum(
        item.node in cut.parts and cut.interval.contains(item.interval.start_s)
        for cut in history.of(Cut)
        if cut.reason == "isolated"
        for item in _ordinary(history)
        if item.ending is Ending.DONE and cut.interval.contains(item.interval.end_s)
    )


@measure("restarted-nodes")
def restarted_nodes(history: History) -> float:
    """Return the number of times that a node became ready again after a restart."""
    lifetimes = history.of(NodeLifetime)
    return sum(
        lifetime.recovered and lifetime.ready_s is not None for lifetime in lifetimes
    )


@measure("engine-starts")
def engine_starts(history: History) -> float:
    """Return the number of engine starts, including the first ones."""
    return len(history.of(EngineLifetime))


@measure("resumed")
def resumed(history: History) -> float:
    """Return the number of complete answers whose caller had to reconnect."""
    return sum(
        item.resumptions > 0 and item.ending is Ending.DONE
        for item in _ordinary(history)
    )


@measure("refused")
def refused(history: History) -> float:
    """Return the number of completions that were refused."""
    return sum(item.ending is Ending.REFUSED for item in _ordinary(history))


@measure("accepted")
def accepted(history: History) -> float:
    """Return the number of accepted configurations."""
    return sum(item.accepted is True for item in history.of(Submission))


@measure("rejected")
def rejected(history: History) -> float:
    """Return the number of configurations that were rejected."""
    return sum(item.accepted is False for item in history.of(Submission))
