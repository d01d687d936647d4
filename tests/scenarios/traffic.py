"""The kinds of traffic that callers send, in a registry."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

import attrs

from crocuswick.block_key import BLOCK_BYTES
from tests.fleet import MODEL, SERVICE_PREFIX
from tests.scenarios.callers import BookingCaller, CompletionCaller, CompletionRequest
from tests.scenarios.deployment import POISON_MARKER
from tests.scenarios.operators import Operator

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.scenarios.run_state import RunState

    Loop = Callable[[RunState, dict[str, Any], int, float], None]

__all__ = ["TrafficKind", "traffic_kinds_by_name"]

PROMPT_TAIL_BYTES = 160
FAILURE_PAUSE_S = 0.1


@attrs.frozen(kw_only=True)
class TrafficKind:
    """A kind of traffic: the loop that each of its callers runs, and its options."""

    loop: Loop
    options: frozenset[str]


traffic_kinds_by_name: dict[str, TrafficKind] = {}


def traffic(kind: str, *, options: str) -> Callable[[Loop], Loop]:
    """Register the loop that each caller of a kind of traffic runs.

    Args:
        kind: Its name in scenario files.
        options: Names of options, separated by spaces.
    """

    def register(loop: Loop) -> Loop:
        traffic_kinds_by_name[kind] = TrafficKind(
            loop=loop, options=frozenset(options.split())
        )
        return loop

    return register


def _pause(options: dict[str, Any]) -> None:
    time.sleep(options.get("pause_ms", 0) / 1000)


def _should_continue(state: RunState, until_s: float) -> bool:
    if state.stopped.is_set():
        return False
    return time.monotonic() < until_s or state.lifetimes.has_restarting_node()


def _prefix_text(number: int, blocks: int) -> str:
    """Return a shared prompt prefix that fills whole blocks."""
    words = f"Site survey {number}, all rooms measured and listed. "
    return (words * (blocks * BLOCK_BYTES // len(words) + 1))[: blocks * BLOCK_BYTES]


def _next_prefix(options: dict[str, Any], elapsed_s: float, rng: random.Random) -> int:
    """Return the number of the prefix for the next prompt.

    Half of the prompts use the hot prefix, which changes every ``shift`` seconds;
    the other half choose among all prefixes at random.
    """
    prefixes = options.get("prefixes", 4)
    shift_s = options.get("shift", 0)
    hot = int(elapsed_s / shift_s) if shift_s else 0
    return hot % prefixes if rng.random() < 0.5 else rng.randrange(prefixes)


@traffic("completions", options="prefixes blocks tokens organisations shift pause_ms")
def completions(
    state: RunState, options: dict[str, Any], number: int, until_s: float
) -> None:
    """Stream completions one after the other, with shared prefixes."""
    rng = random.Random(f"{state.seed}-completions-{number}")
    caller = CompletionCaller(balancer=state.balancer, recorder=state.recorder)
    organisations = state.organisations[: options.get("organisations", 1)]
    started_s = time.monotonic()
    while _should_continue(state, until_s):
        prefix = _next_prefix(options, time.monotonic() - started_s, rng)
        tail = "".join(rng.choices("abcdefghij ", k=PROMPT_TAIL_BYTES))
        request = CompletionRequest(
            organisation=rng.choice(organisations),
            model=MODEL,
            prompt=_prefix_text(prefix, options.get("blocks", 2)) + tail,
            max_tokens=options.get("tokens", 16),
        )
        record = caller.run(request)
        if record.ending != "done":
            time.sleep(FAILURE_PAUSE_S)
        _pause(options)


@traffic("poison", options="pause_ms")
def poison(
    state: RunState, options: dict[str, Any], number: int, until_s: float
) -> None:
    """Send a request that crashes its engine, repeatedly."""
    caller = CompletionCaller(balancer=state.balancer, recorder=state.recorder)
    request = CompletionRequest(
        organisation=state.organisations[0],
        model=MODEL,
        prompt=f"Roster {POISON_MARKER} {state.seed} {number}",
        max_tokens=8,
        poison=True,
    )
    while _should_continue(state, until_s):
        caller.run(request)
        time.sleep(FAILURE_PAUSE_S)
        _pause(options)


@traffic("bookings", options="keyed repeat pause_ms")
def bookings(
    state: RunState, options: dict[str, Any], number: int, until_s: float
) -> None:
    """Book seats; ``repeat`` is the fraction of keyed bookings sent once more."""
    rng = random.Random(f"{state.seed}-bookings-{number}")
    caller = BookingCaller(
        balancer=state.balancer, recorder=state.recorder, prefix=SERVICE_PREFIX
    )
    seat_number = 0
    while _should_continue(state, until_s):
        seat_number += 1
        seat = f"seat-{number}-{seat_number}"
        key = f"key-{seat}" if options.get("keyed", True) else ""
        organisation = rng.choice(state.organisations)
        caller.run(organisation=organisation, key=key, seat=seat)
        if key and rng.random() < options.get("repeat", 0):
            caller.run(organisation=organisation, key=key, seat=seat)
        _pause(options)


@traffic("configurations", options="pause_ms")
def configurations(
    state: RunState, options: dict[str, Any], number: int, until_s: float
) -> None:
    """Submit changes of the configuration one after the other."""
    rng = random.Random(f"{state.seed}-configurations-{number}")
    operator = Operator(name=f"operator-{number}", recorder=state.recorder)
    ports = state.deployment.operators_ports()
    while _should_continue(state, until_s):
        operator.change(rng.sample(ports, len(ports)))
        _pause(options)
