"""A node's part of limits that hold for the whole fleet."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from crocuswick.demand_meter import OrganisationDemand

__all__ = ["FleetShare"]

EVEN_SHARE = 0.1
"""Part of a limit that is shared out evenly, for nodes without demand so far."""


@attrs.frozen(kw_only=True)
class FleetShare:
    """What a node needs to know of the others to find its part.

    The reachable nodes share out ``reachable / fleet`` of a limit, so that the
    parts of all sides of a partition add up to the limit. A node that is cut off
    from all others gets ``limit / fleet nodes``.
    """

    reachable_nodes: int = 1
    """Nodes heard lately, this one included."""

    fleet_nodes: int = 1
    """Nodes that may be serving, reachable or not."""

    demand_by_organisation: Mapping[str, OrganisationDemand] = attrs.field(factory=dict)
    """Summed demand at the other reachable nodes."""

    def requests_part(self, own: OrganisationDemand) -> float:
        """Return this node's part of a limit on requests or streams, 0 to 1.

        Args:
            own: Demand of the organisation at this node.
        """
        others = self.demand_by_organisation.get(own.organisation)
        return self._part(own.requests_per_s, others.requests_per_s if others else 0.0)

    def tokens_part(self, own: OrganisationDemand) -> float:
        """Return this node's part of a limit on tokens, 0 to 1.

        Args:
            own: Demand of the organisation at this node.
        """
        others = self.demand_by_organisation.get(own.organisation)
        return self._part(own.tokens_per_s, others.tokens_per_s if others else 0.0)

    def _part(self, own_demand: float, others_demand: float) -> float:
        reachable = max(1, self.reachable_nodes)
        within_reach = min(1.0, reachable / max(1, self.fleet_nodes))
        total = own_demand + others_demand
        even = 1 / reachable
        by_demand = own_demand / total if total > 0 else even
        return within_reach * ((1 - EVEN_SHARE) * by_demand + EVEN_SHARE * even)
