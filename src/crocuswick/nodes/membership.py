"""Membership component: heartbeat protocol on a thread that owns its socket."""

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
from crocuswick.nodes.membership_protocol import MembershipCounters, MembershipProtocol
from crocuswick.nodes.message_builder import NodeIdentity
from crocuswick.nodes.node_state import (
    EndpointSignal,
    NodeAddress,
    NodeLiveness,
    NodeStatus,
    PeerAddress,
)
from crocuswick.nodes.platform_node import PlatformNode
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
"""Interval between heartbeats."""

HEARTBEAT_JITTER = 0.1
"""Share of the interval by which it varies from node to node."""

READ_INTERVAL_MS = 100
"""Interval at which received datagrams are read, many with one wake-up."""

RECEIVE_BUFFER_BYTES = 2048
"""Size of the largest datagram that is read."""

RECEIVES_PER_WAKE_UP = 256
"""Datagrams read before messages and the clock get their turn."""

STOP_TIMEOUT_S = 2.0
"""Time that the thread has to end."""

_MS_PER_S = 1000
_NS_PER_MS = 1_000_000

_log = logbook.Logger("crocuswick.membership")


@attrs.frozen(kw_only=True)
class AnnounceState(Message):
    """Tell the own state without waiting for the next interval."""


@attrs.frozen(kw_only=True)
class PlatformListSeen(Message):
    """Take in the platform's list of entry VMs."""

    nodes: tuple[PlatformNode, ...]


@attrs.frozen(kw_only=True)
class ShareEndpointSignal(Message):
    """Pass news of an endpoint on."""

    signal: EndpointSignal


@attrs.frozen(kw_only=True)
class ShareCrashReport(Message):
    """Pass news of a crash on."""

    report: CrashReport


@attrs.frozen(kw_only=True)
class FleetSizeHeard(Message):
    """Take in how many nodes another node knows."""

    fleet_nodes: int


@attrs.frozen(kw_only=True)
class StopMembership(Message):
    """Tell the others that the node is leaving and end."""


@attrs.frozen(kw_only=True)
class _Published:
    """What other threads may read; replaced as a whole."""

    version: int
    statuses: tuple[NodeStatus, ...]
    fleet_share: FleetShare


class Membership:
    """Knows the live nodes and exchanges news with them.

    The methods may be called from any thread. The protocol's state belongs to the
    membership's own thread, which publishes immutable copies of it.
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
        key: PeerKeys,
        time_line: TimeLine,
        state_provider: Callable[[], NodeState],
        listener: MembershipListener | None = None,
        interval_ms: int = HEARTBEAT_INTERVAL_MS,
    ):
        """Create the component; `start` starts it.

        Args:
            node_id: Own node's id, which is its VM's id in the platform's list.
            zone: Own availability zone.
            region: Own region.
            host: Own IP number.
            port: Own TCP port for callers.
            peer_port: Own port for other nodes.
            seeds: ``host:peer_port`` of some nodes; the own one does no harm.
            key: Keys of the fleet.
            time_line: Record of changes; its incarnation is the node's.
            state_provider: Returns the state to tell; called on the membership's
                thread.
            listener: Receiver of news.
            interval_ms: Interval between heartbeats.

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
            keys=key,
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
        self._published = self._publishable()

    def start(self) -> None:
        """Bind the socket and start the thread.

        Raises:
            OSError: If the port cannot be had.
        """
        address = self._identity.address
        self._socket.bind((address.host, address.peer_port))
        self._is_running = True
        self._thread.start()

    def stop(self) -> None:
        """Tell the others that the node is leaving and end the thread."""
        if self._thread.is_alive():
            self._tell(StopMembership())
            self._thread.join(timeout=STOP_TIMEOUT_S)
        self._socket.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def announce(self) -> None:
        """Tell the own state at once, for instance that the node is draining."""
        self._tell(AnnounceState())

    def hear_platform(self, nodes: Sequence[PlatformNode]) -> None:
        """Take in the platform's list of entry VMs.

        Args:
            nodes: The whole list.
        """
        self._tell(PlatformListSeen(nodes=tuple(nodes)))

    def hear_fleet_size(self, fleet_nodes: int) -> None:
        """Take in how many nodes another node knows, from its snapshot.

        Until this node has heard of as many itself, it takes only its part of
        limits in a fleet of that size.

        Args:
            fleet_nodes: Nodes that may be serving.
        """
        self._tell(FleetSizeHeard(fleet_nodes=fleet_nodes))

    def share_endpoint_signal(self, signal: EndpointSignal) -> None:
        """Tell all nodes what was noticed at an endpoint.

        Args:
            signal: The news; its age is 0 when it has just been noticed.
        """
        self._tell(ShareEndpointSignal(signal=signal))

    def share_crash_report(self, report: CrashReport) -> None:
        """Tell all nodes that a request has crashed an endpoint.

        Args:
            report: The crash.
        """
        self._tell(ShareCrashReport(report=report))

    def nodes(self) -> tuple[NodeStatus, ...]:
        """Return what is believed of all known nodes, the own one included."""
        return self._published.statuses

    def live_nodes(self, zone: str) -> tuple[NodeStatus, ...]:
        """Return the nodes of a zone that may be given duties.

        Args:
            zone: Availability zone.

        Returns:
            The live nodes; if there are none, those that are merely damped.
        """
        there = [status for status in self.nodes() if status.zone == zone]
        live = tuple(s for s in there if s.liveness is NodeLiveness.LIVE)
        return live or tuple(status for status in there if status.damped)

    def fleet_share(self) -> FleetShare:
        """Return the size of the fleet and the other nodes' demand."""
        return self._published.fleet_share

    @property
    def counters(self) -> MembershipCounters:
        """What has been sent, received and rejected since the start."""
        return self._protocol.counters

    def on_announce_state(self, _: AnnounceState) -> None:
        """Send the own state."""
        self._send(self._protocol.announce(now_s=time.monotonic(), wall_ms=_wall_ms()))

    def on_platform_list_seen(self, message: PlatformListSeen) -> None:
        """Merge the platform's list."""
        self._protocol.hear_platform(message.nodes)

    def on_fleet_size_heard(self, message: FleetSizeHeard) -> None:
        """Remember the size."""
        self._protocol.hear_fleet_size(message.fleet_nodes, now_s=time.monotonic())

    def on_share_endpoint_signal(self, message: ShareEndpointSignal) -> None:
        """Send the news at once."""
        self._protocol.share_endpoint_signal(message.signal, now_s=time.monotonic())
        self._announce_news()

    def on_share_crash_report(self, message: ShareCrashReport) -> None:
        """Send the news at once."""
        self._protocol.share_crash_report(message.report, now_s=time.monotonic())
        self._announce_news()

    def on_stop_membership(self, _: StopMembership) -> None:
        """Say that the node is leaving and end the loop."""
        self._protocol.leave()
        self.on_announce_state(AnnounceState())
        self._is_running = False

    def _tell(self, message: Message) -> None:
        self._mailbox.put(message)
        try:
            self._wake_sender.send(b"\0")
        except OSError:
            # The thread has wake-ups enough to read, or has ended.
            return

    def _run(self) -> None:
        with selectors.DefaultSelector() as selector:
            selector.register(self._wake_receiver, selectors.EVENT_READ)
            tick_s = read_s = time.monotonic()
            while self._is_running:
                if time.monotonic() >= read_s:
                    self._guarded(self._read_socket)
                    read_s = time.monotonic() + self._read_interval_s
                if time.monotonic() >= tick_s:
                    self._guarded(self._tick)
                    tick_s = time.monotonic() + self._next_interval_s()
                wait_s = min(tick_s, read_s) - time.monotonic()
                if selector.select(max(0.0, wait_s)):
                    self._guarded(self._read_mailbox)

    def _announce_news(self) -> None:
        now_s = time.monotonic()
        self._send(self._protocol.announce_news(now_s=now_s, wall_ms=_wall_ms()))

    def _next_interval_s(self) -> float:
        # Nodes that start together drift apart.
        spread = self._random.uniform(1 - HEARTBEAT_JITTER, 1 + HEARTBEAT_JITTER)
        return self._interval_s * spread

    def _guarded(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:
            # One bad message or listener must not end all heartbeats.
            _log.exception("membership step failed")

    def _tick(self) -> None:
        self._send(self._protocol.tick(now_s=time.monotonic(), wall_ms=_wall_ms()))
        self._published = self._publishable()

    def _read_socket(self) -> None:
        for _ in range(RECEIVES_PER_WAKE_UP):
            try:
                data = self._socket.recv(RECEIVE_BUFFER_BYTES)
            except OSError:
                # Nothing left to read, or a peer's port was closed.
                break
            now_s = time.monotonic()
            self._send(self._protocol.receive(data, now_s=now_s, wall_ms=_wall_ms()))
        if self._protocol.version != self._published.version:
            self._published = self._publishable()

    def _read_mailbox(self) -> None:
        self._wake_receiver.recv(RECEIVE_BUFFER_BYTES)
        while not self._mailbox.empty():
            message: Any = self._mailbox.get_nowait()
            getattr(self, handler_name(type(message)))(message)
        self._published = self._publishable()

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        for datagram in outgoing:
            try:
                self._socket.sendto(datagram.data, (datagram.to.host, datagram.to.port))
            except OSError:
                # An unreachable peer shows by its silence.
                continue

    def _publishable(self) -> _Published:
        now_s = time.monotonic()
        return _Published(
            version=self._protocol.version,
            statuses=self._protocol.statuses(now_s=now_s),
            fleet_share=self._protocol.fleet_share(now_s=now_s),
        )


def _wall_ms() -> int:
    return time.time_ns() // _NS_PER_MS
