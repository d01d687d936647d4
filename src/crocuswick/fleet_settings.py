"""Settings of a node that belongs to a fleet on a platform."""

from __future__ import annotations

import attrs

__all__ = ["FleetBounds", "FleetSettings"]


@attrs.frozen(kw_only=True)
class FleetBounds:
    """Bounds that the fleet's users state; defaults are those of small fleets."""

    grace_ms: int
    """Time between the request to stop and the end of the process."""

    retry_ratio: float
    """Repeats allowed for each request of a service."""

    retry_window_ms: int
    """Window over which repeats are counted."""

    retry_slack: int
    """Repeats allowed beyond the ratio, by all nodes together."""

    lease_ms: int
    """Time between the last order of one holder and the first of the next."""

    weights_ms: int
    """Time after which no request begins on weights older than the named ones."""


@attrs.frozen(kw_only=True)
class FleetSettings:
    """Where a node stands and whom it talks to."""

    node_id: str
    zone: str
    callers_address: str
    """``host:port`` for callers."""

    readiness_address: str
    """``host:port`` at which readiness is asked."""

    peers_address: str
    """``host:port`` for other nodes."""

    metrics_port: int
    """Port of the metrics page, 0 for none."""

    seeds: tuple[str, ...]
    """Addresses of a few nodes, which may be stale."""

    store_address: str
    """``host:port`` of the platform's metadata store."""

    bounds: FleetBounds
