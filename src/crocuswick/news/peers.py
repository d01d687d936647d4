"""Which nodes there are, which are heard, and which of them has a duty."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.news.messages import NodeAddress
from crocuswick.rendezvous import Rendezvous, stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ["PeerTable", "duty_rank"]

PEER_TIMEOUT_S = 1.5
"""Time without a message after which a peer counts as gone; they speak each 0.3 s
within a zone, each 0.6 s in a large one and each second between zones."""

MAX_ZONE_NEIGHBOURS = 32
"""Nodes of the own zone that are told news directly."""

MAX_OTHER_NEIGHBOURS = 4
"""Nodes of each other zone that are told news directly; they pass on records only."""

FORGET_AFTER_S = 60.0
"""Time after which a peer that can't be reached is forgotten."""


@attrs.define(kw_only=True)
class _Peer:
    address: NodeAddress
    last_message_s: float = float("-inf")


class PeerTable:
    """Knows peers by their ids.

    Args:
        own: This node.
    """

    def __init__(self, *, own: NodeAddress):
        self._own = own
        self._peers_by_id: dict[str, _Peer] = {}
        self._neighbours: list[NodeAddress] | None = None

    def add(self, address: NodeAddress) -> bool:
        """Take a node's address.

        Returns:
            Whether it was not known.
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
        """Drop a node that is gone."""
        self._peers_by_id.pop(node_id, None)
        self._neighbours = None

    def record_message(self, node_id: str, now_s: float) -> None:
        """Note that a peer has spoken."""
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            peer.last_message_s = now_s

    def record_closed(self, node_id: str) -> None:
        """Note that a peer's connection has ended."""
        peer = self._peers_by_id.get(node_id)
        if peer is not None:
            peer.last_message_s = float("-inf")

    def addresses(self) -> list[NodeAddress]:
        """Return the known nodes but this one."""
        # The copy is one step of the interpreter, so that other threads may call.
        return [peer.address for peer in list(self._peers_by_id.values())]

    def is_live(self, node_id: str, now_s: float) -> bool:
        """Whether a node has spoken lately."""
        if node_id == self._own.node_id:
            return True
        peer = self._peers_by_id.get(node_id)
        return peer is not None and now_s - peer.last_message_s < PEER_TIMEOUT_S

    def live(self, now_s: float) -> frozenset[NodeAddress]:
        """Return the live nodes, this one included."""
        heard = {
            peer.address
            for peer in self._peers_by_id.values()
            if now_s - peer.last_message_s < PEER_TIMEOUT_S
        }
        return frozenset({self._own, *heard})

    def neighbours(self) -> list[NodeAddress]:
        """Return the nodes that this one tells its news directly.

        Their number is bounded, so that a node's work doesn't grow with the fleet.
        They are worked out anew only when the known nodes change.
        """
        if self._neighbours is None:
            self._neighbours = self._choose_neighbours()
        return self._neighbours

    def _choose_neighbours(self) -> list[NodeAddress]:
        by_zone: dict[str, list[NodeAddress]] = {}
        for peer in self._peers_by_id.values():
            by_zone.setdefault(peer.address.zone, []).append(peer.address)
        chosen: list[NodeAddress] = []
        for zone, addresses in by_zone.items():
            is_own = zone == self._own.zone
            count = MAX_ZONE_NEIGHBOURS if is_own else MAX_OTHER_NEIGHBOURS
            chosen += self._nearest(addresses, count)
        return chosen

    def _nearest(
        self, addresses: Iterable[NodeAddress], count: int
    ) -> list[NodeAddress]:
        addresses_by_id: Mapping[str, NodeAddress] = {
            address.node_id: address for address in addresses
        }
        chosen = Rendezvous(members=addresses_by_id).choose_many(
            stable_hash(self._own.node_id), count=count
        )
        return [addresses_by_id[node_id] for node_id in chosen]


def duty_rank(duty: str, node_id: str, members: Iterable[str]) -> int:
    """Return a node's place among the members for a duty, 0 for the first.

    All nodes that know the same members agree, without talking to each other.

    Args:
        duty: Name of the duty.
        node_id: The node.
        members: Ids of the nodes that share the duty, the node among them.
    """
    rendezvous = Rendezvous(members=members)
    order = rendezvous.choose_many(stable_hash(duty), count=len(rendezvous.members))
    return list(order).index(node_id)
