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
"""Classes of all requests and replies by their code on the wire."""


@attrs.frozen(kw_only=True)
class PeerRequest:
    """Base class of requests."""


@attrs.frozen(kw_only=True)
class PeerReply:
    """Base class of replies."""


@peer_registry.message(code=1)
@attrs.frozen(kw_only=True)
class RequestFailed(PeerReply):
    """The other node could not answer a request."""

    detail: str
    """Why, for people."""


@peer_registry.message(code=2)
@attrs.frozen(kw_only=True)
class SnapshotRequest(PeerRequest):
    """Asks for all that a node needs to serve."""

    min_revision: int = 0
    """Configuration revision that the sender already has."""


@peer_registry.message(code=3)
@attrs.frozen(kw_only=True)
class SnapshotReply(PeerReply):
    """All that a node needs to serve without the platform."""

    configuration_revision: int
    """Configuration revision in force at the replying node."""

    configuration: bytes = b""
    """Encoded configuration."""

    crash_reports: tuple[CrashReport, ...] = ()
    """Crash reports in force, so that quarantine goes on."""

    fleet_nodes: int = 0
    """Nodes that may be serving, for the newcomer's part of limits."""

    index_hints: bytes = b""
    """Encoded hints of what the endpoints have cached."""


@peer_registry.message(code=4)
@attrs.frozen(kw_only=True)
class BlockLookupRequest(PeerRequest):
    """Asks the owner of some endpoints' index which of them hold blocks."""

    keys: tuple[int, ...]
    """Block keys of a prompt, first block first."""


@attrs.frozen(kw_only=True)
class EndpointDepth:
    """How much of a prompt an endpoint holds."""

    endpoint_id: str
    """Id of the endpoint."""

    depth: int
    """Number of leading blocks that it holds."""

    incarnation: str = ""
    """Incarnation of the endpoint that the index is of."""


@peer_registry.message(code=5)
@attrs.frozen(kw_only=True)
class BlockLookupReply(PeerReply):
    """The holders of a prompt's leading blocks."""

    holders: tuple[EndpointDepth, ...] = ()
    """Endpoints that hold at least the first block."""


@peer_registry.message(code=6)
@attrs.frozen(kw_only=True)
class TimeLineRequest(PeerRequest):
    """Asks for a node's recorded events."""

    since: int = 0
    """First sequence number wanted."""


@peer_registry.message(code=7)
@attrs.frozen(kw_only=True)
class TimeLineReply(PeerReply):
    """Recorded events of a node."""

    node_id: str
    """Node that recorded them."""

    events: tuple[TimeLineEvent, ...] = ()
    """The events, in the node's order."""


@peer_registry.message(code=8)
@attrs.frozen(kw_only=True)
class NodeListRequest(PeerRequest):
    """Asks for the nodes that a node knows."""


@peer_registry.message(code=9)
@attrs.frozen(kw_only=True)
class NodeListReply(PeerReply):
    """The nodes that a node knows."""

    nodes: tuple[NodeStatus, ...] = ()
    """What is believed of each node."""
