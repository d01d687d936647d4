"""The weights versions that the configuration requires in each pool."""

from __future__ import annotations

import attrs

from crocuswick.configuration import Configuration, Endpoint

__all__ = ["WantedVersion", "wanted_versions"]


@attrs.frozen(kw_only=True)
class WantedVersion:
    """A weights version that the configuration requires in a pool."""

    pool: str
    """Id of the pool."""

    model: str
    """Name of the model at the engines."""

    weights_version: str
    """Version of the weights."""

    endpoints: tuple[Endpoint, ...]
    """Endpoints of the pool."""


def wanted_versions(configuration: Configuration) -> list[WantedVersion]:
    """Return the weights versions that the routing policies require.

    A model is skipped in a pool where policies require different versions of it.

    Args:
        configuration: The current configuration.
    """
    versions_by_pool_and_model: dict[tuple[str, str], set[str]] = {}
    for policy in configuration.routing_policies_by_id.values():
        version = configuration.model_versions_by_id[policy.model_version]
        pool_and_model = (policy.pool, version.model)
        versions_by_pool_and_model.setdefault(pool_and_model, set()).add(
            version.weights_version
        )
    return [
        WantedVersion(
            pool=pool,
            model=model,
            weights_version=next(iter(versions)),
            endpoints=configuration.endpoint_pools_by_id[pool].endpoints,
        )
        for (pool, model), versions in versions_by_pool_and_model.items()
        if len(versions) == 1
    ]
