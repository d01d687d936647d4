"""Data that nodes tell each other about themselves and about endpoints."""

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
    """What a node says of itself."""

    STARTING = "starting"
    """It has no configuration yet."""

    READY = "ready"
    """It takes requests."""

    DRAINING = "draining"
    """It finishes what is in flight and takes nothing new."""


class NodeLiveness(StrEnum):
    """What is believed of a node."""

    LIVE = "live"
    """Heard lately, or not yet missed for long."""

    SUSPECT = "suspect"
    """Missed, never heard, or flapping."""

    LEAVING = "leaving"
    """Said to be leaving by itself or by the platform."""

    GONE = "gone"
    """Not heard for long."""


class EndpointSignalKind(StrEnum):
    """What a node has noticed at an endpoint."""

    LEAVING = "leaving"
    """The endpoint or the platform says that it is leaving."""

    LOST = "lost"
    """The endpoint has crashed or does not answer."""


@attrs.frozen(kw_only=True)
class PeerAddress:
    """Where a node listens for other nodes."""

    host: str
    """IP number."""

    port: int
    """TCP and UDP port for other nodes."""

    zone: str = ""
    """Availability zone, if it is known."""

    @classmethod
    def parse(cls, text: str, *, default_port: int) -> PeerAddress:
        """Return the address that ``host`` or ``host:port`` stands for.

        Args:
            text: IP number, with or without a port.
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
    """Where a node can be reached."""

    host: str
    """IP number."""

    port: int
    """TCP port for callers."""

    peer_port: int
    """TCP and UDP port for other nodes."""


@attrs.frozen(kw_only=True)
class EndpointSignal:
    """News of an endpoint."""

    endpoint_id: str
    """Id of the endpoint."""

    kind: EndpointSignalKind
    """What was noticed."""

    incarnation: str = ""
    """Incarnation of the endpoint that the news is about, if known."""

    age_ms: int = 0
    """Time since it was first noticed, in ms."""


@attrs.frozen(kw_only=True)
class NodeState:
    """State that a node tells the others with each heartbeat."""

    phase: NodePhase = NodePhase.STARTING
    """What the node says of itself."""

    configuration_revision: int = 0
    """Highest configuration revision in force at the node."""

    demand: tuple[OrganisationDemand, ...] = ()
    """Demand of each active organisation at the node."""


@attrs.frozen(kw_only=True)
class NodeStatus:
    """What this node believes of one node."""

    node_id: str
    """Id of the node."""

    zone: str
    """Availability zone of the node."""

    region: str
    """Region of the node."""

    address: NodeAddress
    """Where the node can be reached."""

    incarnation: int
    """Incarnation of its process, 0 if it was never heard."""

    phase: NodePhase
    """What the node last said of itself."""

    liveness: NodeLiveness
    """What is believed of it."""

    configuration_revision: int
    """Configuration revision that it last told."""

    age_ms: int | None
    """Time since its last sign of life, in ms, or None if it was never heard."""

    damped: bool = False
    """Whether it counts as suspect only because it has been flapping."""
