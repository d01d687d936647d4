"""The kinds of traffic: a registry filled by a decorator."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

import attrs

from crocuswick.block_key import BLOCK_BYTES
from tests.fleet import MODEL, SERVICE_PREFIX
from tests.scenarios.callers import BookingCaller, CompletionCaller, CompletionOrder
from tests.scenarios.deployment import POISON_MARKER
from tests.scenarios.operators import Operator

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.scenarios.run_state import RunState

    Loop = Callable[[RunState, dict[str, Any], int, float], None]

__all__ = ["TrafficKind", "traffics_by_kind"]

TAIL_BYTES = 160
REFUSED_PAUSE_S = 0.1


@attrs.frozen(kw_only=True)
class TrafficKind:
    """A kind of traffic: what one of its callers does, and its options."""

    loop: Loop
    options: frozenset[str]


traffics_by_kind: dict[str, TrafficKind] = {}


def traffic(kind: str, *, options: str) -> Callable[[Loop], Loop]:
    """Register what one caller of a kind of traffic does.

    Args:
        kind: Word for it in scenario files.
        options: Names of options, separated by blanks.
    """

    def register(loop: Loop) -> Loop:
        traffics_by_kind[kind] = TrafficKind(
            loop=loop, options=frozenset(options.split())
        )
        return loop

    return register


def _pause(options: dict[str, Any]) -> None:
    time.sleep(options.get("pause_ms", 0) / 1000)


def _goes_on(state: RunState, until_s: float) -> bool:
    if state.stopped.is_set():
        return False
    return time.monotonic() < until_s or state.lives.is_settling()


def _prefix_text(number: int, blocks: int) -> str:
    """Return a shared prefix of whole blocks."""
    words = f"Site survey {number}, all rooms measured and listed. "
    return (words * (blocks * BLOCK_BYTES // len(words) + 1))[: blocks * BLOCK_BYTES]


def _hot_prefix(options: dict[str, Any], elapsed_s: float, draw: random.Random) -> int:
    """Return the number of the prefix for the next prompt.

    Half of the prompts share the hot prefix, which moves on every ``shift``
    seconds; the others are spread over the rest.
    """
    prefixes = options.get("prefixes", 4)
    shift_s = options.get("shift", 0)
    hot = int(elapsed_s / shift_s) if shift_s else 0
    return hot % prefixes if draw.random() < 0.5 else draw.randrange(prefixes)


@traffic("completions", options="prefixes blocks tokens organisations shift pause_ms")
def completions(
    state: RunState, options: dict[str, Any], number: int, until_s: float
) -> None:
    """Stream one completion after the other, many with shared prefixes."""
    draw = random.Random(f"{state.seed}-completions-{number}")
    caller = CompletionCaller(balancer=state.balancer, recorder=state.recorder)
    organisations = state.organisations[: options.get("organisations", 1)]
    started_s = time.monotonic()
    while _goes_on(state, until_s):
        prefix = _hot_prefix(options, time.monotonic() - started_s, draw)
        tail = "".join(draw.choices("abcdefghij ", k=TAIL_BYTES))
        order = CompletionOrder(
            organisation=draw.choice(organisations),
            model=MODEL,
            prompt=_prefix_text(prefix, options.get("blocks", 2)) + tail,
            max_tokens=options.get("tokens", 16),
        )
        record = caller.run(order)
        if record.ending != "done":
            time.sleep(REFUSED_PAUSE_S)
        _pause(options)


@traffic("poison", options="pause_ms")
def poison(
    state: RunState, options: dict[str, Any], number: int, until_s: float
) -> None:
    """Send one request that crashes its engine again and again."""
    caller = CompletionCaller(balancer=state.balancer, recorder=state.recorder)
    order = CompletionOrder(
        organisation=state.organisations[0],
        model=MODEL,
        prompt=f"Roster {POISON_MARKER} {state.seed} {number}",
        max_tokens=8,
        poison=True,
    )
    while _goes_on(state, until_s):
        caller.run(order)
        time.sleep(REFUSED_PAUSE_S)
        _pause(options)


@traffic("bookings", options="keyed repeat pause_ms")
def bookings(
    state: RunState, options: dict[str, Any], number: int, until_s: float
) -> None:
    """Book seats; with ``repeat`` a keyed booking is sent again after success."""
    draw = random.Random(f"{state.seed}-bookings-{number}")
    caller = BookingCaller(
        balancer=state.balancer, recorder=state.recorder, prefix=SERVICE_PREFIX
    )
    booked = 0
    while _goes_on(state, until_s):
        booked += 1
        seat = f"seat-{number}-{booked}"
        key = f"key-{seat}" if options.get("keyed", True) else ""
        organisation = draw.choice(state.organisations)
        caller.run(organisation=organisation, key=key, seat=seat)
        if key and draw.random() < options.get("repeat", 0):
            caller.run(organisation=organisation, key=key, seat=seat)
        _pause(options)


@traffic("configurations", options="pause_ms")
def configurations(
    state: RunState, options: dict[str, Any], number: int, until_s: float
) -> None:
    """Submit one change of the configuration after the other."""
    draw = random.Random(f"{state.seed}-configurations-{number}")
    operator = Operator(name=f"operator-{number}", recorder=state.recorder)
    ports = state.deployment.operators_ports()
    while _goes_on(state, until_s):
        operator.change(draw.sample(ports, len(ports)))
        _pause(options)
