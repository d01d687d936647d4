"""Computes the share of fleet-wide limits that a node may use."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from crocuswick.demand_meter import OrganisationDemand

__all__ = ["FleetShare"]

EVEN_SHARE = 0.1
"""Fraction of a limit that is divided evenly, so that nodes without demand get a share."""


@attrs.frozen(kw_only=True)
class FleetShare:
    """Data from which a node computes its share of a fleet-wide limit.

    The reachable nodes divide ``reachable / fleet`` of a limit among themselves, so
    that the shares on all sides of a network partition add up to the limit. A node
    that reaches no other node gets ``limit / fleet nodes``.
    """

    reachable_nodes: int = 1
    """Number of nodes that are reachable according to recent heartbeats, including this
    one.
    """

    fleet_nodes: int = 1
    """Number of nodes that may be serving, reachable or not."""

    demand_by_organisation: Mapping[str, OrganisationDemand] = attrs.field(factory=dict)
    """Total demand at the other reachable nodes."""

    def requests_fraction(self, own: OrganisationDemand) -> float:
        """Return this node's share of a limit on requests or streams, from 0 to 1.

        Args:
            own: Demand of the organisation at this node.
        """
        others = self.demand_by_organisation.get(own.organisation)
        return self._share(own.requests_per_s, others.requests_per_s if others else 0.0)

    def tokens_fraction(self, own: OrganisationDemand) -> float:
        """Return this node's share of a limit on tokens, from 0 to 1.

        Args:
            own: Demand of the organisation at this node.
        """
        others = self.demand_by_organisation.get(own.organisation)
        return self._share(own.tokens_per_s, others.tokens_per_s if others else 0.0)

    def _share(self, own_demand: float, others_demand: float) -> float:
        reachable = max(1, self.reachable_nodes)
        reachable_fraction = min(1.0, reachable / max(1, self.fleet_nodes))
        total = own_demand + others_demand
        even = 1 / reachable
        by_demand = own_demand / total if total > 0 else even
        return reachable_fraction * ((1 - EVEN_SHARE) * by_demand + EVEN_SHARE * even)
