"""Table of zones with their number of nodes and the demand of their callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.demand_meter import OrganisationDemand
from crocuswick.fleet_share import FleetShare
from crocuswick.nodes.listed_node import PlatformState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crocuswick.nodes.datagrams import ZoneDigest
    from crocuswick.nodes.listed_node import ListedNode

__all__ = ["ZoneTable"]

DEMAND_LIFETIME_S = 30.0
"""Time after which a demand that was not reported again is dropped."""

ZONE_REACHABLE_S = 12.0
"""Time after its last digest for which a zone counts as reachable."""

ZONE_RETENTION_S = 7200.0
"""Time after its last digest for which a zone's nodes count as possibly serving."""

REPORTED_SIZE_LIFETIME_S = 60.0
"""Time for which a fleet size that another node has reported is used."""


@attrs.define(kw_only=True)
class _DemandReports:
    """Latest demand by organisation that one source has reported."""

    demand_by_organisation: dict[str, OrganisationDemand] = attrs.Factory(dict)
    reported_s_by_organisation: dict[str, float] = attrs.Factory(dict)

    def update(self, demand: Iterable[OrganisationDemand], *, now_s: float) -> None:
        for item in demand:
            self.demand_by_organisation[item.organisation] = item
            self.reported_s_by_organisation[item.organisation] = now_s

    def remove_expired(self, *, now_s: float) -> None:
        expired = [
            organisation
            for organisation, reported_s in self.reported_s_by_organisation.items()
            if now_s - reported_s > DEMAND_LIFETIME_S
        ]
        for organisation in expired:
            del self.demand_by_organisation[organisation]
            del self.reported_s_by_organisation[organisation]


@attrs.define(kw_only=True)
class _Zone:
    """State of a zone according to its latest digest."""

    region: str
    live_nodes: int
    reported_s: float
    configuration_revision: int = 0
    demands: _DemandReports = attrs.Factory(_DemandReports)


class ZoneTable:
    """Number of nodes and demand by zone; part of the membership table."""

    def __init__(self, *, zone: str):
        """Create an empty table.

        Args:
            zone: Local zone.
        """
        self._zone = zone
        self._zones_by_name: dict[str, _Zone] = {}
        self._demands_by_node_id: dict[str, _DemandReports] = {}
        self._platform_zones: frozenset[str] = frozenset()
        self._platform_nodes = 0
        self._reported_nodes = 0
        self._reported_nodes_s = float("-inf")

    @property
    def other_zones(self) -> tuple[str, ...]:
        """Names of all other zones known from digests or from the platform."""
        return tuple(sorted(self._platform_zones | self._zones_by_name.keys()))

    def update_node_demand(
        self, node_id: str, demand: Iterable[OrganisationDemand], *, now_s: float
    ) -> None:
        """Update the demand that a node of the local zone has reported.

        Args:
            node_id: The node.
            demand: Demand of some organisations.
            now_s: Monotonic time.
        """
        demands = self._demands_by_node_id.setdefault(node_id, _DemandReports())
        demands.update(demand, now_s=now_s)

    def update_zone(self, digest: ZoneDigest, *, reported_s: float) -> None:
        """Update another zone from its digest.

        Args:
            digest: The digest.
            reported_s: Monotonic time at which the zone sent it.
        """
        zone = self._zones_by_name.get(digest.zone)
        if zone is None:
            zone = _Zone(region=digest.region, live_nodes=0, reported_s=reported_s)
            self._zones_by_name[digest.zone] = zone
        zone.demands.update(digest.demand, now_s=reported_s)
        if reported_s >= zone.reported_s:
            zone.reported_s = reported_s
            zone.live_nodes = digest.live_nodes
            zone.configuration_revision = digest.configuration_revision

    def apply_vm_list(self, nodes: Iterable[ListedNode]) -> None:
        """Apply the platform's list of entry VMs."""
        present = [node for node in nodes if node.state is not PlatformState.GONE]
        self._platform_zones = frozenset(node.zone for node in present) - {self._zone}
        self._platform_nodes = len(present)

    def set_reported_fleet_size(self, fleet_nodes: int, *, now_s: float) -> None:
        """Store the fleet size that another node has reported.

        Args:
            fleet_nodes: Number of nodes that may be serving.
            now_s: Monotonic time.
        """
        self._reported_nodes = fleet_nodes
        self._reported_nodes_s = now_s

    def remove_node(self, node_id: str) -> None:
        """Remove the demand that a node has reported."""
        self._demands_by_node_id.pop(node_id, None)

    def local_zone_demand(self, *, now_s: float) -> dict[str, OrganisationDemand]:
        """Return the total demand at the other nodes of the local zone.

        Args:
            now_s: Monotonic time.
        """
        return self._sum(self._demands_by_node_id.values(), now_s=now_s)

    def fleet_share(
        self, *, local_zone_reachable: int, local_zone_known: int, now_s: float
    ) -> FleetShare:
        """Return the size of the fleet and the other nodes' demand.

        Args:
            local_zone_reachable: Number of reachable nodes in the local zone, including
                the local one.
            local_zone_known: Number of nodes in the local zone that may be serving,
                including the local one.
            now_s: Monotonic time.
        """
        zones = self._zones_by_name.values()
        reachable = [z for z in zones if now_s - z.reported_s < ZONE_REACHABLE_S]
        retained = [z for z in zones if now_s - z.reported_s < ZONE_RETENTION_S]
        is_report_recent = now_s - self._reported_nodes_s < REPORTED_SIZE_LIFETIME_S
        demands = [*self._demands_by_node_id.values(), *(z.demands for z in reachable)]
        return FleetShare(
            reachable_nodes=local_zone_reachable + sum(z.live_nodes for z in reachable),
            fleet_nodes=max(
                local_zone_known + sum(z.live_nodes for z in retained),
                self._platform_nodes,
                self._reported_nodes if is_report_recent else 0,
            ),
            demand_by_organisation=self._sum(demands, now_s=now_s),
        )

    @staticmethod
    def _sum(
        sources: Iterable[_DemandReports], *, now_s: float
    ) -> dict[str, OrganisationDemand]:
        sums_by_organisation: dict[str, OrganisationDemand] = {}
        for demands in sources:
            demands.remove_expired(now_s=now_s)
            for organisation, demand in demands.demand_by_organisation.items():
                known = sums_by_organisation.get(organisation)
                sums_by_organisation[organisation] = (
                    demand if known is None else known.plus(demand)
                )
        return sums_by_organisation
