"""Data that nodes exchange about themselves and about endpoints."""

from __future__ import annotations

from enum import StrEnum

import attrs

from crocuswick.demand_meter import OrganisationDemand

__all__ = [
    "EndpointSignal",
    "EndpointSignalKind",
    "NodeAddress",
    "NodeLiveness",
    "NodePhase",
    "NodeState",
    "NodeStatus",
    "PeerAddress",
]


class NodePhase(StrEnum):
    """Life-cycle phase that a node reports."""

    STARTING = "starting"
    """It has no configuration yet."""

    READY = "ready"
    """It accepts requests."""

    DRAINING = "draining"
    """It finishes the requests in flight and accepts no new ones."""


class NodeLiveness(StrEnum):
    """Liveness of a node as estimated by this node."""

    LIVE = "live"
    """Seen recently, in a heartbeat or a digest."""

    SUSPECT = "suspect"
    """Not seen recently, or flapping."""

    LEAVING = "leaving"
    """Leaving according to the node itself or to the platform."""

    GONE = "gone"
    """Not seen for longer, or not seen recently and removed by the platform."""


class EndpointSignalKind(StrEnum):
    """Event that a node has observed at an endpoint."""

    LEAVING = "leaving"
    """The endpoint is leaving according to itself or to the platform."""

    LOST = "lost"
    """The endpoint has crashed or does not respond."""


@attrs.frozen(kw_only=True)
class PeerAddress:
    """Address at which a node listens for other nodes."""

    host: str
    """IP address."""

    port: int
    """TCP and UDP port for other nodes."""

    zone: str = ""
    """Availability zone, if it is known."""

    @classmethod
    def parse(cls, text: str, *, default_port: int) -> PeerAddress:
        """Return the address that ``host`` or ``host:port`` stands for.

        Args:
            text: IP address, with or without a port.
            default_port: Port if the text has none.

        Raises:
            ValueError: If the port is not a number.
        """
        host, _, port = text.rpartition(":")
        if not host:
            return cls(host=text, port=default_port)
        return cls(host=host, port=int(port))


@attrs.frozen(kw_only=True)
class NodeAddress:
    """Addresses of a node for callers and for other nodes."""

    host: str
    """IP address."""

    port: int
    """TCP port for callers."""

    peer_port: int
    """TCP and UDP port for other nodes."""


@attrs.frozen(kw_only=True)
class EndpointSignal:
    """Observation of an endpoint that nodes share with each other."""

    endpoint_id: str
    """Id of the endpoint."""

    kind: EndpointSignalKind
    """Observed event."""

    incarnation: str = ""
    """Incarnation of the endpoint that the signal is about, if known."""

    age_ms: int = 0
    """Time since the event was first observed, in ms."""


@attrs.frozen(kw_only=True)
class NodeState:
    """State that a node sends to the others with each heartbeat."""

    phase: NodePhase = NodePhase.STARTING
    """Phase that the node reports."""

    configuration_revision: int = 0
    """Highest configuration revision in force at the node."""

    demand: tuple[OrganisationDemand, ...] = ()
    """Demand of each active organisation at the node."""


@attrs.frozen(kw_only=True)
class NodeStatus:
    """State of one node as known to this node."""

    node_id: str
    """Id of the node."""

    zone: str
    """Availability zone of the node."""

    region: str
    """Region of the node."""

    address: NodeAddress
    """Addresses of the node."""

    incarnation: int
    """Incarnation of its process, 0 if it is not known."""

    phase: NodePhase
    """Phase that the node last reported."""

    liveness: NodeLiveness
    """Estimated liveness."""

    configuration_revision: int
    """Configuration revision that it last reported."""

    age_ms: int | None
    """Time since it was last seen in ms, or None if it never was."""

    damped: bool = False
    """Whether it counts as suspect only because of flap damping."""
