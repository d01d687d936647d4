"""Choice of the addresses that a node sends heartbeats and digests to."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from crocuswick.nodes.node_state import NodeLiveness, PeerAddress
from crocuswick.nodes.platform_node import PlatformState
from crocuswick.rendezvous import Rendezvous, stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from crocuswick.nodes.node_state import NodeStatus
    from crocuswick.nodes.platform_node import PlatformNode

__all__ = ["ContactPlan", "digest_senders"]

DIGEST_SENDERS = 2
"""Nodes of a zone that send its digest to another zone."""

DIGEST_RECEIVERS = 2
"""Nodes of the other zone that get it, each from another sender."""

SEEDS_PER_INTERVAL = 4
"""Unanswered addresses that are tried in one interval."""

FIRST_INTERVALS = 3
"""Intervals after the start in which all unanswered addresses are tried."""

MAX_FIRST_SEEDS = 64
"""Unanswered addresses that are tried in one interval after the start."""

MAX_ZONE_CONTACTS = 4
"""Addresses in the receiver's zone that a digest passes on."""

MAX_FURTHER_CONTACTS = 3
"""Addresses in further zones that a digest passes on."""

MAX_LEARNED = 64
"""Addresses from digests that are remembered."""

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


class ContactPlan:
    """Keeps the addresses to try and takes turns among them."""

    def __init__(self, *, own: PeerAddress, seeds: Sequence[PeerAddress]):
        """Create a plan.

        Args:
            own: Own address and zone.
            seeds: Addresses from the settings.
        """
        self._own = own
        self._seeds = tuple(seeds)
        self._listed: tuple[PeerAddress, ...] = ()
        self._learned: deque[PeerAddress] = deque(maxlen=MAX_LEARNED)
        self._interval = 0

    def hear_platform(self, nodes: Iterable[PlatformNode]) -> None:
        """Take the addresses from the platform's list.

        Args:
            nodes: Entry VMs in the list.
        """
        self._listed = tuple(
            PeerAddress(
                host=node.host, port=node.peer_port or self._own.port, zone=node.zone
            )
            for node in nodes
            if node.host and node.state is not PlatformState.GONE
        )

    def learn(self, contacts: Iterable[PeerAddress]) -> None:
        """Take addresses that a digest passes on.

        Args:
            contacts: Addresses with their zones.
        """
        for contact in contacts:
            if contact not in self._learned:
                self._learned.append(contact)

    def contacts(
        self, statuses: Sequence[NodeStatus], *, zone: str
    ) -> list[PeerAddress]:
        """Return addresses to pass on with a digest.

        Args:
            statuses: What is believed of all other nodes.
            zone: Zone of the receiver, whose nodes matter most to it.
        """
        live = [s for s in statuses if s.liveness is NodeLiveness.LIVE]
        there = [status for status in live if status.zone == zone]
        contacts_by_zone = {
            status.zone: status
            for status in live
            if status.zone not in (zone, self._own.zone)
        }
        elsewhere = list(contacts_by_zone.values())
        chosen = self._in_turn(there, count=MAX_ZONE_CONTACTS)
        chosen += self._in_turn(elsewhere, count=MAX_FURTHER_CONTACTS)
        return [_address(status) for status in chosen]

    def next_interval(self) -> None:
        """Move on to the next turn."""
        self._interval += 1

    def near(self, statuses: Sequence[NodeStatus]) -> list[PeerAddress]:
        """Return the addresses of the own zone's nodes that get each heartbeat.

        Args:
            statuses: What is believed of all other nodes.
        """
        own_zone = [status for status in statuses if status.zone == self._own.zone]
        gone = [s for s in own_zone if s.liveness is NodeLiveness.GONE]
        present = [s for s in own_zone if s.liveness is not NodeLiveness.GONE]
        # One of the silent nodes in turn, so that a healed partition is noticed.
        return [_address(s) for s in present + self._in_turn(gone, count=1)]

    def unanswered(self, statuses: Sequence[NodeStatus]) -> list[PeerAddress]:
        """Return addresses of nodes that have not been heard yet.

        Args:
            statuses: What is believed of all other nodes.
        """
        heard = {(s.address.host, s.address.peer_port) for s in statuses}
        heard.add((self._own.host, self._own.port))
        live_zones = {
            s.zone
            for s in statuses
            if s.liveness in (NodeLiveness.LIVE, NodeLiveness.LEAVING)
        }
        known = (*self._seeds, *self._listed, *self._learned)
        wanted = [
            address
            for address in dict.fromkeys(known)
            if (address.host, address.port) not in heard
            and self._is_wanted(address, live_zones)
        ]
        count = (
            MAX_FIRST_SEEDS if self._interval <= FIRST_INTERVALS else SEEDS_PER_INTERVAL
        )
        return self._in_turn(wanted, count=count)

    def digest_receivers(
        self, statuses: Sequence[NodeStatus], *, zone: str
    ) -> list[PeerAddress]:
        """Return the addresses that get this zone's digest in another zone.

        Args:
            statuses: What is believed of all other nodes.
            zone: The other zone.
        """
        there = [status for status in statuses if status.zone == zone]
        for liveness in _LIVENESS_ORDER:
            ids = [s.node_id for s in there if s.liveness is liveness]
            if ids:
                break
        else:
            return [address for address in self._listed if address.zone == zone][
                :DIGEST_RECEIVERS
            ]
        chosen = self._choose_receivers(ids, zone=zone, liveness=liveness)
        return [_address(status) for status in there if status.node_id in chosen]

    def _choose_receivers(
        self, ids: list[str], *, zone: str, liveness: NodeLiveness
    ) -> list[str]:
        if liveness is NodeLiveness.LIVE:
            key = stable_hash(f"{self._own.zone}>{zone}")
            return Rendezvous(members=ids).choose_many(key, count=DIGEST_RECEIVERS)
        return self._in_turn(ids, count=DIGEST_RECEIVERS)

    def _is_wanted(self, address: PeerAddress, live_zones: set[str]) -> bool:
        if address.zone in ("", self._own.zone):
            return True
        return address.zone not in live_zones

    def _in_turn(self, items: list, *, count: int) -> list:
        if len(items) <= count:
            return items
        start = (self._interval * count) % len(items)
        return (items + items)[start : start + count]


def _address(status: NodeStatus) -> PeerAddress:
    return PeerAddress(
        host=status.address.host, port=status.address.peer_port, zone=status.zone
    )
