"""Settings of a fleet node."""

from __future__ import annotations

import attrs

__all__ = ["FleetBounds", "FleetSettings"]


@attrs.frozen(kw_only=True)
class FleetBounds:
    """Limits that the fleet's users set. The defaults of the settings file suit small
    fleets.
    """

    grace_ms: int
    """Maximum time between the shutdown request and the end of the process."""

    retry_ratio: float
    """Retries allowed for each request of a service, as a fraction."""

    retry_window_ms: int
    """Window over which retries are counted."""

    retry_slack: int
    """Retries allowed in the window in addition to the ratio, by all nodes together."""

    lease_ms: int
    """Minimum time between the last order of one holder of the order lease and the
    first order of the next holder.
    """

    configuration_ms: int
    """Time after the store has accepted a configuration from which it is in force."""

    departure_ms: int
    """Time after a replica has announced that it leaves, or its entry was removed, from
    which it is sent no request.
    """

    weights_ms: int
    """Time after a new target version is set from which no request starts on older
    weights.
    """

    quota_window_s: float = 8.0
    """Window over which what an organisation may use beyond its quota is limited."""

    quota_over: float = 0.1
    """Part of a quota's rate and burst in the window that may be used beyond it."""

    quota_slack: float = 0.0
    """What may be used in the window in addition, in the unit of the quota."""


@attrs.frozen(kw_only=True)
class FleetSettings:
    """Identity, addresses and limits of a node."""

    node_id: str
    zone: str
    callers_address: str
    """``host:port`` at which the node listens for requests of callers."""

    readiness_address: str
    """``host:port`` at which the node serves the readiness check."""

    peers_address: str
    """``host:port`` at which the node listens for other nodes."""

    metrics_port: int
    """Port of the metrics page, 0 for none."""

    seeds: tuple[str, ...]
    """Addresses of a few nodes, used to join the fleet; some may be stale."""

    store_address: str
    """``host:port`` of the platform's metadata store."""

    bounds: FleetBounds
    memory_mb: int = 0
    """Memory of the VM, 0 if it is not known."""

    max_descriptors: int = 0
    """Descriptors that the process may open, 0 if the number is not known."""

    is_first_start: bool = False
    """Whether the whole fleet starts for the first time, so that no earlier process of
    this node has sent requests.
    """

    admits_by_room: bool = False
    """Whether requests are admitted by the rules for hard load."""

    requires_keys: bool = False
    """Whether callers need a key even if the configuration lists no organisations."""
