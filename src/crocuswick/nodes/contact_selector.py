"""Selection of the addresses to which a node sends heartbeats and digests."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from crocuswick.nodes.listed_node import PlatformState
from crocuswick.nodes.node_state import NodeLiveness, PeerAddress
from crocuswick.rendezvous import Rendezvous, stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from crocuswick.nodes.listed_node import ListedNode
    from crocuswick.nodes.node_state import NodeStatus

__all__ = ["ContactSelector", "digest_senders"]

DIGEST_SENDERS = 2
"""Number of nodes of a zone that send its digest to another zone."""

DIGEST_RECEIVERS = 2
"""Number of nodes in the other zone that receive it, each from a different sender."""

PROBES_PER_INTERVAL = 4
"""Maximum number of unconfirmed addresses probed in one interval. An address is
unconfirmed until a node has been seen there."""

STARTUP_INTERVALS = 3
"""Number of intervals after the start during which `MAX_STARTUP_PROBES` applies."""

MAX_STARTUP_PROBES = 64
"""Maximum number of unconfirmed addresses probed in one start-up interval."""

MAX_ZONE_CONTACTS = 4
"""Maximum number of addresses in the receiver's zone that a digest carries."""

MAX_FURTHER_CONTACTS = 3
"""Maximum number of addresses in further zones that a digest carries."""

MAX_DISCOVERED = 64
"""Maximum number of addresses from digests that are kept."""

_LIVENESS_ORDER = (
    NodeLiveness.LIVE,
    NodeLiveness.LEAVING,
    NodeLiveness.SUSPECT,
    NodeLiveness.GONE,
)


def digest_senders(node_ids: Iterable[str], *, zone: str, other_zone: str) -> list[str]:
    """Return the nodes of a zone that send its digest to another zone.

    Args:
        node_ids: Live nodes of the zone.
        zone: The zone.
        other_zone: The other zone.
    """
    key = stable_hash(f"{zone}>{other_zone}")
    return Rendezvous(members=node_ids).choose_many(key, count=DIGEST_SENDERS)


class ContactSelector:
    """Known addresses and the round-robin selection of those to contact."""

    def __init__(self, *, local: PeerAddress, seeds: Sequence[PeerAddress]):
        """Create a selector.

        Args:
            local: Address and zone of the local node.
            seeds: Seed addresses from the settings.
        """
        self._local = local
        self._seeds = tuple(seeds)
        self._listed: tuple[PeerAddress, ...] = ()
        self._discovered: deque[PeerAddress] = deque(maxlen=MAX_DISCOVERED)
        self._interval = 0

    def apply_vm_list(self, nodes: Iterable[ListedNode]) -> None:
        """Replace the listed addresses by those in the platform's list.

        Args:
            nodes: Entry VMs in the list, without the local node.
        """
        self._listed = tuple(
            PeerAddress(
                host=node.host, port=node.peer_port or self._local.port, zone=node.zone
            )
            for node in nodes
            if node.host and node.state is not PlatformState.GONE
        )

    def add_contacts(self, contacts: Iterable[PeerAddress]) -> None:
        """Add addresses from a digest.

        Args:
            contacts: Addresses with their zones.
        """
        for contact in contacts:
            if contact not in self._discovered:
                self._discovered.append(contact)

    def contacts(
        self, statuses: Sequence[NodeStatus], *, zone: str
    ) -> list[PeerAddress]:
        """Return the addresses to include in a digest.

        Args:
            statuses: Statuses of all other nodes.
            zone: Zone of the receiver, whose nodes matter most to it; up to
                `MAX_ZONE_CONTACTS` of the addresses are in this zone.
        """
        live = [s for s in statuses if s.liveness is NodeLiveness.LIVE]
        in_zone = [status for status in live if status.zone == zone]
        statuses_by_zone = {
            status.zone: status
            for status in live
            if status.zone not in (zone, self._local.zone)
        }
        in_other_zones = list(statuses_by_zone.values())
        chosen = self._round_robin(in_zone, count=MAX_ZONE_CONTACTS)
        chosen += self._round_robin(in_other_zones, count=MAX_FURTHER_CONTACTS)
        return [_address(status) for status in chosen]

    def next_interval(self) -> None:
        """Advance to the next interval."""
        self._interval += 1

    def local_zone_receivers(self, statuses: Sequence[NodeStatus]) -> list[PeerAddress]:
        """Return the addresses in the local zone that receive the next heartbeat.

        Args:
            statuses: Statuses of all other nodes.
        """
        local_zone = [status for status in statuses if status.zone == self._local.zone]
        gone = [s for s in local_zone if s.liveness is NodeLiveness.GONE]
        not_gone = [s for s in local_zone if s.liveness is not NodeLiveness.GONE]
        # One gone node per interval is included, to detect a healed partition.
        return [_address(s) for s in not_gone + self._round_robin(gone, count=1)]

    def probe_targets(self, statuses: Sequence[NodeStatus]) -> list[PeerAddress]:
        """Return some of the addresses at which no node has been seen yet.

        Addresses in another zone are left out while a live or leaving node of that
        zone is known.

        Args:
            statuses: Statuses of all other nodes.
        """
        seen = {(s.address.host, s.address.peer_port) for s in statuses}
        seen.add((self._local.host, self._local.port))
        live_zones = {
            s.zone
            for s in statuses
            if s.liveness in (NodeLiveness.LIVE, NodeLiveness.LEAVING)
        }
        known = (*self._seeds, *self._listed, *self._discovered)
        targets = [
            address
            for address in dict.fromkeys(known)
            if (address.host, address.port) not in seen
            and self._should_probe(address, live_zones)
        ]
        count = (
            MAX_STARTUP_PROBES
            if self._interval <= STARTUP_INTERVALS
            else PROBES_PER_INTERVAL
        )
        return self._round_robin(targets, count=count)

    def digest_receivers(
        self, statuses: Sequence[NodeStatus], *, zone: str
    ) -> list[PeerAddress]:
        """Return the addresses in another zone that receive this zone's digest.

        Live nodes are preferred, then leaving, suspect and gone ones. If no node of the
        zone is known, addresses from the platform's list are used.

        Args:
            statuses: Statuses of all other nodes.
            zone: The other zone.
        """
        in_zone = [status for status in statuses if status.zone == zone]
        for liveness in _LIVENESS_ORDER:
            ids = [s.node_id for s in in_zone if s.liveness is liveness]
            if ids:
                break
        else:
            return [address for address in self._listed if address.zone == zone][
                :DIGEST_RECEIVERS
            ]
        chosen = self._choose_receivers(ids, zone=zone, liveness=liveness)
        return [_address(status) for status in in_zone if status.node_id in chosen]

    def _choose_receivers(
        self, ids: list[str], *, zone: str, liveness: NodeLiveness
    ) -> list[str]:
        if liveness is NodeLiveness.LIVE:
            key = stable_hash(f"{self._local.zone}>{zone}")
            return Rendezvous(members=ids).choose_many(key, count=DIGEST_RECEIVERS)
        return self._round_robin(ids, count=DIGEST_RECEIVERS)

    def _should_probe(self, address: PeerAddress, live_zones: set[str]) -> bool:
        if address.zone in ("", self._local.zone):
            return True
        # Digests already reach a zone of which a live or leaving node is known.
        return address.zone not in live_zones

    def _round_robin(self, items: list, *, count: int) -> list:
        if len(items) <= count:
            return items
        start = (self._interval * count) % len(items)
        return (items + items)[start : start + count]


def _address(status: NodeStatus) -> PeerAddress:
    return PeerAddress(
        host=status.address.host, port=status.address.peer_port, zone=status.zone
    )
