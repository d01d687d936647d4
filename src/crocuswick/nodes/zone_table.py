"""Table of zones: their sizes and the demand of their callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.demand_meter import OrganisationDemand
from crocuswick.fleet_share import FleetShare
from crocuswick.nodes.platform_node import PlatformState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crocuswick.nodes.datagrams import ZoneDigest
    from crocuswick.nodes.platform_node import PlatformNode

__all__ = ["ZoneTable"]

DEMAND_LIFETIME_S = 30.0
"""Time after which a demand that was not told again counts as none."""

ZONE_REACHABLE_S = 12.0
"""Time since its last digest for which a zone counts as reachable."""

ZONE_REMEMBERED_S = 7200.0
"""Time since its last digest for which a zone's nodes may still be serving."""

TOLD_SIZE_LIFETIME_S = 60.0
"""Time for which the size of the fleet that another node has told is used."""


@attrs.define(kw_only=True)
class _Demands:
    """Demand told by one source, organisation by organisation."""

    demand_by_organisation: dict[str, OrganisationDemand] = attrs.Factory(dict)
    told_s_by_organisation: dict[str, float] = attrs.Factory(dict)

    def take(self, demand: Iterable[OrganisationDemand], *, now_s: float) -> None:
        for item in demand:
            self.demand_by_organisation[item.organisation] = item
            self.told_s_by_organisation[item.organisation] = now_s

    def drop_old(self, *, now_s: float) -> None:
        old = [
            organisation
            for organisation, told_s in self.told_s_by_organisation.items()
            if now_s - told_s > DEMAND_LIFETIME_S
        ]
        for organisation in old:
            del self.demand_by_organisation[organisation]
            del self.told_s_by_organisation[organisation]


@attrs.define(kw_only=True)
class _Zone:
    """What a zone's latest digest says."""

    region: str
    live_nodes: int
    told_s: float
    configuration_revision: int = 0
    demands: _Demands = attrs.Factory(_Demands)


class ZoneTable:
    """Sizes and demand by zone; part of the membership table."""

    def __init__(self, *, zone: str):
        """Create an empty table.

        Args:
            zone: Own zone.
        """
        self._zone = zone
        self._zones_by_name: dict[str, _Zone] = {}
        self._demands_by_node_id: dict[str, _Demands] = {}
        self._platform_zones: frozenset[str] = frozenset()
        self._platform_nodes = 0
        self._told_nodes = 0
        self._told_nodes_s = float("-inf")

    @property
    def other_zones(self) -> tuple[str, ...]:
        """Names of all other zones known from digests or from the platform."""
        return tuple(sorted(self._platform_zones | self._zones_by_name.keys()))

    def hear_node(
        self, node_id: str, demand: Iterable[OrganisationDemand], *, now_s: float
    ) -> None:
        """Take in the demand that a node of the own zone tells.

        Args:
            node_id: The node.
            demand: Demand of some organisations.
            now_s: Monotonic time.
        """
        demands = self._demands_by_node_id.setdefault(node_id, _Demands())
        demands.take(demand, now_s=now_s)

    def hear_zone(self, digest: ZoneDigest, *, told_s: float) -> None:
        """Take in the digest of another zone.

        Args:
            digest: The digest.
            told_s: Monotonic time at which the zone told it.
        """
        zone = self._zones_by_name.get(digest.zone)
        if zone is None:
            zone = _Zone(region=digest.region, live_nodes=0, told_s=told_s)
            self._zones_by_name[digest.zone] = zone
        zone.demands.take(digest.demand, now_s=told_s)
        if told_s >= zone.told_s:
            zone.told_s = told_s
            zone.live_nodes = digest.live_nodes
            zone.configuration_revision = digest.configuration_revision

    def hear_platform(self, nodes: Iterable[PlatformNode]) -> None:
        """Take in the platform's list of entry VMs."""
        present = [node for node in nodes if node.state is not PlatformState.GONE]
        self._platform_zones = frozenset(node.zone for node in present) - {self._zone}
        self._platform_nodes = len(present)

    def hear_fleet_size(self, fleet_nodes: int, *, now_s: float) -> None:
        """Take in how many nodes another node knows.

        Args:
            fleet_nodes: Nodes that may be serving.
            now_s: Monotonic time.
        """
        self._told_nodes = fleet_nodes
        self._told_nodes_s = now_s

    def forget_node(self, node_id: str) -> None:
        """Drop the demand that a node told."""
        self._demands_by_node_id.pop(node_id, None)

    def own_zone_demand(self, *, now_s: float) -> dict[str, OrganisationDemand]:
        """Return the summed demand at the other nodes of the own zone.

        Args:
            now_s: Monotonic time.
        """
        return self._sum(self._demands_by_node_id.values(), now_s=now_s)

    def fleet_share(
        self, *, near_reachable: int, near_known: int, now_s: float
    ) -> FleetShare:
        """Return the size of the fleet and the other nodes' demand.

        Args:
            near_reachable: Nodes of the own zone heard lately, with the own one.
            near_known: Nodes of the own zone that may be serving.
            now_s: Monotonic time.
        """
        zones = self._zones_by_name.values()
        reachable = [z for z in zones if now_s - z.told_s < ZONE_REACHABLE_S]
        remembered = [z for z in zones if now_s - z.told_s < ZONE_REMEMBERED_S]
        told_lately = now_s - self._told_nodes_s < TOLD_SIZE_LIFETIME_S
        demands = [*self._demands_by_node_id.values(), *(z.demands for z in reachable)]
        return FleetShare(
            reachable_nodes=near_reachable + sum(z.live_nodes for z in reachable),
            fleet_nodes=max(
                near_known + sum(z.live_nodes for z in remembered),
                self._platform_nodes,
                self._told_nodes if told_lately else 0,
            ),
            demand_by_organisation=self._sum(demands, now_s=now_s),
        )

    @staticmethod
    def _sum(
        sources: Iterable[_Demands], *, now_s: float
    ) -> dict[str, OrganisationDemand]:
        sums_by_organisation: dict[str, OrganisationDemand] = {}
        for demands in sources:
            demands.drop_old(now_s=now_s)
            for organisation, demand in demands.demand_by_organisation.items():
                known = sums_by_organisation.get(organisation)
                sums_by_organisation[organisation] = (
                    demand if known is None else known.plus(demand)
                )
        return sums_by_organisation
