"""Datagrams between nodes: heartbeats and zone digests."""

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
    "decode_datagram",
    "encode_datagram",
]

MAX_DATAGRAM_BYTES = 1400
"""Size in bytes above which a datagram might be fragmented."""

_PURPOSE = b"crocuswick-udp"

_registry = MessageRegistry(protocol="datagram")


@_registry.message(code=1)
@attrs.frozen(kw_only=True)
class Heartbeat:
    """Periodic message of a node with its state and recent updates."""

    node_id: str
    """Node that sends it."""

    zone: str
    """Availability zone of the node."""

    incarnation: int
    """Incarnation of its process; a later process has a higher one."""

    sequence: int
    """Sequence number, which increases with each message of the process."""

    sent_ms: int
    """Wall clock of the sender, in ms since the epoch."""

    address: NodeAddress
    """Address of the node."""

    region: str = ""
    """Region of the node."""

    phase: NodePhase = NodePhase.READY
    """Phase that the node reports."""

    configuration_revision: int = 0
    """Highest configuration revision in force at the node."""

    demand: tuple[OrganisationDemand, ...] = ()
    """Demand of some organisations, in rotation from message to message."""

    crash_reports: tuple[CrashReport, ...] = ()
    """Recent crashes of endpoints."""

    endpoint_signals: tuple[EndpointSignal, ...] = ()
    """Recent signals about endpoints."""

    wants_reply: bool = False
    """Whether the sender requests digests, as it does not know the receiver yet."""


@attrs.frozen(kw_only=True)
class NodeSummary:
    """State of one node as known to the sender of a digest."""

    node_id: str
    """Id of the node."""

    incarnation: int
    """Incarnation of its process."""

    sequence: int
    """Highest sequence number received from the process."""

    age_ms: int
    """Time since the node was last seen, in ms."""

    address: NodeAddress
    """Address of the node."""

    phase: NodePhase = NodePhase.READY
    """Phase that the node last reported."""

    configuration_revision: int = 0
    """Configuration revision that it last reported."""


@_registry.message(code=2)
@attrs.frozen(kw_only=True)
class ZoneDigest:
    """Summary of a zone for nodes of other zones and for joining nodes."""

    node_id: str
    """Node that sends or forwards the digest."""

    zone: str
    """Zone that the digest describes."""

    incarnation: int
    """Incarnation of the sender's process."""

    sequence: int
    """Sequence number, which increases with each message of the sender's process."""

    sent_ms: int
    """Wall clock of the sender, in ms since the epoch."""

    age_ms: int
    """Time since the digest was created, in ms; above 0 in a forwarded digest."""

    live_nodes: int
    """Number of live nodes in the zone, possibly more than are listed."""

    region: str = ""
    """Region of the zone."""

    configuration_revision: int = 0
    """Highest configuration revision in the zone."""

    nodes: tuple[NodeSummary, ...] = ()
    """Some of the zone's nodes, from which the others can be discovered."""

    demand: tuple[OrganisationDemand, ...] = ()
    """Total demand of some organisations, in rotation from message to message."""

    crash_reports: tuple[CrashReport, ...] = ()
    """Recent crashes of endpoints."""

    endpoint_signals: tuple[EndpointSignal, ...] = ()
    """Recent signals about endpoints."""

    contacts: tuple[PeerAddress, ...] = ()
    """Addresses of nodes in the receiver's zone and in further zones."""


_TRUNCATABLE_FIELDS = ("demand", "nodes", "endpoint_signals", "crash_reports")


def encode_datagram(message: Heartbeat | ZoneDigest, *, keys: PeerKeys) -> bytes:
    """Return a signed datagram that fits into one packet.

    Args:
        message: Message to send; its lists are truncated if they do not fit.
        keys: Keys of the fleet.
    """
    body = _registry.encode(message)
    while len(body) + MAC_BYTES > MAX_DATAGRAM_BYTES and _is_truncatable(message):
        message = _truncated(message)
        body = _registry.encode(message)
    return keys.sign(body, purpose=_PURPOSE) + body


def decode_datagram(data: bytes, *, keys: PeerKeys) -> Heartbeat | ZoneDigest | None:
    """Return the message in a datagram, or None if it is not authentic and valid.

    Args:
        data: Received datagram.
        keys: Keys of the fleet.
    """
    body = data[MAC_BYTES:]
    if not keys.verifies(body, data[:MAC_BYTES], purpose=_PURPOSE):
        return None
    return _registry.decode(body, peer="datagram").unwrap_or(None)


def _is_truncatable(message: Heartbeat | ZoneDigest) -> bool:
    return any(getattr(message, name, ()) for name in _TRUNCATABLE_FIELDS)


def _truncated(message: Heartbeat | ZoneDigest) -> Heartbeat | ZoneDigest:
    sizes_by_field = {
        name: len(getattr(message, name, ())) for name in _TRUNCATABLE_FIELDS
    }
    longest = max(sizes_by_field, key=lambda name: sizes_by_field[name])
    kept = getattr(message, longest)[: sizes_by_field[longest] // 2]
    return attrs.evolve(message, **{longest: kept})
