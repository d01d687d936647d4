"""Communication with the other nodes of the fleet."""

from __future__ import annotations

from crocuswick.nodes.listed_node import ListedNode, PlatformState
from crocuswick.nodes.membership import Membership
from crocuswick.nodes.membership_listener import MembershipListener
from crocuswick.nodes.node_state import (
    EndpointSignal,
    EndpointSignalKind,
    NodeAddress,
    NodeLiveness,
    NodePhase,
    NodeState,
    NodeStatus,
    PeerAddress,
)
from crocuswick.nodes.peer_client import PeerClient
from crocuswick.nodes.peer_keys import PeerKeys, read_key_file
from crocuswick.nodes.peer_messages import (
    BlockLookupReply,
    BlockLookupRequest,
    EndpointDepth,
    NodeListReply,
    NodeListRequest,
    SnapshotReply,
    SnapshotRequest,
    TimeLineReply,
    TimeLineRequest,
    peer_registry,
)
from crocuswick.nodes.peer_server import PeerServer
from crocuswick.nodes.snapshot_cache import SnapshotCache, snapshot_sources

__all__ = [
    "BlockLookupReply",
    "BlockLookupRequest",
    "EndpointDepth",
    "EndpointSignal",
    "EndpointSignalKind",
    "ListedNode",
    "Membership",
    "MembershipListener",
    "NodeAddress",
    "NodeListReply",
    "NodeListRequest",
    "NodeLiveness",
    "NodePhase",
    "NodeState",
    "NodeStatus",
    "PeerAddress",
    "PeerClient",
    "PeerKeys",
    "PeerServer",
    "PlatformState",
    "SnapshotCache",
    "SnapshotReply",
    "SnapshotRequest",
    "TimeLineReply",
    "TimeLineRequest",
    "peer_registry",
    "read_key_file",
    "snapshot_sources",
]
