"""Room of an engine for one more request: slots and KV-cache memory."""

from __future__ import annotations

import math
from typing import NamedTuple

import attrs

__all__ = ["EngineUse", "PeerEstimate", "fits_memory", "slot_room"]

RESERVE_DEVIATIONS = 0.5
"""Standard deviations of the number of urgent small requests at an engine for which
slots are kept free, with Poisson arrivals. A request that finds one engine full goes to
another."""

MAX_RESERVE_SHARE = 0.4
"""Largest share of an engine's slots that is kept free for urgent small requests."""

MIN_LARGE_SHARE = 0.08
"""Share of an engine's slots that large requests may use however many small ones there
are, so that they are delayed but not starved."""


class EngineUse(NamedTuple):
    """What an engine holds as far as a node knows: the node's own requests and the large
    ones of its peers.

    A tuple, since each decision looks at many.
    """

    slots: int
    requests: int
    large_requests: int
    held_tokens: int
    """Prompt tokens and the output that may still follow, of all known requests."""

    capacity_tokens: int
    """KV-cache memory; 0 if unknown."""


@attrs.frozen(kw_only=True)
class PeerEstimate:
    """Small requests that peers are expected to have at one engine."""

    requests: float = 0.0
    urgent_requests: float = 0.0
    """Small requests of all nodes whose priority is at least that of the request to be
    admitted."""

    tokens: float = 0.0
    """Tokens that those of peers hold."""

    reserve: float = attrs.field(init=False)
    """Slots of an engine to keep free for urgent small requests."""

    @reserve.default
    def _reserve(self) -> float:
        if self.urgent_requests <= 0:
            return 0.0
        return 1 + RESERVE_DEVIATIONS * math.sqrt(self.urgent_requests)


def slot_room(
    use: EngineUse, peers: PeerEstimate, *, is_large: bool, correction: float = 0.0
) -> float:
    """Return how many more requests of a size class an engine has room for.

    Args:
        use: Known use of the engine.
        peers: Estimated use by small requests of peers.
        is_large: Whether the request is large. Large requests leave slots free for
            urgent small ones.
        correction: Share of the slots to add for large requests, from `ReserveControl`.
    """
    free = use.slots - use.requests - peers.requests
    if not is_large:
        return free
    known_free = use.slots - use.requests
    reserve = min(peers.reserve, MAX_RESERVE_SHARE * use.slots)
    minimum = math.ceil(MIN_LARGE_SHARE * use.slots) - use.large_requests
    # Known requests occupy slots for certain, whatever the estimate.
    return min(known_free, max(free - reserve + correction * use.slots, minimum))


def fits_memory(use: EngineUse, peers: PeerEstimate, needed_tokens: int) -> bool:
    """Return whether a request fits into an engine's memory.

    An engine whose requests grow beyond its memory crashes. The growth of unfinished
    answers therefore counts in full.

    Args:
        use: Known use of the engine.
        peers: Estimated use by small requests of peers.
        needed_tokens: Prompt and maximum output tokens of the request.
    """
    if use.capacity_tokens <= 0:
        return True
    return use.held_tokens + peers.tokens + needed_tokens <= use.capacity_tokens
