"""Builder of the heartbeats and digests that a node sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.nodes.datagrams import Heartbeat, NodeSummary, ZoneDigest
from crocuswick.nodes.node_state import (
    EndpointSignal,
    NodeAddress,
    NodeLiveness,
    NodePhase,
    NodeState,
    NodeStatus,
)
from crocuswick.quarantine import CrashReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crocuswick.demand_meter import OrganisationDemand
    from crocuswick.nodes.membership_table import MembershipTable
    from crocuswick.nodes.node_state import PeerAddress

__all__ = ["MessageBuilder", "NodeIdentity", "RecentUpdates"]

MAX_DIGEST_NODES = 6
"""Maximum number of nodes listed in the digest for another zone."""

MAX_JOIN_REPLY_NODES = 10
"""Maximum number of nodes in each digest for a joining node of the local zone."""

MAX_HEARTBEAT_DEMANDS = 6
"""Maximum number of organisations whose demand one heartbeat carries."""

MAX_ZONE_DEMANDS = 60
"""Maximum number of demand entries in the heartbeats that all nodes of a zone send in
one interval. The more nodes there are, the fewer entries each heartbeat carries, but at
least one."""

MAX_DIGEST_DEMANDS = 12
"""Maximum number of organisations whose demand a digest carries."""


@attrs.frozen(kw_only=True)
class NodeIdentity:
    """Identity and address of a node."""

    node_id: str
    """Id of the node."""

    zone: str
    """Availability zone."""

    region: str
    """Region."""

    address: NodeAddress
    """Addresses for callers and other nodes."""

    incarnation: int
    """Incarnation of the process."""


@attrs.frozen(kw_only=True)
class RecentUpdates:
    """Updates that heartbeats and digests spread through the fleet."""

    crash_reports: tuple[CrashReport, ...] = ()
    """Recent crashes of endpoints."""

    endpoint_signals: tuple[EndpointSignal, ...] = ()
    """Recent signals about endpoints."""


class MessageBuilder:
    """Builds numbered messages from the membership table of a node."""

    def __init__(self, *, identity: NodeIdentity, table: MembershipTable):
        """Create a builder.

        Args:
            identity: Identity of the local node.
            table: Membership table of the node.
        """
        self._identity = identity
        self._table = table
        self._sequence = 0
        self._rotation = 0
        self.state = NodeState()

    def advance_rotation(self) -> None:
        """Select the next organisations whose demand the messages carry."""
        self._rotation += 1

    def heartbeat(
        self,
        *,
        local_zone_nodes: int,
        updates: RecentUpdates,
        wall_ms: int,
        wants_reply: bool,
    ) -> Heartbeat:
        """Return a heartbeat.

        Args:
            local_zone_nodes: Number of receivers in the local zone.
            updates: Updates to include.
            wall_ms: Wall clock, in ms since the epoch.
            wants_reply: Whether to request digests.
        """
        count = _heartbeat_demands(zone_nodes=1 + local_zone_nodes)
        return Heartbeat(
            node_id=self._identity.node_id,
            zone=self._identity.zone,
            region=self._identity.region,
            incarnation=self._identity.incarnation,
            sequence=self._next_sequence(),
            sent_ms=wall_ms,
            address=self._identity.address,
            phase=self.state.phase,
            configuration_revision=self.state.configuration_revision,
            demand=self._rotated(self.state.demand, count=count),
            crash_reports=updates.crash_reports,
            endpoint_signals=updates.endpoint_signals,
            wants_reply=wants_reply,
        )

    def digest(
        self,
        statuses: Sequence[NodeStatus],
        *,
        contacts: Sequence[PeerAddress],
        updates: RecentUpdates,
        now_s: float,
        wall_ms: int,
    ) -> ZoneDigest:
        """Return a digest of the local zone.

        Args:
            statuses: Statuses of the other nodes.
            contacts: Addresses of other nodes to include.
            updates: Updates to include.
            now_s: Monotonic time.
            wall_ms: Wall clock, in ms since the epoch.
        """
        summaries = self._summaries(statuses)
        live = [s for s in statuses if self.is_live_in_local_zone(s)]
        demand = self._zone_demand(now_s=now_s)
        return ZoneDigest(
            node_id=self._identity.node_id,
            zone=self._identity.zone,
            region=self._identity.region,
            incarnation=self._identity.incarnation,
            sequence=self._next_sequence(),
            sent_ms=wall_ms,
            age_ms=0,
            live_nodes=1 + len(live),
            configuration_revision=max(s.configuration_revision for s in summaries),
            nodes=tuple(summaries[:MAX_DIGEST_NODES]),
            demand=self._rotated(demand, count=MAX_DIGEST_DEMANDS),
            crash_reports=updates.crash_reports,
            endpoint_signals=updates.endpoint_signals,
            contacts=tuple(contacts),
        )

    def pages(
        self, digest: ZoneDigest, statuses: Sequence[NodeStatus]
    ) -> list[ZoneDigest]:
        """Return digests that together list all nodes of the local zone.

        Args:
            digest: Digest of the local zone.
            statuses: Statuses of the other nodes.
        """
        summaries = self._summaries(statuses)
        return [
            attrs.evolve(
                digest,
                sequence=self._next_sequence(),
                nodes=tuple(summaries[start : start + MAX_JOIN_REPLY_NODES]),
                # Demand is omitted so that no node is truncated to fit the packet.
                demand=(),
            )
            for start in range(0, len(summaries), MAX_JOIN_REPLY_NODES)
        ]

    def forwarded(self, digest: ZoneDigest, *, wall_ms: int) -> ZoneDigest:
        """Return another zone's digest in the form that this node forwards.

        Args:
            digest: Digest from the other zone.
            wall_ms: Wall clock, in ms since the epoch.
        """
        return attrs.evolve(
            digest,
            node_id=self._identity.node_id,
            incarnation=self._identity.incarnation,
            sequence=self._next_sequence(),
            sent_ms=wall_ms,
            # Above 0, so that receivers do not forward the digest again.
            age_ms=1,
        )

    def is_live_in_local_zone(self, status: NodeStatus) -> bool:
        """Return whether a node is live and in the local zone."""
        is_in_local_zone = status.zone == self._identity.zone
        return is_in_local_zone and status.liveness is NodeLiveness.LIVE

    def _summaries(self, statuses: Sequence[NodeStatus]) -> list[NodeSummary]:
        local = NodeSummary(
            node_id=self._identity.node_id,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            age_ms=0,
            address=self._identity.address,
            phase=self.state.phase,
            configuration_revision=self.state.configuration_revision,
        )
        others = [
            NodeSummary(
                node_id=status.node_id,
                incarnation=status.incarnation,
                sequence=self._table.sequence(status.node_id),
                age_ms=status.age_ms or 0,
                address=status.address,
                phase=status.phase,
                configuration_revision=status.configuration_revision,
            )
            for status in statuses
            if status.zone == self._identity.zone
            and status.liveness is not NodeLiveness.GONE
        ]
        # Draining nodes go first because a digest lists only the first nodes, and the
        # other zones need to know them.
        others.sort(key=lambda node: node.phase is not NodePhase.DRAINING)
        return [local, *others]

    def _zone_demand(self, *, now_s: float) -> list[OrganisationDemand]:
        demand_by_organisation = self._table.zones.local_zone_demand(now_s=now_s)
        for demand in self.state.demand:
            others = demand_by_organisation.get(demand.organisation)
            demand_by_organisation[demand.organisation] = (
                demand if others is None else demand.plus(others)
            )
        return [
            demand_by_organisation[organisation]
            for organisation in sorted(demand_by_organisation)
        ]

    def _rotated(
        self, demand: Sequence[OrganisationDemand], *, count: int
    ) -> tuple[OrganisationDemand, ...]:
        if len(demand) <= count:
            return tuple(demand)
        start = (self._rotation * count) % len(demand)
        return tuple([*demand, *demand][start : start + count])

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


def _heartbeat_demands(*, zone_nodes: int) -> int:
    return max(1, min(MAX_HEARTBEAT_DEMANDS, MAX_ZONE_DEMANDS // zone_nodes))
