"""Policies that choose by the expected time to first token.

A policy evaluates a small number of candidates, independent of the number of
endpoints: the endpoints that hold most of the prompt, the rendezvous homes of its
prefix levels and two random endpoints. Earlier versions stay registered, so that
the benchmark can compare them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from crocuswick.block_key import BLOCK_TOKENS
from crocuswick.placement_policy import (
    TIE_MARGIN_S,
    Choice,
    choice_without_import,
    placement_policy,
    policies_by_name,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crocuswick.placement_policy import Candidate, PlacementView

__all__ = [
    "DEFAULT_POLICY",
    "choose_by_ttft_v1",
    "choose_by_ttft_v2",
    "choose_by_ttft_v3",
]

DEFAULT_POLICY = "current"
MAX_HOLDERS_PER_GROUP = 2
"""Maximum number of candidates from each group of endpoints that hold a prefix of the
same length."""

MAX_HOLDERS = 4
"""Number of candidates that hold a prefix at which no further group is considered."""

MAX_LEVELS = 3
"""Number of prefix levels, starting with the deepest, whose homes are candidates."""

MAX_HOMES = 4
"""Maximum number of candidates that are homes of prefix levels."""

RANDOM_CANDIDATES = 2
PREFILL_WEIGHT = 2.0
"""Cost of one second of prefill, in seconds of waiting."""

IMPORT_WEIGHT = 2.0
"""Cost of one second of transfer, in seconds of waiting. It is added to the wait for
the transfer itself."""


@placement_policy("ttft_v1")
def choose_by_ttft_v1(view: PlacementView) -> Choice:
    """Choose the endpoint with the shortest expected time to first token."""
    return _cheapest(view, _choices(view, prefill_weight=1.0))


@placement_policy("ttft_v2")
def choose_by_ttft_v2(view: PlacementView) -> Choice:
    """Choose like `choose_by_ttft_v1`, with prefill weighted above waiting.

    Recomputing a prefix delays the requests queued behind it, and its blocks evict
    others.
    """
    return _cheapest(view, _choices(view, prefill_weight=PREFILL_WEIGHT))


@placement_policy("ttft_v3")
def choose_by_ttft_v3(view: PlacementView) -> Choice:
    """Choose like `choose_by_ttft_v2`, or import the prefix where that is cheaper.

    A transfer costs more than the time it takes, because the copy evicts other blocks.
    """
    choices = _choices(view, prefill_weight=PREFILL_WEIGHT)
    imported = _import_choice(view, choices)
    if imported is not None:
        choices.append(imported)
    return _cheapest(view, choices)


def _choices(view: PlacementView, *, prefill_weight: float) -> list[Choice]:
    candidates_by_id = view.domain.candidates_by_id
    return [
        choice_without_import(
            view,
            candidates_by_id[endpoint_id],
            reason,
            prefill_weight=prefill_weight,
        )
        for endpoint_id, reason in _candidate_reasons(view).items()
    ]


def _import_choice(view: PlacementView, choices: Sequence[Choice]) -> Choice | None:
    """Return an import to the endpoint with the shortest wait, None if no time is saved."""
    source = _import_source(view)
    choice = min(choices, key=_wait_s)
    if source is None or source is choice.candidate:
        return None
    blocks = view.cached_blocks(source)
    if choice.cached_blocks >= blocks:
        return None
    imported_blocks = blocks - choice.cached_blocks
    seconds_per_token = choice.candidate.load.seconds_per_token
    cost = view.import_cost
    if cost.saving_s(imported_blocks, seconds_per_token=seconds_per_token) <= 0.0:
        return None
    transfer_s = cost.transfer_s(imported_blocks)
    # The engine works off its queue during the transfer.
    wait_s = max(choice.wait_s, transfer_s)
    uncached_tokens = view.prompt_tokens - blocks * BLOCK_TOKENS
    prefill_s = uncached_tokens * seconds_per_token
    return Choice(
        candidate=choice.candidate,
        reason="import",
        cached_blocks=blocks,
        wait_s=wait_s,
        ttft_s=wait_s + prefill_s,
        cost_s=wait_s + PREFILL_WEIGHT * prefill_s + IMPORT_WEIGHT * transfer_s,
        import_from=source.endpoint_id,
    )


def _import_source(view: PlacementView) -> Candidate | None:
    """Return an eligible endpoint that holds the longest prefix."""
    for group in view.holders:
        bits = _sample_bits(group.mask & view.domain.mask, view)
        if bits:
            return view.domain.candidates_by_bit[bits[0]]
    return None


def _candidate_reasons(view: PlacementView) -> dict[str, str]:
    reasons_by_id = dict.fromkeys(_holder_ids(view), "holder")
    for endpoint_id in _home_ids(view):
        reasons_by_id.setdefault(endpoint_id, "home")
    for _ in range(RANDOM_CANDIDATES):
        candidate = view.random.choice(view.domain.candidates)
        reasons_by_id.setdefault(candidate.endpoint_id, "random")
    return reasons_by_id


def _home_ids(view: PlacementView) -> list[str]:
    home_ids = []
    domain = view.domain
    for key in view.level_keys[:MAX_LEVELS]:
        count = view.hot_prefixes.home_count(
            key, endpoints=len(domain.candidates), now_s=view.now_s
        )
        count = min(count, MAX_HOMES - len(home_ids))
        home_ids.extend(domain.rendezvous.choose_many(key, count=count))
        if len(home_ids) == MAX_HOMES:
            break
    return home_ids


def _holder_ids(view: PlacementView) -> list[str]:
    holder_ids = []
    for group in view.holders:
        if len(holder_ids) >= MAX_HOLDERS:
            break
        bits = _sample_bits(group.mask & view.domain.mask, view)
        holder_ids.extend(
            view.domain.candidates_by_bit[bit].endpoint_id for bit in bits
        )
    return holder_ids


def _sample_bits(mask: int, view: PlacementView) -> list[int]:
    """Return up to `MAX_HOLDERS_PER_GROUP` bits of a mask from a random position.

    The search wraps around at the highest bit.
    """
    bits = []
    pivot = view.random.randrange(mask.bit_length() or 1)
    upper = (mask >> pivot) << pivot
    for remaining in (upper, mask ^ upper):
        while remaining and len(bits) < MAX_HOLDERS_PER_GROUP:
            bit = remaining & -remaining
            bits.append(bit)
            remaining ^= bit
    return bits


def _cheapest(view: PlacementView, choices: Sequence[Choice]) -> Choice:
    limit_s = min(choice.cost_s for choice in choices) + TIE_MARGIN_S
    best = [choice for choice in choices if choice.cost_s <= limit_s]
    return view.random.choice(best)


def _wait_s(choice: Choice) -> float:
    return choice.wait_s


policies_by_name[DEFAULT_POLICY] = choose_by_ttft_v3
