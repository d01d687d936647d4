"""An immutable revision of the configuration, with look-ups."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable, Mapping

import attrs

from crocuswick.configuration.objects import (
    KINDS_BY_NAME,
    ConfigurationObject,
    EndpointPool,
    Key,
    Limit,
    ModelVersion,
    Organisation,
    RoutingPolicy,
    Service,
)

__all__ = ["EMPTY_CONFIGURATION", "Configuration"]


@attrs.frozen(kw_only=True, slots=False)
class Configuration:
    """An immutable revision of the configuration."""

    revision: int = 0
    """Number of accepted submissions so far; 0 is the empty configuration."""

    organisations_by_id: Mapping[str, Organisation] = attrs.Factory(dict)
    """Organisations."""

    model_versions_by_id: Mapping[str, ModelVersion] = attrs.Factory(dict)
    """Model versions."""

    endpoint_pools_by_id: Mapping[str, EndpointPool] = attrs.Factory(dict)
    """Endpoint pools."""

    routing_policies_by_id: Mapping[str, RoutingPolicy] = attrs.Factory(dict)
    """Routing policies."""

    services_by_id: Mapping[str, Service] = attrs.Factory(dict)
    """Plain services."""

    limits_by_id: Mapping[str, Limit] = attrs.Factory(dict)
    """Limits."""

    keys_by_id: Mapping[str, Key] = attrs.Factory(dict)
    """Callers' keys."""

    @classmethod
    def from_objects(
        cls, *, revision: int, objects: Iterable[ConfigurationObject]
    ) -> Configuration:
        """Build a revision from valid objects.

        Args:
            revision: Number of the revision.
            objects: Objects without duplicate ids.

        Returns:
            The configuration.
        """
        collections = {kind.collection: {} for kind in KINDS_BY_NAME.values()}
        for item in objects:
            collection = KINDS_BY_NAME[item.kind_name].collection
            collections[collection][item.id] = item
        return cls(revision=revision, **collections)

    def objects(self) -> list[ConfigurationObject]:
        """Return all objects, grouped by kind."""
        return [
            item
            for kind in KINDS_BY_NAME.values()
            for item in getattr(self, kind.collection).values()
        ]

    def organisation_id_for_key(self, secret: str) -> str | None:
        """Return the organisation that a caller's key belongs to.

        Args:
            secret: The key as sent by the caller.

        Returns:
            The organisation's id, or None if no key matches.
        """
        digest = hashlib.sha256(secret.encode(errors="surrogateescape")).hexdigest()
        return self._organisation_ids_by_sha256.get(digest)

    def policy_for_model(self, model: str) -> RoutingPolicy | None:
        """Return the routing policy for a public model name."""
        return self._policies_by_model.get(model)

    def limit_for_organisation(self, organisation_id: str) -> Limit | None:
        """Return the limit of an organisation."""
        return self._limits_by_organisation_id.get(organisation_id)

    def service_for_prefix(self, prefix: str) -> Service | None:
        """Return the plain service for a path prefix."""
        return self._services_by_prefix.get(prefix)

    @functools.cached_property
    def _organisation_ids_by_sha256(self) -> dict[str, str]:
        return {key.sha256: key.organisation for key in self.keys_by_id.values()}

    @functools.cached_property
    def _policies_by_model(self) -> dict[str, RoutingPolicy]:
        return {item.model: item for item in self.routing_policies_by_id.values()}

    @functools.cached_property
    def _limits_by_organisation_id(self) -> dict[str, Limit]:
        return {item.organisation: item for item in self.limits_by_id.values()}

    @functools.cached_property
    def _services_by_prefix(self) -> dict[str, Service]:
        return {item.prefix: item for item in self.services_by_id.values()}


EMPTY_CONFIGURATION = Configuration()
"""The configuration before the first accepted submission."""
