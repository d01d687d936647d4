"""Exchange with the other nodes of the fleet."""

from __future__ import annotations

from crocuswick.nodes.membership import Membership
from crocuswick.nodes.membership_listener import MembershipListener
from crocuswick.nodes.membership_table import PlatformNode, PlatformState
from crocuswick.nodes.node_state import (
    EndpointSignal,
    EndpointSignalKind,
    FleetDemand,
    NodeAddress,
    NodeLiveness,
    NodePhase,
    NodeState,
    NodeStatus,
    OrganisationDemand,
    PeerAddress,
)
from crocuswick.nodes.peer_keys import PeerKeys, read_key_file

__all__ = [
    "EndpointSignal",
    "EndpointSignalKind",
    "FleetDemand",
    "Membership",
    "MembershipListener",
    "NodeAddress",
    "NodeLiveness",
    "NodePhase",
    "NodeState",
    "NodeStatus",
    "OrganisationDemand",
    "PeerAddress",
    "PeerKeys",
    "PlatformNode",
    "PlatformState",
    "read_key_file",
]
