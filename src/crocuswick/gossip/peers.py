"""Known nodes, their liveness, the choice of neighbours and the division of tasks."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from crocuswick.gossip.messages import NodeAddress
from crocuswick.rendezvous import Rendezvous, stable_hash

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

__all__ = ["PeerTable", "ring_successors", "task_rank"]

PEER_TIMEOUT_S = 1.5
"""Time without a message after which a peer no longer counts as live. Messages are sent
every 0.3 s within a zone, every 0.6 s if there are many neighbours, and every 0.9 s
between zones."""

MAX_ZONE_NEIGHBOURS = 64
"""Nodes of the own zone to which messages are sent directly. Fleet messages reach only
these nodes of a zone, so that zones should not be larger."""

MAX_OTHER_NEIGHBOURS = 4
"""Nodes of each other zone to which messages are sent directly. These nodes forward
records and fleet messages, but no other messages."""

FORWARDERS = 2
"""Nodes of each other zone to which a fleet message is sent; one may be out of reach
without the connection to it being considered lost."""

PROMPT_FORWARDERS = 1
"""Nodes of each other zone to which messages about large prompts are sent; they are the
most frequent ones, and a lost one costs a second prefill at most."""

ZONE_GATEWAYS = 2
"""Nodes of each zone that send new records to a node of each other zone."""

FORGET_AFTER_S = 60.0
"""Time after which an unreachable peer is removed."""


@attrs.define(kw_only=True)
class _Peer:
    address: NodeAddress
    last_message_s: float = float("-inf")


class PeerTable:
    """Table of the peers by their ids.

    Args:
        own: This node.
    """

    def __init__(self, *, own: NodeAddress):
        self._own = own
        self._peers_by_id: dict[str, _Peer] = {}
        self._neighbours: list[NodeAddress] | None = None

    def add(self, address: NodeAddress) -> bool:
        """Add or update a node's address.

        Returns:
            Whether the address is new.
        """
        if address.node_id == self._own.node_id:
            return False
        known = self._peers_by_id.get(address.node_id)
        if known is not None and known.address == address:
            return False
        self._peers_by_id[address.node_id] = _Peer(address=address)
        self._neighbours = None
        return True

    def forget(self, node_id: str) -> None:
        """Remove a node."""
        self._peers_by_id.pop(node_id, None)
        self._neighbours = None

    def record_message(self, node_id: str, now_s: float) -> None:
        """Record a message from a peer."""
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            peer.last_message_s = now_s

    def record_closed(self, node_id: str) -> None:
        """Record that a peer's connection has closed."""
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            peer.last_message_s = float("-inf")

    def addresses(self) -> list[NodeAddress]:
        """Return the addresses of the known nodes, except this one."""
        # list() copies atomically under the interpreter lock, so that other threads
        # may call this.
        return [peer.address for peer in list(self._peers_by_id.values())]

    @property
    def peer_count(self) -> int:
        """Number of known nodes, except this one."""
        return len(self._peers_by_id)

    def is_live(self, node_id: str, now_s: float) -> bool:
        """Whether a node has sent a message within `PEER_TIMEOUT_S`."""
        if node_id == self._own.node_id:
            return True
        peer = self._peers_by_id.get(node_id)
        return peer is not None and now_s - peer.last_message_s < PEER_TIMEOUT_S

    def live(self, now_s: float) -> frozenset[NodeAddress]:
        """Return the live nodes, including this one."""
        live_peers = {
            peer.address
            for peer in self._peers_by_id.values()
            if now_s - peer.last_message_s < PEER_TIMEOUT_S
        }
        return frozenset({self._own, *live_peers})

    def neighbours(self) -> list[NodeAddress]:
        """Return the nodes to which this one sends its messages directly.

        Their number is bounded, so that a node's work doesn't grow with the fleet.
        They are recomputed only when the known nodes change.
        """
        if self._neighbours is None:
            self._neighbours = self._choose_neighbours()
        return self._neighbours

    def record_receivers(
        self, version: str, now_s: float, *, is_zonal: bool
    ) -> list[NodeAddress]:
        """Return the nodes to which this one sends new records.

        Each receiver sends them on in the same way if they are new to it.

        Args:
            version: Identifies the records, such as topic and end offset.
            now_s: Monotonic time.
            is_zonal: Whether they are sent within the zone only.
        """
        neighbours = self.neighbours()
        zone_mates_by_id = {
            node.node_id: node
            for node in neighbours
            if node.zone == self._own.zone and self.is_live(node.node_id, now_s)
        }
        ring = sorted([self._own.node_id, *zone_mates_by_id])
        receivers = [
            zone_mates_by_id[node_id]
            for node_id in ring_successors(ring, self._own.node_id)
        ]
        gateways = Rendezvous(members=ring).choose_many(
            stable_hash(version), count=ZONE_GATEWAYS
        )
        if not is_zonal and self._own.node_id in gateways:
            receivers += self._other_zone_receivers(neighbours, now_s)
        return receivers

    def _other_zone_receivers(
        self, neighbours: Iterable[NodeAddress], now_s: float
    ) -> list[NodeAddress]:
        """Return a neighbour in each other zone, a live one where one is known.

        The nodes of each zone read the store themselves; copies from other zones serve
        a zone that can't reach it.
        """
        chosen_by_zone: dict[str, NodeAddress] = {}
        for node in neighbours:
            if node.zone == self._own.zone:
                continue
            chosen = chosen_by_zone.setdefault(node.zone, node)
            if self.is_live(node.node_id, now_s) and not self.is_live(
                chosen.node_id, now_s
            ):
                chosen_by_zone[node.zone] = node
        return list(chosen_by_zone.values())

    def fleet_receivers(
        self,
        is_connected: Callable[[NodeAddress], bool],
        *,
        forwarders: int = FORWARDERS,
        rotation: int = 0,
    ) -> list[NodeAddress]:
        """Return the neighbours to which a message for the whole fleet is sent.

        Args:
            is_connected: Whether there is a connection to a neighbour.
            forwarders: Number of nodes of each other zone to send it to.
            rotation: Selects these nodes among the connected ones.

        Returns:
            The neighbours of the own zone, and connected ones of each other zone.
        """
        receivers = []
        connected_by_zone: defaultdict[str, list[NodeAddress]] = defaultdict(list)
        for address in self.neighbours():
            if address.zone == self._own.zone:
                receivers.append(address)
            elif is_connected(address):
                connected_by_zone[address.zone].append(address)
        for connected in connected_by_zone.values():
            first = rotation % len(connected)
            rotated = connected[first:] + connected[:first]
            receivers += rotated[:forwarders]
        return receivers

    def _choose_neighbours(self) -> list[NodeAddress]:
        by_zone: dict[str, list[NodeAddress]] = {}
        for peer in self._peers_by_id.values():
            by_zone.setdefault(peer.address.zone, []).append(peer.address)
        chosen: list[NodeAddress] = []
        for zone, addresses in by_zone.items():
            is_own = zone == self._own.zone
            count = MAX_ZONE_NEIGHBOURS if is_own else MAX_OTHER_NEIGHBOURS
            chosen += self._choose_by_rendezvous(addresses, count)
        return chosen

    def _choose_by_rendezvous(
        self, addresses: Iterable[NodeAddress], count: int
    ) -> list[NodeAddress]:
        addresses_by_id: Mapping[str, NodeAddress] = {
            address.node_id: address for address in addresses
        }
        chosen = Rendezvous(members=addresses_by_id).choose_many(
            stable_hash(self._own.node_id), count=count
        )
        return [addresses_by_id[node_id] for node_id in chosen]


def ring_successors(ring: Sequence[str], node_id: str) -> list[str]:
    """Return the nodes at distances 1, 2, 4, 8, ... after a node on a ring.

    If every node sends to these, each message reaches all nodes, also past a few lost
    ones, with a number of copies that grows with the logarithm of their number.

    Args:
        ring: Sorted ids of the nodes.
        node_id: One of them.
    """
    own = ring.index(node_id)
    distances = itertools.takewhile(
        lambda distance: distance < len(ring),
        (1 << power for power in itertools.count()),
    )
    return [ring[(own + distance) % len(ring)] for distance in distances]


def task_rank(task: str, node_id: str, members: Iterable[str]) -> int:
    """Return a node's rank among the members for a task, 0 for the first.

    All nodes that know the same members agree without communicating.

    Args:
        task: Name of the task.
        node_id: The node.
        members: Ids of the nodes that share the task, including the node itself.
    """
    rendezvous = Rendezvous(members=members)
    order = rendezvous.choose_many(stable_hash(task), count=len(rendezvous.members))
    return list(order).index(node_id)
