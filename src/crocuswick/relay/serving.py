"""What a node serves: routes, services, organisations and callers' limits."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

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
    """What may be done with a request of a route."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""

    NON_IDEMPOTENT = "non_idempotent"
    """Runs at most once."""

    STREAMING = "streaming"
    """Answered by a stream of events; runs at most once unless resumable."""


@attrs.frozen(kw_only=True)
class TrafficShare:
    """A part of a route's requests."""

    service: str
    """Name of the service that gets them."""

    weight: int
    """Weight against the route's other shares."""


@attrs.frozen(kw_only=True)
class Route:
    """Where requests of one host and path prefix go, and under which bounds."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[TrafficShare, ...]
    timeout_ms: int
    """Longest time that a caller is kept waiting for its answer."""

    target_latency_ms: int
    """Time within which an answer, or a stream's first event, is on time."""

    max_gap_ms: int
    """Longest pause between events with which a stream is on time."""

    max_attempts: int
    """Most replicas that may run one request."""

    priority: int
    """Rank against other routes; 0 is the most urgent."""

    is_public: bool
    """Whether requests need no key."""

    is_resumable: bool
    """Whether a stream may be resumed after its last event."""

    @property
    def may_run_again(self) -> bool:
        """Whether a request may be run once more after it may have run."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen(kw_only=True)
class EngineTraits:
    """What the model engines of a service have in common."""

    slots: int
    kv_capacity_tokens: int
    kv_bytes_per_token: float
    link_mbps: float
    models: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Service:
    """A named set of replicas."""

    name: str
    health_path: str
    max_connections: int
    """Connections that one replica accepts from all callers."""

    engine: EngineTraits | None
    """Traits of its model engines, None for a plain service."""


@attrs.frozen(kw_only=True)
class KvStore:
    """A store of KV cache that engines save to and fetch from."""

    name: str
    address: str
    zone: str
    capacity_tokens: int
    link_mbps: float


@attrs.frozen(kw_only=True)
class Organisation:
    """A customer whose requests carry one of its keys."""

    name: str
    keys: frozenset[str]
    priority: int | None
    """Rank that replaces the route's, None for no rank of its own."""

    is_isolated: bool
    """Whether its cached parts are never shared with other organisations."""


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Bounds of what callers may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.frozen(kw_only=True)
class ServingConfiguration:
    """One version of everything that operators decide."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    """Routes of each host, longest path prefix first."""

    services_by_name: Mapping[str, Service]
    kv_stores: tuple[KvStore, ...]
    organisations_by_key: Mapping[str, Organisation]
    needs_key: bool
    """Whether requests of routes that are not public carry a key."""

    limits: CallerLimits

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        Args:
            host: Host that the caller named, without a port.
            path: Path without its query.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
