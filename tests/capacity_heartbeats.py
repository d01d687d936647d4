"""Measures the cost of membership for a node, on encoded datagrams in memory.

The system calls that send and receive datagrams are not included. Run with
``python -m tests.capacity_heartbeats``.
"""

from __future__ import annotations

import gc
import time
import tracemalloc

import attrs

from crocuswick.demand_meter import OrganisationDemand
from crocuswick.nodes import NodePhase, NodeState
from tests.nodes.fleet import Fleet

NODES_PER_ZONE = (7, 26, 60)
ZONES = 2
FULL_SIZE_ZONES = 14
"""Number of zones in the full-size fleet."""

WARM_UP_INTERVALS = 4
"""Heartbeat intervals before the measurement."""

MEASURED_INTERVALS = 5
"""Heartbeat intervals of the measurement, of one second each."""

STATE_INTERVALS = 30
"""Heartbeat intervals after which each node has sent all organisations' demand."""

ACTIVE_ORGANISATIONS = 45
UDP_HEADER_BYTES = 28
"""Size of the IPv4 and UDP headers of a datagram."""


@attrs.frozen(kw_only=True)
class HeartbeatCost:
    """Cost of membership per node, averaged over a fleet."""

    nodes_a_zone: int
    """Nodes in each zone."""

    zones: int
    """Zones of the fleet."""

    datagrams_per_s: float
    """Datagrams sent per second by a node; it receives as many."""

    bytes_per_datagram: float
    """Mean size of a datagram without its IP and UDP headers."""

    sent_bytes_per_s: float
    """Bytes sent per second by a node, including headers."""

    received_bytes_per_s: float
    """Bytes received per second by a node, including headers."""

    us_per_datagram: float
    """CPU time in µs to send and receive one datagram."""

    core_percent: float
    """Share of a core that a node uses, in percent."""


@attrs.frozen(kw_only=True)
class HeartbeatCapacity:
    """Costs at several fleet sizes."""

    costs: tuple[HeartbeatCost, ...]
    """One entry per size."""


@attrs.frozen(kw_only=True)
class MembershipState:
    """Memory that membership uses on one node."""

    own_zone_bytes: float
    """Bytes for the node's own zone of 26 nodes."""

    bytes_per_other_zone: float
    """Bytes for each further zone."""

    full_size_bytes: float
    """Bytes in a fleet of 14 zones, extrapolated from one and two zones."""


def measure_state() -> MembershipState:
    """Measure the memory per node with one zone and with two."""
    one, two = (_state_bytes(zones=zones) for zones in (1, 2))
    per_zone = two - one
    return MembershipState(
        own_zone_bytes=one,
        bytes_per_other_zone=per_zone,
        full_size_bytes=one + per_zone * (FULL_SIZE_ZONES - 1),
    )


def _state_bytes(*, zones: int) -> float:
    # Codecs are generated at their first use and must not count as node memory.
    Fleet(zones=["a"], nodes=2).run(2)
    tracemalloc.start()
    fleet = _busy_fleet(nodes_a_zone=26, zones=zones)
    fleet.run(STATE_INTERVALS)
    gc.collect()
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return traced_bytes / len(fleet.nodes)


def measure(*, zones: int = ZONES) -> HeartbeatCapacity:
    """Measure the cost at all fleet sizes.

    Args:
        zones: Number of zones of the fleet.
    """
    return HeartbeatCapacity(
        costs=tuple(
            _measure_size(nodes_a_zone=nodes, zones=zones) for nodes in NODES_PER_ZONE
        )
    )


def measure_full_size() -> HeartbeatCost:
    """Measure the cost in a fleet of 14 zones with 26 nodes each."""
    return _measure_size(nodes_a_zone=26, zones=FULL_SIZE_ZONES)


def _measure_size(*, nodes_a_zone: int, zones: int) -> HeartbeatCost:
    fleet = _busy_fleet(nodes_a_zone=nodes_a_zone, zones=zones)
    fleet.run(WARM_UP_INTERVALS)
    before = _totals(fleet)
    # A daemon holds one membership table. Here, garbage collection would traverse
    # those of the whole fleet and inflate the measured cost of a datagram.
    gc.disable()
    started_s = time.process_time()
    fleet.run(MEASURED_INTERVALS)
    spent_s = time.process_time() - started_s
    gc.enable()
    datagrams, sent, received = (
        after - start for after, start in zip(_totals(fleet), before, strict=True)
    )
    node_seconds = len(fleet.nodes) * MEASURED_INTERVALS
    headers = datagrams * UDP_HEADER_BYTES
    return HeartbeatCost(
        nodes_a_zone=nodes_a_zone,
        zones=zones,
        datagrams_per_s=datagrams / node_seconds,
        bytes_per_datagram=sent / datagrams,
        sent_bytes_per_s=(sent + headers) / node_seconds,
        received_bytes_per_s=(received + headers) / node_seconds,
        us_per_datagram=spent_s / datagrams * 1e6,
        core_percent=spent_s / node_seconds * 100,
    )


def _busy_fleet(*, nodes_a_zone: int, zones: int) -> Fleet:
    names = [f"region-1-zone-{number:02d}" for number in range(zones)]
    fleet = Fleet(zones=names, nodes=nodes_a_zone * zones, seeds=zones)
    for node in fleet.nodes:
        node.state = _busy_state()
    return fleet


def _busy_state() -> NodeState:
    demand = tuple(
        OrganisationDemand(
            organisation=f"organisation-{number:03d}",
            requests_per_s=0.1,
            tokens_per_s=47.5,
        )
        for number in range(ACTIVE_ORGANISATIONS)
    )
    return NodeState(phase=NodePhase.READY, configuration_revision=7, demand=demand)


def _totals(fleet: Fleet) -> tuple[int, int, int]:
    counters = [node.protocol.counters for node in fleet.nodes]
    return (
        sum(item.sent for item in counters),
        sum(item.sent_bytes for item in counters),
        sum(item.received_bytes for item in counters),
    )


def main() -> None:
    """Print the costs and the memory."""
    for cost in (*measure().costs, measure_full_size()):
        print(attrs.asdict(cost))
    print(attrs.asdict(measure_state()))


if __name__ == "__main__":
    main()
