"""Requests and replies between nodes over TCP."""

from __future__ import annotations

import attrs

from crocuswick.nodes._codec import MessageRegistry
from crocuswick.nodes.node_state import NodeStatus
from crocuswick.quarantine import CrashReport
from crocuswick.time_line import TimeLineEvent

__all__ = [
    "BlockLookupReply",
    "BlockLookupRequest",
    "EndpointDepth",
    "NodeListReply",
    "NodeListRequest",
    "PeerReply",
    "PeerRequest",
    "RequestFailed",
    "SnapshotReply",
    "SnapshotRequest",
    "TimeLineReply",
    "TimeLineRequest",
    "peer_registry",
]

peer_registry = MessageRegistry(protocol="peer request")
"""Registry of all requests and replies and their codes on the wire."""


@attrs.frozen(kw_only=True)
class PeerRequest:
    """Base class of requests."""


@attrs.frozen(kw_only=True)
class PeerReply:
    """Base class of replies."""


@peer_registry.message(code=1)
@attrs.frozen(kw_only=True)
class RequestFailed(PeerReply):
    """Reply of a node that could not answer a request."""

    detail: str
    """Human-readable reason."""


@peer_registry.message(code=2)
@attrs.frozen(kw_only=True)
class SnapshotRequest(PeerRequest):
    """Request for the state that a node needs to serve."""

    known_revision: int = 0
    """Configuration revision that the sender already has."""


@peer_registry.message(code=3)
@attrs.frozen(kw_only=True)
class SnapshotReply(PeerReply):
    """State that a node needs to serve without the platform."""

    configuration_revision: int
    """Configuration revision in force at the replying node."""

    configuration: bytes = b""
    """Encoded configuration."""

    crash_reports: tuple[CrashReport, ...] = ()
    """Current crash reports, so that the receiver quarantines the same requests."""

    fleet_nodes: int = 0
    """Number of nodes that may be serving, for a joining node's share of limits."""

    index_hints: bytes = b""
    """Encoded hints about the blocks that endpoints have cached."""


@peer_registry.message(code=4)
@attrs.frozen(kw_only=True)
class BlockLookupRequest(PeerRequest):
    """Request to the owner of a cache index: which endpoints hold these blocks."""

    keys: tuple[int, ...]
    """Block keys of a prompt, first block first."""


@attrs.frozen(kw_only=True)
class EndpointDepth:
    """Length of the prompt prefix that an endpoint has cached."""

    endpoint_id: str
    """Id of the endpoint."""

    depth: int
    """Number of leading blocks that it has cached."""

    incarnation: str = ""
    """Incarnation of the endpoint for which the depth was determined."""


@peer_registry.message(code=5)
@attrs.frozen(kw_only=True)
class BlockLookupReply(PeerReply):
    """Endpoints that have a prompt's leading blocks cached."""

    holders: tuple[EndpointDepth, ...] = ()
    """Endpoints that have at least the first block."""


@peer_registry.message(code=6)
@attrs.frozen(kw_only=True)
class TimeLineRequest(PeerRequest):
    """Request for the events that a node has recorded."""

    since: int = 0
    """First sequence number to return."""


@peer_registry.message(code=7)
@attrs.frozen(kw_only=True)
class TimeLineReply(PeerReply):
    """Events that a node has recorded."""

    node_id: str
    """Node that recorded them."""

    events: tuple[TimeLineEvent, ...] = ()
    """Events in the order in which the node recorded them."""


@peer_registry.message(code=8)
@attrs.frozen(kw_only=True)
class NodeListRequest(PeerRequest):
    """Request for the nodes that a node knows."""


@peer_registry.message(code=9)
@attrs.frozen(kw_only=True)
class NodeListReply(PeerReply):
    """Nodes that a node knows."""

    nodes: tuple[NodeStatus, ...] = ()
    """Status of each node."""
