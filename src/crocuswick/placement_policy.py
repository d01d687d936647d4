"""Placement policies: functions that choose an endpoint for a request.

A policy sees the eligible endpoints of the placement domain and the estimates of
their queues and caches. `Placer` maintains this state.

The home of a prefix is the endpoint that rendezvous hashing assigns to its key.
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
    "CROSS_ZONE_LATENCY_S",
    "Choice",
    "PlacementPolicy",
    "PlacementView",
    "choice_without_import",
    "placement_policy",
    "policies_by_name",
    "prefix_level_keys",
]

CROSS_ZONE_LATENCY_S = 0.003
"""Expected extra latency to an endpoint of another zone."""

TIE_MARGIN_S = 0.000_5
"""Costs that differ by at most this much count as equal; ties are broken at random."""


@attrs.define(kw_only=True, eq=False)
class PlacementView:
    """The input of a policy for one request."""

    domain: PlacementDomain
    """Endpoints that may serve the request; never empty."""

    keys: Sequence[int]
    """Keys of the prompt's complete blocks."""

    prompt_tokens: int
    """Tokens in the prompt."""

    holders: Sequence[PrefixHolders]
    """Endpoints grouped by number of leading blocks held, longest prefix first."""

    level_keys: Sequence[int]
    """Keys of the prompt's prefix levels, deepest first; see `prefix_level_keys`."""

    hot_prefixes: HotPrefixes
    """Recent traffic by prefix."""

    import_cost: ImportCost
    """Cost of importing cached blocks."""

    now_s: float
    """Monotonic time in seconds."""

    random: Random
    """Source of randomness."""

    def cached_blocks(self, candidate: Candidate) -> int:
        """Return how many leading blocks the cache index lists for a candidate."""
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
    """Short label for operators of why the endpoint was chosen."""

    cached_blocks: int
    """Leading blocks cached at the endpoint, including those to be imported."""

    wait_s: float
    """Expected wait in seconds."""

    ttft_s: float
    """Expected time to first token in seconds."""

    cost_s: float
    """Weighted cost that the policy minimises, in seconds."""

    import_from: str | None = None
    """Endpoint to import the cached prefix from first, if any."""


class PlacementPolicy(Protocol):
    """Chooses an endpoint."""

    def __call__(self, view: PlacementView) -> Choice:
        """Choose an endpoint for one request."""


policies_by_name: dict[str, PlacementPolicy] = {}
"""All registered policies by name."""


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Return a decorator that registers a policy under a name."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        policies_by_name[name] = policy
        return policy

    return register


def prefix_level_keys(keys: Sequence[int]) -> list[int]:
    """Return the keys at depths 1, 2, 4, 8, ... blocks, deepest first.

    Prompts that share a prefix share all its levels, whatever follows the prefix.
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
    """Return the choice of a candidate with only the blocks that it already holds.

    Args:
        view: Input of the policy.
        candidate: The endpoint.
        reason: Label of why the endpoint is considered.
        prefill_weight: Cost of one second of prefill, in seconds of waiting.
    """
    load = candidate.load
    cached_blocks = view.cached_blocks(candidate)
    uncached_tokens = view.prompt_tokens - cached_blocks * BLOCK_TOKENS
    prefill_s = uncached_tokens * load.seconds_per_token
    wait_s = load.wait_s(view.now_s) + candidate.cross_zone_latency_s
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
    """Choose a random endpoint."""
    return choice_without_import(
        view, view.random.choice(view.domain.candidates), "random"
    )


@placement_policy("least_loaded")
def choose_least_loaded(view: PlacementView) -> Choice:
    """Choose the endpoint with the shortest expected queue."""
    waits_s = [
        candidate.load.wait_s(view.now_s) for candidate in view.domain.candidates
    ]
    limit_s = min(waits_s) + TIE_MARGIN_S
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
