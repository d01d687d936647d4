"""Membership component, which runs the heartbeat protocol on its own thread."""

from __future__ import annotations

import queue
import random
import selectors
import socket
import threading
import time
from typing import TYPE_CHECKING, Any

import attrs
import logbook

from crocuswick.actor import Message, handler_name
from crocuswick.fleet_share import FleetShare
from crocuswick.nodes.listed_node import ListedNode
from crocuswick.nodes.membership_protocol import MembershipCounters, MembershipProtocol
from crocuswick.nodes.message_builder import NodeIdentity
from crocuswick.nodes.node_state import (
    EndpointSignal,
    NodeAddress,
    NodeLiveness,
    NodeStatus,
    PeerAddress,
)
from crocuswick.quarantine import CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from crocuswick.nodes.membership_listener import MembershipListener
    from crocuswick.nodes.membership_protocol import Outgoing
    from crocuswick.nodes.node_state import NodeState
    from crocuswick.nodes.peer_keys import PeerKeys
    from crocuswick.time_line import TimeLine

__all__ = ["Membership"]

HEARTBEAT_INTERVAL_MS = 1000
"""Interval between heartbeats, in ms."""

HEARTBEAT_JITTER = 0.1
"""Random variation of the heartbeat interval, as a fraction of it."""

READ_INTERVAL_MS = 100
"""Interval at which the socket is read, in ms; batching reduces wake-ups."""

RECEIVE_BUFFER_BYTES = 2048
"""Size of the largest datagram that is read, in bytes."""

RECEIVES_PER_WAKE_UP = 256
"""Maximum number of datagrams read at once, so that messages and ticks are not
delayed."""

STOP_TIMEOUT_S = 2.0
"""Time that `stop` waits for the thread to end."""

_MS_PER_S = 1000
_NS_PER_MS = 1_000_000

_log = logbook.Logger("crocuswick.membership")


@attrs.frozen(kw_only=True)
class AnnounceState(Message):
    """Send the local state without waiting for the next interval."""


@attrs.frozen(kw_only=True)
class VmListReceived(Message):
    """The platform's list of entry VMs was read."""

    nodes: tuple[ListedNode, ...]


@attrs.frozen(kw_only=True)
class BroadcastEndpointSignal(Message):
    """Send an endpoint signal to the other nodes."""

    signal: EndpointSignal


@attrs.frozen(kw_only=True)
class BroadcastCrashReport(Message):
    """Send a crash report to the other nodes."""

    report: CrashReport


@attrs.frozen(kw_only=True)
class FleetSizeReceived(Message):
    """Another node has reported how many nodes may be serving."""

    fleet_nodes: int


@attrs.frozen(kw_only=True)
class StopMembership(Message):
    """Announce that the node is leaving and end the thread."""


@attrs.frozen(kw_only=True)
class _Published:
    """State that other threads may read; replaced as a whole."""

    version: int
    statuses: tuple[NodeStatus, ...]
    fleet_share: FleetShare


class Membership:
    """Tracks the nodes of the fleet and exchanges state with them.

    The methods may be called from any thread. The protocol's state belongs to the
    membership's thread, which publishes immutable copies of it.
    """

    def __init__(
        self,
        *,
        node_id: str,
        zone: str,
        region: str,
        host: str,
        port: int,
        peer_port: int,
        seeds: Iterable[str],
        keys: PeerKeys,
        time_line: TimeLine,
        state_provider: Callable[[], NodeState],
        listener: MembershipListener | None = None,
        interval_ms: int = HEARTBEAT_INTERVAL_MS,
    ):
        """Create the component; `start` starts it.

        Args:
            node_id: Id of the local node, which is its VM's id in the platform's list.
            zone: Local availability zone.
            region: Local region.
            host: Local IP address.
            port: Local TCP port for callers.
            peer_port: Local port for other nodes.
            seeds: ``host:peer_port`` of some nodes, possibly including the local one.
            keys: Keys of the fleet.
            time_line: Records membership changes and provides the incarnation of the
                local node.
            state_provider: Returns the local state that heartbeats carry; called on the
                membership's thread.
            listener: Notified of changes and updates.
            interval_ms: Interval between heartbeats, in ms.

        Raises:
            ValueError: If a seed is not an address.
        """
        self._identity = NodeIdentity(
            node_id=node_id,
            zone=zone,
            region=region,
            address=NodeAddress(host=host, port=port, peer_port=peer_port),
            incarnation=time_line.incarnation,
        )
        self._protocol = MembershipProtocol(
            identity=self._identity,
            seeds=[PeerAddress.parse(s, default_port=peer_port) for s in seeds],
            keys=keys,
            state_provider=state_provider,
            listener=listener,
            time_line=time_line,
        )
        self._interval_s = interval_ms / _MS_PER_S
        self._read_interval_s = min(READ_INTERVAL_MS, interval_ms / 2) / _MS_PER_S
        self._random = random.Random(time_line.incarnation)
        self._mailbox: queue.SimpleQueue[Message] = queue.SimpleQueue()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._is_running = False
        self._thread = threading.Thread(
            target=self._run, name="membership", daemon=True
        )
        self._published = self._build_published()

    def start(self) -> None:
        """Bind the socket and start the thread.

        Raises:
            OSError: If the port is not available.
        """
        address = self._identity.address
        self._socket.bind((address.host, address.peer_port))
        self._is_running = True
        self._thread.start()

    def stop(self) -> None:
        """Announce that the node is leaving and end the thread."""
        if self._thread.is_alive():
            self._post(StopMembership())
            self._thread.join(timeout=STOP_TIMEOUT_S)
        self._socket.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def announce(self) -> None:
        """Send the local state at once, for instance when the node starts to drain."""
        self._post(AnnounceState())

    def apply_vm_list(self, nodes: Sequence[ListedNode]) -> None:
        """Apply the platform's list of entry VMs.

        Args:
            nodes: The complete list.
        """
        self._post(VmListReceived(nodes=tuple(nodes)))

    def set_reported_fleet_size(self, fleet_nodes: int) -> None:
        """Store the fleet size from another node's snapshot.

        While the report is recent and this node has not discovered as many nodes
        itself, it uses this size to compute its share of the fleet-wide limits.

        Args:
            fleet_nodes: Number of nodes that may be serving.
        """
        self._post(FleetSizeReceived(fleet_nodes=fleet_nodes))

    def broadcast_endpoint_signal(self, signal: EndpointSignal) -> None:
        """Send an endpoint signal to all nodes.

        Args:
            signal: The signal; its age is 0 when it has just been observed.
        """
        self._post(BroadcastEndpointSignal(signal=signal))

    def broadcast_crash_report(self, report: CrashReport) -> None:
        """Send to all nodes the report of a request that crashed an endpoint.

        Args:
            report: The crash report.
        """
        self._post(BroadcastCrashReport(report=report))

    def nodes(self) -> tuple[NodeStatus, ...]:
        """Return the status of all known nodes, including the local one."""
        return self._published.statuses

    def live_nodes(self, zone: str) -> tuple[NodeStatus, ...]:
        """Return the nodes of a zone to which work may be assigned.

        Args:
            zone: Availability zone.

        Returns:
            The live nodes; if there are none, those that are suspect only because
            of flap damping.
        """
        in_zone = [status for status in self.nodes() if status.zone == zone]
        live = tuple(s for s in in_zone if s.liveness is NodeLiveness.LIVE)
        return live or tuple(status for status in in_zone if status.damped)

    def fleet_share(self) -> FleetShare:
        """Return the size of the fleet and the other nodes' demand."""
        return self._published.fleet_share

    @property
    def counters(self) -> MembershipCounters:
        """Counts of datagrams sent, received and rejected since the start."""
        return self._protocol.counters

    def on_announce_state(self, _: AnnounceState) -> None:
        """Send the local state."""
        self._send(self._protocol.announce(now_s=time.monotonic(), wall_ms=_wall_ms()))

    def on_vm_list_received(self, message: VmListReceived) -> None:
        """Apply the platform's list."""
        self._protocol.apply_vm_list(message.nodes)

    def on_fleet_size_received(self, message: FleetSizeReceived) -> None:
        """Store the reported size."""
        self._protocol.set_reported_fleet_size(
            message.fleet_nodes, now_s=time.monotonic()
        )

    def on_broadcast_endpoint_signal(self, message: BroadcastEndpointSignal) -> None:
        """Send the signal at once."""
        self._protocol.broadcast_endpoint_signal(message.signal, now_s=time.monotonic())
        self._announce_updates()

    def on_broadcast_crash_report(self, message: BroadcastCrashReport) -> None:
        """Send the report at once."""
        self._protocol.broadcast_crash_report(message.report, now_s=time.monotonic())
        self._announce_updates()

    def on_stop_membership(self, _: StopMembership) -> None:
        """Announce that the node is leaving and end the loop."""
        self._protocol.leave()
        self.on_announce_state(AnnounceState())
        self._is_running = False

    def _post(self, message: Message) -> None:
        self._mailbox.put(message)
        try:
            self._wake_sender.send(b"\0")
        except OSError:
            # The buffer is full of unread wake-ups, or the thread has ended.
            return

    def _run(self) -> None:
        with selectors.DefaultSelector() as selector:
            selector.register(self._wake_receiver, selectors.EVENT_READ)
            next_tick_s = next_read_s = time.monotonic()
            while self._is_running:
                if time.monotonic() >= next_read_s:
                    self._run_step(self._read_socket)
                    next_read_s = time.monotonic() + self._read_interval_s
                if time.monotonic() >= next_tick_s:
                    self._run_step(self._tick)
                    next_tick_s = time.monotonic() + self._next_interval_s()
                wait_s = min(next_tick_s, next_read_s) - time.monotonic()
                if selector.select(max(0.0, wait_s)):
                    self._run_step(self._read_mailbox)

    def _announce_updates(self) -> None:
        now_s = time.monotonic()
        self._send(self._protocol.announce_updates(now_s=now_s, wall_ms=_wall_ms()))

    def _next_interval_s(self) -> float:
        # The jitter keeps nodes that started together from sending simultaneously.
        jitter = self._random.uniform(1 - HEARTBEAT_JITTER, 1 + HEARTBEAT_JITTER)
        return self._interval_s * jitter

    def _run_step(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:
            # An error in one message or listener must not stop the heartbeats.
            _log.exception("membership step failed")

    def _tick(self) -> None:
        self._send(self._protocol.tick(now_s=time.monotonic(), wall_ms=_wall_ms()))
        self._published = self._build_published()

    def _read_socket(self) -> None:
        for _ in range(RECEIVES_PER_WAKE_UP):
            try:
                data = self._socket.recv(RECEIVE_BUFFER_BYTES)
            except OSError:
                # No datagram is left, or a peer's port is closed.
                break
            now_s = time.monotonic()
            self._send(self._protocol.receive(data, now_s=now_s, wall_ms=_wall_ms()))
        if self._protocol.version != self._published.version:
            self._published = self._build_published()

    def _read_mailbox(self) -> None:
        self._wake_receiver.recv(RECEIVE_BUFFER_BYTES)
        while not self._mailbox.empty():
            message: Any = self._mailbox.get_nowait()
            getattr(self, handler_name(type(message)))(message)
        self._published = self._build_published()

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        for datagram in outgoing:
            try:
                self._socket.sendto(datagram.data, (datagram.to.host, datagram.to.port))
            except OSError:
                # An unreachable peer is detected by its missing heartbeats.
                continue

    def _build_published(self) -> _Published:
        now_s = time.monotonic()
        return _Published(
            version=self._protocol.version,
            statuses=self._protocol.statuses(now_s=now_s),
            fleet_share=self._protocol.fleet_share(now_s=now_s),
        )


def _wall_ms() -> int:
    return time.time_ns() // _NS_PER_MS
