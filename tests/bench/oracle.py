"""Limits of any policy: placement with perfect knowledge, unavoidable work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.block_key import BLOCK_TOKENS
from tests.bench.engine import BlockCache, EngineModel

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from tests.bench.trace import Trace, TraceRequest

__all__ = [
    "OracleChoice",
    "UnavoidableWork",
    "choose_with_perfect_knowledge",
    "unavoidable_work",
]


@attrs.frozen(kw_only=True)
class OracleChoice:
    """A choice of an engine, with its true time to first token."""

    engine: EngineModel
    ttft_s: float
    source: EngineModel | None = None


def choose_with_perfect_knowledge(
    request: TraceRequest, engines: Sequence[EngineModel], random: Random
) -> OracleChoice:
    """Choose an engine by the current true queues and caches of all engines.

    Args:
        request: The request.
        engines: All engines.
        random: Source of the choice between equal times.

    Returns:
        The choice with the shortest time to first token.
    """
    source = max(engines, key=lambda engine: engine.cached_blocks(request.keys))
    choices = [_without_import(request, engine) for engine in engines]
    choices += [
        _with_import(request, engine, source)
        for engine in engines
        if engine is not source
    ]
    random.shuffle(choices)
    return min(choices, key=lambda choice: choice.ttft_s)


def _without_import(request: TraceRequest, engine: EngineModel) -> OracleChoice:
    blocks = engine.expected_blocks(request.keys, request.priority)
    tokens = request.prompt_tokens - blocks * BLOCK_TOKENS
    prefill_s = tokens / engine.spec.prefill_tokens_per_s
    ttft_s = engine.wait_s(request.priority) + prefill_s
    return OracleChoice(engine=engine, ttft_s=ttft_s)


def _with_import(
    request: TraceRequest, engine: EngineModel, source: EngineModel
) -> OracleChoice:
    cached_blocks = engine.cached_blocks(request.keys)
    source_blocks = source.cached_blocks(request.keys)
    transfer_s = engine.spec.import_cost.transfer_s(source_blocks - cached_blocks)
    tokens = request.prompt_tokens - max(cached_blocks, source_blocks) * BLOCK_TOKENS
    prefill_s = tokens / engine.spec.prefill_tokens_per_s
    ttft_s = max(engine.wait_s(request.priority), transfer_s) + prefill_s
    return OracleChoice(engine=engine, ttft_s=ttft_s, source=source)


@attrs.frozen(kw_only=True)
class UnavoidableWork:
    """Prefill work that no placement avoids.

    It is the work of a single cache as large as those of all engines together.
    """

    computed_tokens: int
    """Number of prompt tokens computed."""

    recomputed_tokens: int
    """Number of prompt tokens in whole blocks that had been computed before."""

    hit_rate: float
    """Share of the whole blocks that were cache hits."""


def unavoidable_work(
    trace: Trace, *, capacity_blocks: int, measured_from_s: float
) -> UnavoidableWork:
    """Return the work of a single cache as large as those of all engines together.

    Args:
        trace: The requests.
        capacity_blocks: Blocks in the caches of all engines.
        measured_from_s: Arrival time from which requests count.
    """
    cache = BlockCache(capacity_blocks=capacity_blocks)
    seen_keys: set[int] = set()
    computed_tokens = recomputed_blocks = hit_blocks = blocks = 0
    for request in trace:
        cached_blocks = cache.prefix_blocks(request.keys)
        missed_keys = request.keys[cached_blocks:]
        if request.at_s >= measured_from_s:
            computed_tokens += request.prompt_tokens - cached_blocks * BLOCK_TOKENS
            recomputed_blocks += sum(key in seen_keys for key in missed_keys)
            hit_blocks += cached_blocks
            blocks += len(request.keys)
        seen_keys.update(missed_keys)
        cache.store(request.keys)
    return UnavoidableWork(
        computed_tokens=computed_tokens,
        recomputed_tokens=recomputed_blocks * BLOCK_TOKENS,
        hit_rate=hit_blocks / max(1, blocks),
    )
