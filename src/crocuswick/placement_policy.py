"""Placement policies: functions that choose an endpoint for a request.

A policy sees the placeable endpoints of the placement domain and what is thought
of their queues and caches. `Placer` does the bookkeeping around it.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING, Protocol

import attrs

from crocuswick.block_key import BLOCK_TOKENS
from crocuswick.cache_index import PrefixHolders
from crocuswick.hot_prefix import HotPrefixes
from crocuswick.kv_import import ImportCost
from crocuswick.placement_domain import Candidate, PlacementDomain

if TYPE_CHECKING:
    from collections.abc import Callable


__all__ = [
    "CROSS_ZONE_S",
    "Choice",
    "PlacementPolicy",
    "PlacementView",
    "choice_without_import",
    "placement_policy",
    "policies_by_name",
    "prefix_level_keys",
]

CROSS_ZONE_S = 0.003
TIE_S = 0.000_5


@attrs.define(kw_only=True, eq=False)
class PlacementView:
    """All that a policy may use for one request."""

    domain: PlacementDomain
    """Endpoints that may serve the request; never empty."""

    keys: Sequence[int]
    """Keys of the prompt's whole blocks."""

    prompt_tokens: int
    """Tokens in the prompt."""

    holders: Sequence[PrefixHolders]
    """Who holds how many leading blocks, longest first."""

    level_keys: Sequence[int]
    """Keys of the prompt's prefix levels, deepest first."""

    hot_prefixes: HotPrefixes
    """Recent traffic by prefix."""

    import_cost: ImportCost
    """Cost of moving cached blocks."""

    now_s: float
    """Monotonic time in seconds."""

    random: Random
    """Source of randomness."""

    def cached_blocks(self, candidate: Candidate) -> int:
        """Return how many leading blocks a candidate is thought to hold."""
        for group in self.holders:
            if group.mask & candidate.bit:
                return group.blocks
        return 0


@attrs.define(kw_only=True, eq=False)
class Choice:
    """A policy's decision."""

    candidate: Candidate
    """The chosen endpoint."""

    reason: str
    """Why it was chosen, in a word for operators."""

    cached_blocks: int
    """Leading blocks that it is thought to hold."""

    wait_s: float
    """Expected wait in seconds."""

    ttft_s: float
    """Expected time to first token in seconds."""

    cost_s: float
    """What the policy compares, in seconds."""

    import_from: str | None = None
    """Endpoint from which to import the cached prefix first, if any."""


class PlacementPolicy(Protocol):
    """Chooses an endpoint."""

    def __call__(self, view: PlacementView) -> Choice:
        """Return the choice for one request."""


policies_by_name: dict[str, PlacementPolicy] = {}
"""All policies."""


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a policy under a name."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        policies_by_name[name] = policy
        return policy

    return register


def prefix_level_keys(keys: Sequence[int]) -> list[int]:
    """Return the keys at depths 1, 2, 4, 8, ... blocks, deepest first.

    Prompts that share a prefix share all its levels, whatever follows.
    """
    level_keys = []
    depth = 1
    while depth <= len(keys):
        level_keys.append(keys[depth - 1])
        depth *= 2
    level_keys.reverse()
    return level_keys


def choice_without_import(
    view: PlacementView,
    candidate: Candidate,
    reason: str,
    *,
    prefill_weight: float = 1.0,
) -> Choice:
    """Return the choice of a candidate with what it is thought to hold.

    Args:
        view: What the policy sees.
        candidate: The endpoint.
        reason: Why it is considered.
        prefill_weight: Cost of a second of prefill in seconds of waiting.
    """
    load = candidate.load
    cached_blocks = view.cached_blocks(candidate)
    uncached_tokens = view.prompt_tokens - cached_blocks * BLOCK_TOKENS
    prefill_s = uncached_tokens * load.seconds_per_token
    wait_s = load.wait_s(view.now_s) + candidate.crossing_s
    return Choice(
        candidate=candidate,
        reason=reason,
        cached_blocks=cached_blocks,
        wait_s=wait_s,
        ttft_s=wait_s + prefill_s,
        cost_s=wait_s + prefill_weight * prefill_s,
    )


@placement_policy("random")
def choose_random(view: PlacementView) -> Choice:
    """Choose any endpoint."""
    return choice_without_import(
        view, view.random.choice(view.domain.candidates), "random"
    )


@placement_policy("least_loaded")
def choose_least_loaded(view: PlacementView) -> Choice:
    """Choose the endpoint with the shortest expected queue."""
    waits_s = [
        candidate.load.wait_s(view.now_s) for candidate in view.domain.candidates
    ]
    limit_s = min(waits_s) + TIE_S
    shortest = [
        candidate
        for candidate, wait_s in zip(view.domain.candidates, waits_s, strict=True)
        if wait_s <= limit_s
    ]
    return choice_without_import(view, view.random.choice(shortest), "least_loaded")


@placement_policy("rendezvous")
def choose_rendezvous(view: PlacementView) -> Choice:
    """Choose the home of the prompt's first block."""
    if not view.level_keys:
        return choose_random(view)
    home = view.domain.rendezvous.choose(view.level_keys[-1])
    return choice_without_import(view, view.domain.candidates_by_id[home], "home")
