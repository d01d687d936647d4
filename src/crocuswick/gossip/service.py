"""Actor that exchanges gossip messages with peers."""

from __future__ import annotations

import functools
import random
import time
from typing import TYPE_CHECKING

import attrs
import logbook

from crocuswick.actor import Actor, Message
from crocuswick.gossip.messages import (
    CompressedRecords,
    FleetMessage,
    GossipMessage,
    Hello,
    NodeAddress,
    TopicEnds,
    TopicRecords,
    message_kind,
)
from crocuswick.gossip.peers import FORGET_AFTER_S, FORWARDERS, PeerTable
from crocuswick.gossip.transport import pack_gossip

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from crocuswick.decision_log import DecisionLog
    from crocuswick.gossip.transport import PeerLink

__all__ = ["GossipService"]

logger = logbook.Logger(__name__)

TICK_S = 0.3
"""Interval between messages to the nodes of the own zone."""

MANY_NEIGHBOURS = 12
"""Number of neighbours, in all zones, above which a node sends less often."""

MANY_NEIGHBOURS_TICKS = 2
"""Ticks between messages within the zone if there are many neighbours, which bounds
the receiving load; one message may be lost without the node being considered lost."""

MAX_INTRODUCED_PEERS = 32
"""Peers that a node of another zone is told of on a new connection. Nodes of one zone
tell each other of all, so that few messages between zones are enough."""

OTHER_ZONE_TICKS = 3
"""Ticks between messages to other zones, because traffic between zones costs money."""


class GossipService(Actor):
    """Owns the peer table and the links to the peers.

    Args:
        own: This node.
        seeds: Addresses of a few nodes to connect to first; may be stale.
        ends: Returns the end position of each topic, as this node knows it.
        initial_messages: Returns further messages to send first on a connection to an
            address.
        open_link: Opens a link to an address, with a function that returns the first
            messages to send on each connection.
        on_message: Called with each message and the id of its sender.
        on_batch_end: Called after the messages that arrived together.
        on_peers: Called with the live nodes and the number of known nodes, both
            including this one, when they change.
        on_sent: Called with the kind of each message that is sent, the number of its
            receivers, its size in bytes and the number of peers that it can't be sent
            to.
        log: Decision log; records nodes that join or are lost.
    """

    @attrs.frozen(kw_only=True)
    class Tick(Message):
        """Periodic tick."""

    @attrs.frozen(kw_only=True)
    class Send(Message):
        """Sends a gossip message to the neighbours."""

        gossip: GossipMessage
        is_zonal: bool = False
        """Whether it is sent to nodes of the own zone only."""

        is_zonal_in_large_fleets: bool = False
        """Whether it is sent to other zones only if all their nodes are neighbours."""

        is_urgent: bool = True
        """Whether it is sent at once rather than with the next urgent message."""

    @attrs.frozen(kw_only=True)
    class SendRecords(Message):
        """Sends records that are new at this node."""

        records: TopicRecords | CompressedRecords
        is_zonal: bool
        """Whether they are sent to nodes of the own zone only."""

    @attrs.frozen(kw_only=True)
    class SendToFleet(Message):
        """Sends a message to the nodes that pass it on to the whole fleet."""

        gossip: FleetMessage
        forwarders: int = FORWARDERS
        """Number of nodes of each other zone that forward it."""

        rotation: int = 0
        """Selects which nodes of each other zone forward it."""

        is_urgent: bool = True
        """Whether it is sent at once rather than with the next urgent message."""

    @attrs.frozen(kw_only=True)
    class SendTo(Message):
        """Sends a gossip message to one node."""

        node_id: str
        gossip: GossipMessage

    @attrs.frozen(kw_only=True)
    class Received(Message):
        """A gossip message has arrived."""

        gossip: GossipMessage
        connection: int

    @attrs.frozen(kw_only=True)
    class ReceivedBatch(Message):
        """Several gossip messages have arrived, each with its connection."""

        messages: list[tuple[GossipMessage, int]]

    @attrs.frozen(kw_only=True)
    class Closed(Message):
        """A peer's connection has ended."""

        connection: int

    @attrs.frozen(kw_only=True)
    class AddAddresses(Message):
        """Adds addresses of nodes from another source."""

        addresses: tuple[NodeAddress, ...]

    @attrs.frozen(kw_only=True)
    class SetSeeds(Message):
        """Replaces the seeds."""

        seeds: tuple[str, ...]

    def __init__(
        self,
        *,
        own: NodeAddress,
        seeds: tuple[str, ...],
        ends: Callable[[], TopicEnds],
        initial_messages: Callable[[str], list[GossipMessage]],
        open_link: Callable[[str, Callable[[], list[GossipMessage]]], PeerLink],
        on_message: Callable[[GossipMessage, str], None],
        on_batch_end: Callable[[], None],
        on_peers: Callable[[frozenset[NodeAddress], int], None],
        on_sent: Callable[[str, int, int, int], None],
        log: DecisionLog,
    ):
        super().__init__()
        self._own = own
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._ends = ends
        self._initial_messages = initial_messages
        self._open_link = open_link
        self._on_message = on_message
        self._on_batch_end = on_batch_end
        self._on_peers = on_peers
        self._on_sent = on_sent
        self._log = log
        self._table = PeerTable(own=own)
        self._links_by_address: dict[str, PeerLink] = {}
        self._senders_by_connection: dict[int, str] = {}
        self._live: frozenset[NodeAddress] = frozenset()
        self._known_count = 0
        self._ticks = 0

    def on_set_seeds(self, message: SetSeeds) -> None:
        """Replace the seeds and update the links."""
        self._seeds = [seed for seed in message.seeds if seed != self._own.address]
        self._update_links()

    def on_tick(self, _message: Tick) -> None:
        """Update the links and send the neighbours the end positions of the topics."""
        self._ticks += 1
        self._update_links()
        self._report_changes()
        neighbours = self._table.neighbours()
        is_large = len(neighbours) > MANY_NEIGHBOURS
        own_zone_ticks = MANY_NEIGHBOURS_TICKS if is_large else 1
        addresses = []
        if self._ticks % own_zone_ticks == 0:
            addresses = [
                address for address in neighbours if self._is_same_zone(address)
            ]
        if self._ticks % OTHER_ZONE_TICKS == 0:
            addresses += [
                address for address in neighbours if not self._is_same_zone(address)
            ]
        if addresses:
            self._send(addresses, self._ends())

    def on_send(self, message: Send) -> None:
        """Send a message to the neighbours."""
        addresses = self._table.neighbours()
        is_partial = len(addresses) < self._table.peer_count
        if message.is_zonal or (message.is_zonal_in_large_fleets and is_partial):
            addresses = [
                address for address in addresses if self._is_same_zone(address)
            ]
        self._send(addresses, message.gossip, is_urgent=message.is_urgent)

    def on_send_records(self, message: SendRecords) -> None:
        """Send records to the nodes that this one passes them on to."""
        records = message.records
        receivers = self._table.record_receivers(
            f"{records.topic}/{records.end}",
            time.monotonic(),
            is_zonal=message.is_zonal,
        )
        self._send(receivers, records)

    def on_send_to_fleet(self, message: SendToFleet) -> None:
        """Send a message to the own zone and to its forwarders in other zones."""
        receivers = self._table.fleet_receivers(
            self._is_connected,
            forwarders=message.forwarders,
            rotation=message.rotation,
        )
        self._send(receivers, message.gossip, is_urgent=message.is_urgent)

    def on_send_to(self, message: SendTo) -> None:
        """Send a message to one node."""
        addresses = self._table.addresses()
        receivers = [each for each in addresses if each.node_id == message.node_id]
        self._send(receivers, message.gossip)

    def on_received(self, message: Received) -> None:
        """Handle a received message."""
        self._handle(message.gossip, message.connection)
        self._on_batch_end()

    def on_received_batch(self, message: ReceivedBatch) -> None:
        """Handle received messages; one that fails does not affect the others."""
        for gossip, connection in message.messages:
            try:
                self._handle(gossip, connection)
            except Exception:  # noqa: BLE001 - the content comes from a peer
                logger.exception("handling a {} message failed", message_kind(gossip))
        self._on_batch_end()

    def _handle(self, gossip: GossipMessage, connection: int) -> None:
        if isinstance(gossip, Hello):
            self._handle_hello(gossip, connection)
            return
        sender = self._senders_by_connection.get(connection)
        if sender is None:
            return
        self._table.record_message(sender, time.monotonic())
        self._on_message(gossip, sender)

    def on_closed(self, message: Closed) -> None:
        """Record that a peer's connection has closed."""
        sender = self._senders_by_connection.pop(message.connection, None)
        if sender is not None and sender not in self._senders_by_connection.values():
            self._table.record_closed(sender)
            self._report_changes()

    def on_add_addresses(self, message: AddAddresses) -> None:
        """Add addresses of nodes."""
        for address in message.addresses:
            self._table.add(address)
        self._update_links()

    def on_stop(self) -> None:
        """Close all links."""
        for link in self._links_by_address.values():
            link.stop()

    def _handle_hello(self, hello: Hello, connection: int) -> None:
        self._senders_by_connection[connection] = hello.node_id
        self._table.add(
            NodeAddress(node_id=hello.node_id, zone=hello.zone, address=hello.address)
        )
        known_ids = {known.node_id for known in self._table.addresses()}
        for node_id, zone, address in hello.peers:
            if node_id not in known_ids:
                self._table.add(
                    NodeAddress(node_id=node_id, zone=zone, address=address)
                )
        self._table.record_message(hello.node_id, time.monotonic())
        self._update_links()
        link = self._links_by_address.get(hello.address)
        if link is not None and link.disconnected_since_s is not None:
            link.reconnect()
        self._report_changes()

    def _is_connected(self, address: NodeAddress) -> bool:
        link = self._links_by_address.get(address.address)
        return link is not None and link.disconnected_since_s is None

    def _is_same_zone(self, address: NodeAddress) -> bool:
        return address.zone == self._own.zone

    def _send(
        self,
        addresses: Iterable[NodeAddress],
        gossip: GossipMessage,
        *,
        is_urgent: bool = True,
    ) -> None:
        packed = pack_gossip(gossip)
        links = [self._links_by_address.get(address.address) for address in addresses]
        queued = sum(
            link.send(packed, is_urgent=is_urgent) for link in links if link is not None
        )
        self._on_sent(message_kind(gossip), queued, len(packed), len(links) - queued)

    def _update_links(self) -> None:
        """Open links to neighbours and seeds, and close all others."""
        self._forget_unreachable()
        neighbours = self._table.neighbours()
        wanted = {address.address for address in neighbours}
        known = {address.address for address in self._table.addresses()}
        wanted.update(seed for seed in self._seeds if seed not in known)
        wanted.discard(self._own.address)
        for address in self._links_by_address.keys() - wanted:
            self._links_by_address.pop(address).stop()
        for address in wanted - self._links_by_address.keys():
            self._links_by_address[address] = self._open_link(
                address, functools.partial(self._handshake_messages, address)
            )

    def _forget_unreachable(self) -> None:
        now_s = time.monotonic()
        for address in self._table.addresses():
            link = self._links_by_address.get(address.address)
            disconnected_since_s = link.disconnected_since_s if link else None
            is_live = self._table.is_live(address.node_id, now_s)
            if (
                disconnected_since_s is not None
                and now_s - disconnected_since_s > FORGET_AFTER_S
                and not is_live
            ):
                self._table.forget(address.node_id)

    def _handshake_messages(self, receiver: str) -> list[GossipMessage]:
        # Runs on a thread of the transport; safe because the table returns copies.
        known = self._table.addresses()
        is_own_zone = any(
            peer.address == receiver and self._is_same_zone(peer) for peer in known
        )
        if not is_own_zone and len(known) > MAX_INTRODUCED_PEERS:
            known = random.sample(known, MAX_INTRODUCED_PEERS)
        peers = [[peer.node_id, peer.zone, peer.address] for peer in known]
        return [
            Hello(
                node_id=self._own.node_id,
                zone=self._own.zone,
                address=self._own.address,
                peers=peers,
            ),
            self._ends(),
            *self._initial_messages(receiver),
        ]

    def _report_changes(self) -> None:
        live = self._table.live(time.monotonic())
        known_count = len(self._table.addresses()) + 1
        if live == self._live and known_count == self._known_count:
            return
        if live != self._live:
            self._log.record_state(
                "nodes changed",
                joined=sorted(node.node_id for node in live - self._live),
                lost=sorted(node.node_id for node in self._live - live),
            )
        self._live = live
        self._known_count = known_count
        self._on_peers(live, known_count)
