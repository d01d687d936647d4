"""The configuration that applies to callers' requests during a rollout."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.rollout import Rollout, routable_version

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from crocuswick.configuration import Configuration, ModelVersion, RoutingPolicy

__all__ = ["ServedWeights", "configuration_for_callers"]


@attrs.frozen(kw_only=True)
class ServedWeights:
    """A weights version of a model as served in a pool."""

    pool: str
    """Id of the pool."""

    model: str
    """Name of the model at the engines."""

    weights_version: str
    """Version of the weights."""


def configuration_for_callers(
    configuration: Configuration,
    *,
    rollouts: Iterable[Rollout],
    ready_replicas_by_weights: Mapping[ServedWeights, int],
) -> Configuration:
    """Return the configuration with the weights versions that callers get now.

    During a rollout, requests go to the old version until at least as many replicas
    are ready with the new one. After a roll-back they stay on the old one.

    Args:
        configuration: The current configuration.
        rollouts: The latest rollout of each model in each pool.
        ready_replicas_by_weights: Number of ready replicas per weights version.

    Returns:
        The adjusted configuration, or the given object itself if nothing differs.
    """
    rollouts_by_pool_and_model = {(each.pool, each.model): each for each in rollouts}
    versions_by_id = dict(configuration.model_versions_by_id)
    policies_by_id = dict(configuration.routing_policies_by_id)
    for policy in configuration.routing_policies_by_id.values():
        wanted = configuration.model_versions_by_id[policy.model_version]
        served = _served_version(
            policy,
            wanted,
            rollouts_by_pool_and_model.get((policy.pool, wanted.model)),
            ready_replicas_by_weights,
        )
        if served == wanted.weights_version:
            continue
        served_model_version = attrs.evolve(
            wanted, id=f"{wanted.id}@{served}", weights_version=served
        )
        versions_by_id[served_model_version.id] = served_model_version
        policies_by_id[policy.id] = attrs.evolve(
            policy, model_version=served_model_version.id
        )
    if policies_by_id == configuration.routing_policies_by_id:
        return configuration
    return attrs.evolve(
        configuration,
        model_versions_by_id=versions_by_id,
        routing_policies_by_id=policies_by_id,
    )


def _served_version(
    policy: RoutingPolicy,
    wanted: ModelVersion,
    rollout: Rollout | None,
    ready_replicas_by_weights: Mapping[ServedWeights, int],
) -> str:
    ready_by_version = {
        weights.weights_version: count
        for weights, count in ready_replicas_by_weights.items()
        if (weights.pool, weights.model) == (policy.pool, wanted.model)
    }
    if rollout is None or rollout.new_version != wanted.weights_version:
        # No rollout to this version is recorded yet. The version that most replicas
        # serve is the old one.
        old_version = _most_common_except(ready_by_version, wanted.weights_version)
    elif rollout.is_rolled_back:
        return rollout.old_version
    else:
        old_version = rollout.old_version
    return routable_version(
        old_version=old_version,
        new_version=wanted.weights_version,
        ready_by_version=ready_by_version,
    )


def _most_common_except(ready_by_version: Mapping[str, int], wanted: str) -> str:
    others = [version for version in ready_by_version if version != wanted]
    return max(
        others, key=lambda version: (ready_by_version[version], version), default=""
    )
