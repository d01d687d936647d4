"""Fleet of membership protocols that exchange encoded datagrams in memory."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from crocuswick.nodes import (
    MembershipListener,
    NodeAddress,
    NodeLiveness,
    NodePhase,
    NodeState,
    PeerAddress,
    PeerKeys,
)
from crocuswick.nodes.membership_protocol import MembershipProtocol
from crocuswick.nodes.message_builder import NodeIdentity

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from crocuswick.nodes import EndpointSignal
    from crocuswick.nodes.membership_protocol import Outgoing
    from crocuswick.quarantine import CrashReport

KEY = b"a key of the tests' fleet"
START_WALL_MS = 1_750_000_000_000


def state(*, revision: int = 1, phase: NodePhase = NodePhase.READY) -> NodeState:
    """Return a state that a node sends."""
    return NodeState(phase=phase, configuration_revision=revision)


class RecordingListener(MembershipListener):
    """Records the notifications it receives."""

    def __init__(self):
        self.revisions: list[int] = []
        self.reports: list[CrashReport] = []
        self.signals: list[EndpointSignal] = []
        self.leaving = False

    def on_configuration_revision(self, node_id, address, revision):
        """Record the revision."""
        self.revisions.append(revision)

    def on_crash_reports(self, reports):
        """Record the reports."""
        self.reports.extend(reports)

    def on_endpoint_signal(self, node_id, signal):
        """Record the signal."""
        self.signals.append(signal)

    def on_local_node_leaving(self):
        """Record that the local node is leaving."""
        self.leaving = True


@attrs.define(kw_only=True)
class FleetNode:
    """One node of the test fleet."""

    node_id: str
    zone: str
    protocol: MembershipProtocol
    listener: RecordingListener
    state: NodeState
    is_up: bool = True

    def ids_with_liveness(self, liveness: NodeLiveness, *, now_s: float) -> set[str]:
        """Return the ids of the nodes that have the given liveness at this node."""
        statuses = self.protocol.statuses(now_s=now_s)
        return {s.node_id for s in statuses if s.liveness is liveness}


class Fleet:
    """Nodes with a shared clock and a network that may drop datagrams."""

    def __init__(
        self,
        *,
        zones: Sequence[str],
        nodes: int,
        seed: int = 1,
        loss: float = 0.0,
        seeds: int = 1,
        keys: PeerKeys | None = None,
    ):
        self.now_s = 1000.0
        self.loss = loss
        self.is_blocked: Callable[[FleetNode, FleetNode], bool] = lambda a, b: False
        self._keys = keys or PeerKeys(keys=[KEY])
        self._random = random.Random(seed)
        self._seeds = [_peer_address(number) for number in range(seeds)]
        self._nodes_by_port: dict[int, FleetNode] = {}
        self._in_flight: list[tuple[FleetNode, Outgoing]] = []
        for number in range(nodes):
            self.start(number, zone=zones[number % len(zones)])

    @property
    def nodes(self) -> list[FleetNode]:
        """All nodes, in the order of their numbers."""
        return [self._nodes_by_port[port] for port in sorted(self._nodes_by_port)]

    @property
    def wall_ms(self) -> int:
        """Wall clock of all nodes."""
        return START_WALL_MS + round(self.now_s * 1000)

    def start(self, number: int, *, zone: str) -> FleetNode:
        """Start a node, or restart it with a new incarnation."""
        address = NodeAddress(host="10.0.0.1", port=80, peer_port=5000 + number)
        identity = NodeIdentity(
            node_id=f"n{number:02d}",
            zone=zone,
            region="r",
            address=address,
            incarnation=self.wall_ms,
        )
        listener = RecordingListener()
        node = FleetNode(
            node_id=identity.node_id,
            zone=zone,
            listener=listener,
            state=state(),
            protocol=MembershipProtocol(
                identity=identity,
                seeds=self._seeds,
                keys=self._keys,
                state_provider=lambda: (
                    self._nodes_by_port[address.peer_port].state
                    if address.peer_port in self._nodes_by_port
                    else state()
                ),
                listener=listener,
            ),
        )
        self._nodes_by_port[address.peer_port] = node
        return node

    def run(self, intervals: int) -> None:
        """Tick each node once per interval, in random order."""
        for _ in range(intervals):
            nodes = [node for node in self.nodes if node.is_up]
            self._random.shuffle(nodes)
            for node in nodes:
                self.now_s += 1.0 / len(nodes)
                sent = node.protocol.tick(now_s=self.now_s, wall_ms=self.wall_ms)
                self.deliver(node, sent)

    def deliver(self, sender: FleetNode, outgoing: Iterable[Outgoing]) -> None:
        """Deliver datagrams and all that are sent in response."""
        queue = [(sender, datagram) for datagram in outgoing]
        while queue:
            source, datagram = queue.pop(0)
            receiver = self._nodes_by_port.get(datagram.to.port)
            if (
                receiver is None
                or not receiver.is_up
                or self.is_blocked(source, receiver)
            ):
                continue
            if self._random.random() < self.loss:
                continue
            replies = receiver.protocol.receive(
                datagram.data, now_s=self.now_s, wall_ms=self.wall_ms
            )
            queue += [(receiver, reply) for reply in replies]

    def all_agree_live(self) -> bool:
        """Return whether each running node sees exactly the running nodes as live."""
        ids = {node.node_id for node in self.nodes if node.is_up}
        return all(
            node.ids_with_liveness(NodeLiveness.LIVE, now_s=self.now_s) == ids
            for node in self.nodes
            if node.is_up
        )


def _peer_address(number: int) -> PeerAddress:
    return PeerAddress(host="10.0.0.1", port=5000 + number)
