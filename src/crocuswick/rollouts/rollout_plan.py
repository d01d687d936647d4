"""Selects the engines that load new weights next."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.relay.replica import Replica, ReplicaState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from crocuswick.relay.engine_state import EngineState

__all__ = ["WeightsStep", "max_concurrent_loads", "next_steps", "outdated_engines"]

MAX_LOADING_SHARE = 3 / 8
"""Largest share of the engines that load at once; if more load, they slow each other
down."""


@attrs.frozen(kw_only=True)
class WeightsStep:
    """A version that an engine should load."""

    replica: Replica
    model: str
    version: int


def max_concurrent_loads(engines: int) -> int:
    """Return how many engines out of a given number may load at the same time."""
    return max(1, round(MAX_LOADING_SHARE * engines))


def outdated_engines(
    engines: Iterable[EngineState], target_by_model: Mapping[str, int]
) -> list[tuple[EngineState, WeightsStep]]:
    """Return the engines that serve older weights than the target version.

    Args:
        engines: All engines.
        target_by_model: Target version of each model.
    """
    return [
        (
            engine,
            WeightsStep(
                replica=engine.replica, model=model, version=target_by_model[model]
            ),
        )
        for engine in engines
        if engine.replica.state is ReplicaState.READY and not engine.unwanted_for_s
        for model, version in engine.weights_by_model.items()
        if version < target_by_model.get(model, 0)
    ]


def next_steps(
    engines: Collection[EngineState],
    outdated: Collection[tuple[EngineState, WeightsStep]],
    *,
    busy_incarnations: Collection[str] = (),
    paused_incarnations: Collection[str] = (),
) -> list[WeightsStep]:
    """Return the orders to send now, the least loaded engines first.

    Args:
        engines: All engines.
        outdated: Engines with older weights, as `outdated_engines` returns them.
        busy_incarnations: Engines that load or have been sent an order.
        paused_incarnations: Engines that failed to load and are retried later; they
            don't count towards the limit.
    """
    free_slots_by_model = {
        model: _free_load_slots(model, engines, busy_incarnations)
        for model in {step.model for _, step in outdated}
    }
    steps = []
    for engine, step in sorted(outdated, key=lambda pair: pair[0].prefill_tokens):
        incarnation = engine.replica.incarnation
        if incarnation in busy_incarnations or incarnation in paused_incarnations:
            continue
        if free_slots_by_model[step.model] > 0:
            free_slots_by_model[step.model] -= 1
            steps.append(step)
    return steps


def _free_load_slots(
    model: str, engines: Iterable[EngineState], busy_incarnations: Collection[str]
) -> int:
    """Return how many more engines of a model may load now."""
    incarnations = [
        engine.replica.incarnation
        for engine in engines
        if model in engine.weights_by_model
    ]
    busy = sum(incarnation in busy_incarnations for incarnation in incarnations)
    return max_concurrent_loads(len(incarnations)) - busy
