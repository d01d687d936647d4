"""The weights that the configuration wants in each pool."""

from __future__ import annotations

import attrs

from crocuswick.configuration import Configuration, Endpoint

__all__ = ["WantedVersion", "wanted_versions"]


@attrs.frozen(kw_only=True)
class WantedVersion:
    """Weights that the configuration wants in a pool."""

    pool: str
    """Id of the pool."""

    model: str
    """Name of the model at the engines."""

    weights_version: str
    """Version of the weights."""

    endpoints: tuple[Endpoint, ...]
    """Endpoints of the pool."""


def wanted_versions(configuration: Configuration) -> list[WantedVersion]:
    """Return what the routing policies want of the engines.

    A model that two policies want in two versions on one pool is left alone.

    Args:
        configuration: The configuration in force.
    """
    wanted_by_place: dict[tuple[str, str], set[str]] = {}
    for policy in configuration.routing_policies_by_id.values():
        version = configuration.model_versions_by_id[policy.model_version]
        place = (policy.pool, version.model)
        wanted_by_place.setdefault(place, set()).add(version.weights_version)
    return [
        WantedVersion(
            pool=pool,
            model=model,
            weights_version=next(iter(versions)),
            endpoints=configuration.endpoint_pools_by_id[pool].endpoints,
        )
        for (pool, model), versions in wanted_by_place.items()
        if len(versions) == 1
    ]
