"""Builds the heartbeats and digests that a node sends."""

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

__all__ = ["MessageBuilder", "NodeIdentity", "RecentNews"]

MAX_DIGEST_NODES = 6
"""Nodes listed in the digest for another zone."""

MAX_REPLY_NODES = 10
"""Nodes listed in each digest for a newcomer of the own zone."""

MAX_HEARTBEAT_DEMANDS = 6
"""Organisations whose demand a heartbeat carries in a small zone."""

ZONE_DEMANDS = 60
"""Organisations' demand carried by all heartbeats of a large zone together."""

MAX_DIGEST_DEMANDS = 12
"""Organisations whose demand a digest carries."""


@attrs.frozen(kw_only=True)
class NodeIdentity:
    """Who a node is and where it can be reached."""

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
class RecentNews:
    """News that heartbeats and digests pass on."""

    crash_reports: tuple[CrashReport, ...] = ()
    """Recent crashes of endpoints."""

    endpoint_signals: tuple[EndpointSignal, ...] = ()
    """Recent news of endpoints."""


class MessageBuilder:
    """Numbers the messages of a node and fills them from its table."""

    def __init__(self, *, identity: NodeIdentity, table: MembershipTable):
        """Create a builder.

        Args:
            identity: Own node.
            table: What is known of the other nodes.
        """
        self._identity = identity
        self._table = table
        self._sequence = 0
        self._turn_number = 0
        self.state = NodeState()

    def next_turn(self) -> None:
        """Let the next organisations have their turn."""
        self._turn_number += 1

    def heartbeat(
        self, *, near_nodes: int, news: RecentNews, wall_ms: int, wants_reply: bool
    ) -> Heartbeat:
        """Return a heartbeat.

        Args:
            near_nodes: Nodes of the own zone that get it.
            news: News to pass on.
            wall_ms: Wall clock, in ms since the epoch.
            wants_reply: Whether to ask for digests.
        """
        count = _heartbeat_demands(zone_nodes=1 + near_nodes)
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
            demand=self._turn(self.state.demand, count=count),
            crash_reports=news.crash_reports,
            endpoint_signals=news.endpoint_signals,
            wants_reply=wants_reply,
        )

    def digest(
        self,
        statuses: Sequence[NodeStatus],
        *,
        contacts: Sequence[PeerAddress],
        news: RecentNews,
        now_s: float,
        wall_ms: int,
    ) -> ZoneDigest:
        """Return a digest of the own zone.

        Args:
            statuses: What is believed of the other nodes.
            contacts: Addresses in further zones to pass on.
            news: News to pass on.
            now_s: Monotonic time.
            wall_ms: Wall clock, in ms since the epoch.
        """
        summaries = self._summaries(statuses)
        live = [s for s in statuses if self.is_near_and_live(s)]
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
            demand=self._turn(demand, count=MAX_DIGEST_DEMANDS),
            crash_reports=news.crash_reports,
            endpoint_signals=news.endpoint_signals,
            contacts=tuple(contacts),
        )

    def pages(
        self, digest: ZoneDigest, statuses: Sequence[NodeStatus]
    ) -> list[ZoneDigest]:
        """Return digests that together list all nodes of the own zone.

        Args:
            digest: Digest of the own zone.
            statuses: What is believed of the other nodes.
        """
        summaries = self._summaries(statuses)
        return [
            attrs.evolve(
                digest,
                sequence=self._next_sequence(),
                nodes=tuple(summaries[start : start + MAX_REPLY_NODES]),
                # Nothing else, so that no node is cut to fit the packet.
                demand=(),
            )
            for start in range(0, len(summaries), MAX_REPLY_NODES)
        ]

    def relayed(self, digest: ZoneDigest, *, wall_ms: int) -> ZoneDigest:
        """Return another zone's digest as this node passes it on.

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
            age_ms=1,
        )

    def is_near_and_live(self, status: NodeStatus) -> bool:
        """Return whether a node is a live one of the own zone."""
        is_near = status.zone == self._identity.zone
        return is_near and status.liveness is NodeLiveness.LIVE

    def _summaries(self, statuses: Sequence[NodeStatus]) -> list[NodeSummary]:
        own = NodeSummary(
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
        # Leaving nodes first: that is what the other zone must not miss.
        others.sort(key=lambda node: node.phase is not NodePhase.DRAINING)
        return [own, *others]

    def _zone_demand(self, *, now_s: float) -> list[OrganisationDemand]:
        demand_by_organisation = self._table.zones.own_zone_demand(now_s=now_s)
        for demand in self.state.demand:
            others = demand_by_organisation.get(demand.organisation)
            demand_by_organisation[demand.organisation] = (
                demand if others is None else demand.plus(others)
            )
        return [
            demand_by_organisation[organisation]
            for organisation in sorted(demand_by_organisation)
        ]

    def _turn(
        self, demand: Sequence[OrganisationDemand], *, count: int
    ) -> tuple[OrganisationDemand, ...]:
        if len(demand) <= count:
            return tuple(demand)
        start = (self._turn_number * count) % len(demand)
        return tuple([*demand, *demand][start : start + count])

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


def _heartbeat_demands(*, zone_nodes: int) -> int:
    return max(1, min(MAX_HEARTBEAT_DEMANDS, ZONE_DEMANDS // zone_nodes))
