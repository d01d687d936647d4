"""Serving configuration: routes, services, organisations and limits of callers."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from crocuswick.quota import Quota

__all__ = [
    "CallerLimits",
    "EngineTraits",
    "KvStore",
    "Organisation",
    "Route",
    "RouteKind",
    "Service",
    "ServingConfiguration",
    "TrafficShare",
]


class RouteKind(enum.StrEnum):
    """Kind of a route, which decides whether its requests may be retried."""

    IDEMPOTENT = "idempotent"
    """Requests may run more than once."""

    NON_IDEMPOTENT = "non_idempotent"
    """Requests run at most once."""

    STREAMING = "streaming"
    """Requests are answered by event streams and run at most once unless resumable."""


@attrs.frozen(kw_only=True)
class TrafficShare:
    """Share of a route's requests that a service receives."""

    service: str
    """Name of the service."""

    weight: int
    """Weight relative to the other shares of the route."""


@attrs.frozen(kw_only=True)
class Route:
    """Services and limits for requests of one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[TrafficShare, ...]
    timeout_ms: int
    """Longest time until the caller has its final answer."""

    target_latency_ms: int
    """Time within which an answer, or the first event of a stream, is on time."""

    max_gap_ms: int
    """Longest gap between events with which a stream is on time."""

    max_attempts: int
    """Limit on the replicas that may run one request."""

    priority: int
    """Priority among the routes; 0 is the highest."""

    is_public: bool
    """Whether requests without a key are accepted."""

    is_resumable: bool
    """Whether a stream may be resumed after its last received event."""

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run may be run again."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen(kw_only=True)
class EngineTraits:
    """Properties that all model engines of a service share."""

    slots: int
    kv_capacity_tokens: int
    kv_bytes_per_token: float
    link_mbps: float
    models: tuple[str, ...]
    max_event_reads: int = 1
    """Reads of cache events that an engine holds at once, from all nodes."""


@attrs.frozen(kw_only=True)
class Service:
    """A named set of replicas."""

    name: str
    health_path: str
    max_connections: int
    """Limit on the connections that one replica accepts in total."""

    engine: EngineTraits | None
    """Traits of its model engines, None for a service without engines."""


@attrs.frozen(kw_only=True)
class KvStore:
    """A KV-cache store to which engines save segments for others to fetch."""

    name: str
    address: str
    zone: str
    capacity_tokens: int
    link_mbps: float


@attrs.frozen(kw_only=True)
class Organisation:
    """A customer, whose requests carry one of its keys."""

    name: str
    keys: frozenset[str]
    priority: int | None
    """Priority that takes precedence over the route's, None if it has none."""

    is_isolated: bool
    """Whether its cached segments are never shared with other organisations."""


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on what callers may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.frozen(kw_only=True)
class ServingConfiguration:
    """One version of the operators' configuration."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    """Routes by host, longest path prefix first."""

    services_by_name: Mapping[str, Service]
    kv_stores: tuple[KvStore, ...]
    organisations_by_key: Mapping[str, Organisation]
    needs_key: bool
    """Whether routes that are not public require a key."""

    limits: CallerLimits
    quotas_by_organisation: Mapping[str, Quota] = attrs.Factory(dict)
    """Quotas of the organisations that have one."""

    @property
    def quotas_without_keys(self) -> set[str]:
        """Organisations with a quota that no request can belong to."""
        with_keys = {each.name for each in self.organisations_by_key.values()}
        return self.quotas_by_organisation.keys() - with_keys

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, or None.

        Args:
            host: Host from the request, without a port.
            path: Path without its query.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
