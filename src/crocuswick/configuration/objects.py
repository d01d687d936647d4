"""The kinds of objects that operators configure."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from crocuswick.configuration import _fields as fields
from crocuswick.configuration._parsing import parse_nested

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "KINDS_BY_NAME",
    "ConfigurationObject",
    "Endpoint",
    "EndpointPool",
    "Key",
    "Limit",
    "ModelVersion",
    "ObjectKind",
    "Organisation",
    "RoutingPolicy",
    "Service",
    "object_kind",
    "to_record",
]


@attrs.frozen(kw_only=True)
class ObjectKind:
    """A kind of configuration object."""

    name: str
    """Name used in set files."""

    collection: str
    """Attribute of `Configuration` that holds the objects of this kind."""

    object_type: type
    """The attrs class."""


KINDS_BY_NAME: dict[str, ObjectKind] = {}
"""Every kind of object, filled by `object_kind`."""


def object_kind(name: str, *, collection: str) -> Callable[[type], type]:
    """Register an attrs class as a kind of configuration object.

    Args:
        name: Name used in set files.
        collection: Attribute of `Configuration` that holds the objects.

    Returns:
        The class decorator.
    """

    def register(object_type: type) -> type:
        KINDS_BY_NAME[name] = ObjectKind(
            name=name, collection=collection, object_type=object_type
        )
        object_type.kind_name = name
        return object_type

    return register


@attrs.frozen(kw_only=True)
class Endpoint:
    """A back end: one engine replica or one plain service replica."""

    id: str = fields.identifier()
    """Id, the same in each pool that the endpoint belongs to."""

    address: str = fields.address()
    """IP address and port, such as ``10.0.0.7:8000``."""

    zone: str = fields.identifier()
    """Availability zone that the endpoint runs in."""


@object_kind("organisation", collection="organisations_by_id")
@attrs.frozen(kw_only=True, slots=False)
class Organisation:
    """A customer."""

    id: str = fields.identifier()
    """Id."""

    title: str = fields.text(default="")
    """Display name."""

    share: float = fields.number(default=1.0)
    """Weight in fair sharing among organisations."""


@object_kind("model_version", collection="model_versions_by_id")
@attrs.frozen(kw_only=True, slots=False)
class ModelVersion:
    """A model together with one version of its weights."""

    id: str = fields.identifier()
    """Id."""

    model: str = fields.identifier()
    """Name of the model at the engines."""

    weights_version: str = fields.identifier()
    """Version of the weights that engines must serve."""

    max_context_tokens: int = fields.whole_number(default=131072)
    """Maximum total length of prompt and completion, in tokens."""


@object_kind("endpoint_pool", collection="endpoint_pools_by_id")
@attrs.frozen(kw_only=True, slots=False)
class EndpointPool:
    """A group of interchangeable endpoints."""

    id: str = fields.identifier()
    """Id."""

    kind: str = fields.choice("engine", "plain", record_name="pool_kind")
    """Whether the endpoints are model engines or plain services.

    Set files use ``pool_kind``, since ``kind`` is the kind of object there.
    """

    endpoints: tuple[Endpoint, ...] = fields.list_of(parse_nested(Endpoint))
    """The endpoints."""

    checks_fencing_token: bool = fields.flag(default=False)
    """Whether the engines refuse orders with a stale fencing token."""


@object_kind("routing_policy", collection="routing_policies_by_id")
@attrs.frozen(kw_only=True, slots=False)
class RoutingPolicy:
    """Maps a public model name to a model version in a pool."""

    id: str = fields.identifier()
    """Id."""

    model: str = fields.identifier()
    """Public model name used by callers."""

    model_version: str = fields.reference("model_version")
    """Id of the model version that serves the requests."""

    pool: str = fields.reference("endpoint_pool")
    """Id of the engine pool."""

    placement: str = fields.identifier(default="current")
    """Name of the placement policy."""

    interactive_deadline_ms: int = fields.whole_number(default=30000)
    """Deadline of interactive requests."""

    batch_deadline_ms: int = fields.whole_number(default=600000)
    """Deadline of batch requests."""


@object_kind("service", collection="services_by_id")
@attrs.frozen(kw_only=True, slots=False)
class Service:
    """A plain service that calls are routed to by path prefix."""

    id: str = fields.identifier()
    """Id."""

    prefix: str = fields.prefix()
    """First segment of the paths that belong to the service."""

    pool: str = fields.reference("endpoint_pool")
    """Id of the pool of service endpoints."""

    idempotent_methods: tuple[str, ...] = fields.names(
        default=("GET", "HEAD", "OPTIONS")
    )
    """HTTP methods whose calls may be retried."""

    timeout_ms: int = fields.whole_number(default=10000)
    """Longest wait for a response."""


@object_kind("limit", collection="limits_by_id")
@attrs.frozen(kw_only=True, slots=False)
class Limit:
    """Usage limits of one organisation."""

    id: str = fields.identifier()
    """Id."""

    organisation: str = fields.reference("organisation")
    """Id of the organisation."""

    requests_per_s: float = fields.number()
    """Requests per second, summed over all nodes."""

    tokens_per_s: float = fields.number()
    """Prompt and completion tokens per second, summed over all nodes."""

    concurrent_streams: int = fields.whole_number()
    """Concurrent streams, summed over all nodes."""


@object_kind("key", collection="keys_by_id")
@attrs.frozen(kw_only=True, slots=False)
class Key:
    """A caller's key, stored only as a hash."""

    id: str = fields.identifier()
    """Id."""

    organisation: str = fields.reference("organisation")
    """Id of the organisation that the caller belongs to."""

    sha256: str = fields.sha256()
    """SHA-256 of the secret, in lower-case hexadecimal."""


ConfigurationObject = (
    Organisation | ModelVersion | EndpointPool | RoutingPolicy | Service | Limit | Key
)
"""Any configuration object."""


def to_record(configuration_object: ConfigurationObject) -> dict[str, Any]:
    """Return the plain JSON form of an object, as used in set files."""
    values = attrs.asdict(configuration_object, value_serializer=_tuple_to_list)
    record: dict[str, Any] = {"kind": configuration_object.kind_name}
    for attribute in attrs.fields(type(configuration_object)):
        record[fields.record_name_of(attribute)] = values[attribute.name]
    return record


def _tuple_to_list(_owner: Any, _attribute: Any, value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value
