"""Datagrams that nodes send each other: heartbeats and zone digests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.demand_meter import OrganisationDemand
from crocuswick.nodes._codec import MessageRegistry
from crocuswick.nodes.node_state import (
    EndpointSignal,
    NodeAddress,
    NodePhase,
    PeerAddress,
)
from crocuswick.nodes.peer_keys import MAC_BYTES
from crocuswick.quarantine import CrashReport

if TYPE_CHECKING:
    from crocuswick.nodes.peer_keys import PeerKeys

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "Heartbeat",
    "NodeSummary",
    "ZoneDigest",
    "open_datagram",
    "seal_datagram",
]

MAX_DATAGRAM_BYTES = 1400
"""Size above which a datagram might be fragmented."""

_PURPOSE = b"crocuswick-udp"

_registry = MessageRegistry(protocol="datagram")


@_registry.message(code=1)
@attrs.frozen(kw_only=True)
class Heartbeat:
    """Sign of life of a node, with its news."""

    node_id: str
    """Node that sends it."""

    zone: str
    """Availability zone of the node."""

    incarnation: int
    """Incarnation of its process; a later process has a higher one."""

    sequence: int
    """Number of the datagram among those of the process."""

    sent_ms: int
    """Wall clock of the sender, in ms since the epoch."""

    address: NodeAddress
    """Where the node can be reached."""

    region: str = ""
    """Region of the node."""

    phase: NodePhase = NodePhase.READY
    """What the node says of itself."""

    configuration_revision: int = 0
    """Highest configuration revision in force at the node."""

    demand: tuple[OrganisationDemand, ...] = ()
    """Demand of some of the organisations; each gets its turn."""

    crash_reports: tuple[CrashReport, ...] = ()
    """Recent crashes of endpoints."""

    endpoint_signals: tuple[EndpointSignal, ...] = ()
    """Recent news of endpoints."""

    wants_reply: bool = False
    """Whether the sender asks for a zone digest, because it has just started."""


@attrs.frozen(kw_only=True)
class NodeSummary:
    """What the sender of a digest knows of one node."""

    node_id: str
    """Id of the node."""

    incarnation: int
    """Incarnation of its process."""

    sequence: int
    """Highest sequence number heard from the process."""

    age_ms: int
    """Time since that was heard, in ms."""

    address: NodeAddress
    """Where the node can be reached."""

    phase: NodePhase = NodePhase.READY
    """What the node last said of itself."""

    configuration_revision: int = 0
    """Configuration revision that it last told."""


@_registry.message(code=2)
@attrs.frozen(kw_only=True)
class ZoneDigest:
    """Summary of a zone for nodes of other zones and for newcomers."""

    node_id: str
    """Node that sends or passes on the digest."""

    zone: str
    """Zone that the digest describes."""

    incarnation: int
    """Incarnation of the sender's process."""

    sequence: int
    """Number of the datagram among those of the sender's process."""

    sent_ms: int
    """Wall clock of the sender, in ms since the epoch."""

    age_ms: int
    """Time since the zone told this, in ms; more than 0 in a passed-on digest."""

    live_nodes: int
    """Live nodes in the zone, possibly more than are listed."""

    region: str = ""
    """Region of the zone."""

    configuration_revision: int = 0
    """Highest configuration revision in the zone."""

    nodes: tuple[NodeSummary, ...] = ()
    """Some of the zone's nodes, through which the others can be asked for."""

    demand: tuple[OrganisationDemand, ...] = ()
    """Summed demand of some of the organisations; each gets its turn."""

    crash_reports: tuple[CrashReport, ...] = ()
    """Recent crashes of endpoints."""

    endpoint_signals: tuple[EndpointSignal, ...] = ()
    """Recent news of endpoints."""

    contacts: tuple[PeerAddress, ...] = ()
    """Addresses of nodes in further zones."""


_BOUNDED_FIELDS = ("demand", "nodes", "endpoint_signals", "crash_reports")


def seal_datagram(message: Heartbeat | ZoneDigest, *, keys: PeerKeys) -> bytes:
    """Return a signed datagram that fits into one packet.

    Args:
        message: What to send; its lists are cut when they would not fit.
        keys: Keys of the fleet.
    """
    body = _registry.encode(message)
    while len(body) + MAC_BYTES > MAX_DATAGRAM_BYTES and _is_cuttable(message):
        message = _cut(message)
        body = _registry.encode(message)
    return keys.sign(body, purpose=_PURPOSE) + body


def open_datagram(data: bytes, *, keys: PeerKeys) -> Heartbeat | ZoneDigest | None:
    """Return the message in a datagram, or None if it is not one of the fleet's.

    Args:
        data: Received datagram.
        keys: Keys of the fleet.
    """
    body = data[MAC_BYTES:]
    if not keys.verifies(body, data[:MAC_BYTES], purpose=_PURPOSE):
        return None
    return _registry.decode(body, peer="datagram").unwrap_or(None)


def _is_cuttable(message: Heartbeat | ZoneDigest) -> bool:
    return any(getattr(message, name, ()) for name in _BOUNDED_FIELDS)


def _cut(message: Heartbeat | ZoneDigest) -> Heartbeat | ZoneDigest:
    sizes_by_field = {name: len(getattr(message, name, ())) for name in _BOUNDED_FIELDS}
    longest = max(sizes_by_field, key=lambda name: sizes_by_field[name])
    kept = getattr(message, longest)[: sizes_by_field[longest] // 2]
    return attrs.evolve(message, **{longest: kept})
