"""Heartbeat protocol of one node, without sockets, threads or clocks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.nodes.contact_selector import ContactSelector, digest_senders
from crocuswick.nodes.datagrams import (
    Heartbeat,
    ZoneDigest,
    decode_datagram,
    encode_datagram,
)
from crocuswick.nodes.gossip_buffer import GossipBuffer
from crocuswick.nodes.membership_listener import MembershipListener
from crocuswick.nodes.membership_table import MembershipTable
from crocuswick.nodes.message_builder import (
    MessageBuilder,
    NodeIdentity,
    RecentUpdates,
)
from crocuswick.nodes.node_state import (
    EndpointSignal,
    EndpointSignalKind,
    NodeAddress,
    NodeLiveness,
    NodePhase,
    NodeState,
    NodeStatus,
    PeerAddress,
)
from crocuswick.nodes.replay_filter import ReplayFilter, ReplayVerdict

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from crocuswick.fleet_share import FleetShare
    from crocuswick.nodes.listed_node import ListedNode
    from crocuswick.nodes.peer_keys import PeerKeys
    from crocuswick.quarantine import CrashReport
    from crocuswick.time_line import TimeLine

__all__ = ["MembershipCounters", "MembershipProtocol", "Outgoing"]

FORWARD_INTERVAL_S = 5.0
"""Interval at which an unchanged digest of another zone is forwarded."""

MIN_UNSCHEDULED_GAP_S = 0.1
"""Minimum time between messages that are sent outside the regular interval."""

MAX_DIGEST_REQUESTS = 3
"""Maximum number of probed addresses that are asked for digests in one interval."""

STATUS_CACHE_LIFETIME_S = 0.25
"""Time for which computed statuses are cached while the table is unchanged."""

REVISION_REPORT_INTERVAL_S = 1.0
"""Interval at which the listener is notified again of a newer revision."""


@attrs.frozen(kw_only=True)
class Outgoing:
    """A datagram to be sent."""

    data: bytes
    """Signed datagram."""

    to: PeerAddress
    """Address of the receiver."""


@attrs.define(kw_only=True)
class MembershipCounters:
    """Counters of the protocol since the start of the process."""

    sent: int = 0
    """Datagrams sent."""

    sent_bytes: int = 0
    """Bytes in the datagrams sent."""

    received: int = 0
    """Datagrams received."""

    received_bytes: int = 0
    """Bytes in the datagrams received."""

    rejected_unauthenticated: int = 0
    """Datagrams that were malformed or not signed with an accepted key."""

    rejected_repeated: int = 0
    """Datagrams that were not newer than the last one from the same sender."""

    rejected_wrong_clock: int = 0
    """First datagrams of senders whose clocks differ too much from the local clock."""


@attrs.frozen(kw_only=True)
class _DigestKey:
    """Fields of a digest; if one changes, the digest is forwarded at once."""

    configuration_revision: int
    live_nodes: int
    draining: frozenset[str]


@attrs.define(kw_only=True)
class _Forward:
    key: _DigestKey
    sent_s: float


class MembershipProtocol:
    """State machine that turns ticks and datagrams into replies and notifications."""

    def __init__(
        self,
        *,
        identity: NodeIdentity,
        seeds: Sequence[PeerAddress],
        keys: PeerKeys,
        state_provider: Callable[[], NodeState],
        listener: MembershipListener | None = None,
        time_line: TimeLine | None = None,
    ):
        """Create the protocol of a node that does not know any other node yet.

        Args:
            identity: Identity of the local node.
            seeds: Addresses of some nodes of the fleet.
            keys: Keys of the fleet.
            state_provider: Returns the local state that heartbeats carry.
            listener: Notified of changes and updates.
            time_line: Records membership changes, or None to record nothing.
        """
        self._identity = identity
        self._keys = keys
        self._state_provider = state_provider
        self._listener = listener or MembershipListener()
        self._time_line = time_line
        self._table = MembershipTable(node_id=identity.node_id, zone=identity.zone)
        local = PeerAddress(
            host=identity.address.host,
            port=identity.address.peer_port,
            zone=identity.zone,
        )
        self._contact_selector = ContactSelector(local=local, seeds=seeds)
        self._replay_filter = ReplayFilter()
        self._crash_reports: GossipBuffer[CrashReport] = GossipBuffer()
        self._endpoint_signals: GossipBuffer[EndpointSignal] = GossipBuffer()
        self._forwards_by_zone: dict[str, _Forward] = {}
        self._liveness_by_id: dict[str, NodeLiveness] = {}
        self._builder = MessageBuilder(identity=identity, table=self._table)
        self._updates = RecentUpdates()
        self._statuses: tuple[NodeStatus, ...] = ()
        self._statuses_computed_s = float("-inf")
        self._statuses_version = -1
        self._heartbeats_sent_s = float("-inf")
        self._digests_sent_s = float("-inf")
        self._reported_revision = 0
        self._reported_revision_s = float("-inf")
        self._is_leaving = False
        self.counters = MembershipCounters()
        self._refresh_state()

    def tick(self, *, now_s: float, wall_ms: int) -> list[Outgoing]:
        """Start a heartbeat interval.

        Args:
            now_s: Monotonic time.
            wall_ms: Wall clock, in ms since the epoch.

        Returns:
            Heartbeats and digests to send.
        """
        self._contact_selector.next_interval()
        self._builder.advance_rotation()
        self._table.remove_silent(now_s=now_s)
        self._replay_filter.remove_silent(now_s=now_s)
        self._report_changes(now_s=now_s)
        return self.announce(now_s=now_s, wall_ms=wall_ms)

    def announce(self, *, now_s: float, wall_ms: int) -> list[Outgoing]:
        """Send the local state at once.

        Args:
            now_s: Monotonic time.
            wall_ms: Wall clock, in ms since the epoch.

        Returns:
            Heartbeats and digests to send.
        """
        self._refresh_state()
        self._refresh_updates(now_s=now_s)
        return [
            *self._heartbeats(now_s=now_s, wall_ms=wall_ms),
            *self._digests(now_s=now_s, wall_ms=wall_ms),
        ]

    def announce_updates(self, *, now_s: float, wall_ms: int) -> list[Outgoing]:
        """Send recent updates at once, unless a heartbeat was sent just before.

        Updates in quick succession are batched into the next interval's messages.

        Args:
            now_s: Monotonic time.
            wall_ms: Wall clock, in ms since the epoch.
        """
        if now_s - self._heartbeats_sent_s < MIN_UNSCHEDULED_GAP_S:
            return []
        return self.announce(now_s=now_s, wall_ms=wall_ms)

    def receive(self, data: bytes, *, now_s: float, wall_ms: int) -> list[Outgoing]:
        """Process a received datagram.

        Args:
            data: Datagram as received.
            now_s: Monotonic time.
            wall_ms: Wall clock, in ms since the epoch.

        Returns:
            Datagrams to send in response.
        """
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        message = decode_datagram(data, keys=self._keys)
        if message is None:
            self.counters.rejected_unauthenticated += 1
            return []
        if not self._is_fresh(message, now_s=now_s, wall_ms=wall_ms):
            return []
        if isinstance(message, Heartbeat):
            return self._receive_heartbeat(message, now_s=now_s, wall_ms=wall_ms)
        return self._receive_digest(message, now_s=now_s, wall_ms=wall_ms)

    def apply_vm_list(self, nodes: Sequence[ListedNode]) -> None:
        """Apply the platform's list of entry VMs.

        Args:
            nodes: The complete list.
        """
        self._table.apply_vm_list(nodes)
        self._contact_selector.apply_vm_list(
            node for node in nodes if node.node_id != self._identity.node_id
        )
        self._check_local_leaving()

    def set_reported_fleet_size(self, fleet_nodes: int, *, now_s: float) -> None:
        """Store the fleet size that another node has reported.

        Args:
            fleet_nodes: Number of nodes that may be serving.
            now_s: Monotonic time.
        """
        self._table.zones.set_reported_fleet_size(fleet_nodes, now_s=now_s)

    def leave(self) -> None:
        """Announce this node as draining from now on, whatever the provider returns."""
        self._is_leaving = True
        self._refresh_state()

    def broadcast_endpoint_signal(
        self, signal: EndpointSignal, *, now_s: float
    ) -> None:
        """Include an endpoint signal in the next heartbeats.

        Args:
            signal: Signal that this node has observed.
            now_s: Monotonic time.
        """
        self._endpoint_signals.add([signal], now_s=now_s)

    def broadcast_crash_report(self, report: CrashReport, *, now_s: float) -> None:
        """Include a crash report in the next heartbeats.

        Args:
            report: Crash that this node has observed.
            now_s: Monotonic time.
        """
        self._crash_reports.add([report], now_s=now_s)

    def statuses(self, *, now_s: float) -> tuple[NodeStatus, ...]:
        """Return the status of all nodes, including the local one.

        Args:
            now_s: Monotonic time.
        """
        statuses = (self._local_status(), *self._other_statuses(now_s=now_s))
        return tuple(sorted(statuses, key=lambda status: status.node_id))

    def fleet_share(self, *, now_s: float) -> FleetShare:
        """Return the size of the fleet and the other nodes' demand.

        Args:
            now_s: Monotonic time.
        """
        return self._table.fleet_share(now_s=now_s)

    @property
    def version(self) -> int:
        """Number that increases with each change to another node's entry."""
        return self._table.version

    def _other_statuses(self, *, now_s: float) -> tuple[NodeStatus, ...]:
        """Return the other nodes' statuses, cached for `STATUS_CACHE_LIFETIME_S`."""
        is_expired = now_s - self._statuses_computed_s >= STATUS_CACHE_LIFETIME_S
        if is_expired or self._statuses_version != self._table.version:
            self._statuses = self._table.statuses(now_s=now_s)
            self._statuses_computed_s = now_s
            self._statuses_version = self._table.version
        return self._statuses

    def _is_fresh(
        self, message: Heartbeat | ZoneDigest, *, now_s: float, wall_ms: int
    ) -> bool:
        if message.node_id == self._identity.node_id:
            return False
        verdict = self._replay_filter.check(message, now_s=now_s, wall_ms=wall_ms)
        if verdict is ReplayVerdict.REPEATED:
            self.counters.rejected_repeated += 1
        if verdict is ReplayVerdict.WRONG_CLOCK:
            self.counters.rejected_wrong_clock += 1
        return verdict is ReplayVerdict.FRESH

    def _receive_heartbeat(
        self, heartbeat: Heartbeat, *, now_s: float, wall_ms: int
    ) -> list[Outgoing]:
        self._table.merge_heartbeat(heartbeat, now_s=now_s)
        address = _peer_address(heartbeat.address, zone=heartbeat.zone)
        outgoing = []
        if heartbeat.wants_reply:
            outgoing += self._replies(
                address, zone=heartbeat.zone, now_s=now_s, wall_ms=wall_ms
            )
        self._check_revision(
            heartbeat.node_id, address, heartbeat.configuration_revision, now_s=now_s
        )
        has_updates = self._receive_updates(heartbeat, now_s=now_s)
        if has_updates and now_s - self._digests_sent_s >= MIN_UNSCHEDULED_GAP_S:
            # The sender also sends the updates to the other nodes of the local zone, so
            # only the other zones still need them.
            self._refresh_updates(now_s=now_s)
            outgoing += self._digests(now_s=now_s, wall_ms=wall_ms)
        return outgoing

    def _receive_digest(
        self, digest: ZoneDigest, *, now_s: float, wall_ms: int
    ) -> list[Outgoing]:
        self._table.merge_digest(digest, now_s=now_s)
        self._contact_selector.add_contacts(digest.contacts)
        for summary in digest.nodes:
            self._check_revision(
                summary.node_id,
                _peer_address(summary.address, zone=digest.zone),
                summary.configuration_revision,
                now_s=now_s,
            )
        has_updates = self._receive_updates(digest, now_s=now_s)
        outgoing = self._forwarded_digests(digest, now_s=now_s, wall_ms=wall_ms)
        if has_updates and now_s - self._heartbeats_sent_s >= MIN_UNSCHEDULED_GAP_S:
            self._refresh_updates(now_s=now_s)
            outgoing += self._heartbeats(now_s=now_s, wall_ms=wall_ms)
        return outgoing

    def _refresh_state(self) -> None:
        state = self._state_provider()
        if self._is_leaving:
            state = attrs.evolve(state, phase=NodePhase.DRAINING)
        self._builder.state = state

    def _check_revision(
        self, node_id: str, address: PeerAddress, revision: int, *, now_s: float
    ) -> None:
        if revision <= self._builder.state.configuration_revision:
            return
        is_due = now_s - self._reported_revision_s >= REVISION_REPORT_INTERVAL_S
        if revision > self._reported_revision or is_due:
            self._reported_revision = max(revision, self._reported_revision)
            self._reported_revision_s = now_s
            self._listener.on_configuration_revision(node_id, address, revision)

    def _check_local_leaving(self) -> None:
        if self._table.is_leaving() and not self._is_leaving:
            self._record(kind="own_node_leaving", subject=self._identity.node_id)
            self._listener.on_local_node_leaving()
            self.leave()

    def _receive_signal(self, node_id: str, signal: EndpointSignal) -> None:
        if signal.kind is EndpointSignalKind.LEAVING:
            # The id may be a node's: endpoint signals also announce leaving entry VMs.
            self._table.mark_leaving(signal.endpoint_id)
            self._check_local_leaving()
        self._listener.on_endpoint_signal(node_id, signal)

    def _receive_updates(
        self, message: Heartbeat | ZoneDigest, *, now_s: float
    ) -> bool:
        reports = self._crash_reports.add(message.crash_reports, now_s=now_s)
        signals = self._endpoint_signals.add(message.endpoint_signals, now_s=now_s)
        if reports:
            self._listener.on_crash_reports(reports)
        for signal in signals:
            self._receive_signal(message.node_id, signal)
        return bool(reports or signals)

    def _heartbeats(self, *, now_s: float, wall_ms: int) -> list[Outgoing]:
        self._heartbeats_sent_s = now_s
        statuses = self._other_statuses(now_s=now_s)
        local_zone_receivers = self._contact_selector.local_zone_receivers(statuses)
        outgoing = self._heartbeat(
            local_zone_receivers,
            local_zone_nodes=len(local_zone_receivers),
            wall_ms=wall_ms,
        )
        probe_targets = self._contact_selector.probe_targets(statuses)
        outgoing += self._heartbeat(
            probe_targets[:MAX_DIGEST_REQUESTS],
            local_zone_nodes=len(local_zone_receivers),
            wall_ms=wall_ms,
            wants_reply=True,
        )
        return outgoing + self._heartbeat(
            probe_targets[MAX_DIGEST_REQUESTS:],
            local_zone_nodes=len(local_zone_receivers),
            wall_ms=wall_ms,
        )

    def _heartbeat(
        self,
        receivers: Sequence[PeerAddress],
        *,
        local_zone_nodes: int,
        wall_ms: int,
        wants_reply: bool = False,
    ) -> list[Outgoing]:
        if not receivers:
            return []
        heartbeat = self._builder.heartbeat(
            local_zone_nodes=local_zone_nodes,
            updates=self._updates,
            wall_ms=wall_ms,
            wants_reply=wants_reply,
        )
        return self._encoded(heartbeat, receivers)

    def _digests(self, *, now_s: float, wall_ms: int) -> list[Outgoing]:
        self._digests_sent_s = now_s
        statuses = self._other_statuses(now_s=now_s)
        senders = [self._identity.node_id]
        senders += [
            s.node_id for s in statuses if self._builder.is_live_in_local_zone(s)
        ]
        outgoing = []
        for zone in self._other_zones(statuses):
            chosen = digest_senders(senders, zone=self._identity.zone, other_zone=zone)
            if self._identity.node_id not in chosen:
                continue
            receivers = self._contact_selector.digest_receivers(statuses, zone=zone)
            if receivers:
                digest = self._digest(
                    statuses, contacts=(), now_s=now_s, wall_ms=wall_ms
                )
                rank = chosen.index(self._identity.node_id)
                outgoing += self._encoded(digest, [receivers[rank % len(receivers)]])
        return outgoing

    def _other_zones(self, statuses: Sequence[NodeStatus]) -> list[str]:
        zones = {status.zone for status in statuses}
        zones.update(self._table.zones.other_zones)
        return sorted(zones - {self._identity.zone})

    def _replies(
        self, to: PeerAddress, *, zone: str, now_s: float, wall_ms: int
    ) -> list[Outgoing]:
        """Return digests with the addresses that a joining node needs."""
        statuses = self._other_statuses(now_s=now_s)
        digest = self._digest(
            statuses,
            contacts=self._contact_selector.contacts(statuses, zone=zone),
            now_s=now_s,
            wall_ms=wall_ms,
        )
        if zone != self._identity.zone:
            return self._encoded(digest, [to])
        outgoing = []
        for page in self._builder.pages(digest, statuses):
            outgoing += self._encoded(page, [to])
        return outgoing

    def _forwarded_digests(
        self, digest: ZoneDigest, *, now_s: float, wall_ms: int
    ) -> list[Outgoing]:
        """Forward another zone's digest to the nodes of the local zone if it is due."""
        is_direct = digest.age_ms == 0 and digest.zone != self._identity.zone
        if not is_direct or not self._is_forward_due(digest, now_s=now_s):
            return []
        forwarded = self._builder.forwarded(digest, wall_ms=wall_ms)
        return self._encoded(
            forwarded,
            self._contact_selector.local_zone_receivers(
                self._other_statuses(now_s=now_s)
            ),
        )

    def _is_forward_due(self, digest: ZoneDigest, *, now_s: float) -> bool:
        key = _DigestKey(
            configuration_revision=digest.configuration_revision,
            live_nodes=digest.live_nodes,
            draining=frozenset(
                node.node_id
                for node in digest.nodes
                if node.phase is NodePhase.DRAINING
            ),
        )
        forward = self._forwards_by_zone.get(digest.zone)
        if (
            forward
            and forward.key == key
            and now_s - forward.sent_s < FORWARD_INTERVAL_S
        ):
            return False
        self._forwards_by_zone[digest.zone] = _Forward(key=key, sent_s=now_s)
        return True

    def _digest(
        self,
        statuses: Sequence[NodeStatus],
        *,
        contacts: Sequence[PeerAddress],
        now_s: float,
        wall_ms: int,
    ) -> ZoneDigest:
        return self._builder.digest(
            statuses,
            contacts=contacts,
            updates=self._updates,
            now_s=now_s,
            wall_ms=wall_ms,
        )

    def _refresh_updates(self, *, now_s: float) -> None:
        """Choose the updates of the next messages.

        Call it only before sending: each chosen update counts as sent.
        """
        self._updates = RecentUpdates(
            crash_reports=self._crash_reports.next_batch(now_s=now_s),
            endpoint_signals=self._endpoint_signals.next_batch(now_s=now_s),
        )

    def _report_changes(self, *, now_s: float) -> None:
        statuses = self._other_statuses(now_s=now_s)
        for status in statuses:
            before = self._liveness_by_id.get(status.node_id)
            if before is not status.liveness:
                self._record(
                    kind=f"node_{status.liveness}",
                    subject=status.node_id,
                    detail=f"was {before or 'unknown'}",
                )
                self._listener.on_node_changed(status)
        self._liveness_by_id = {s.node_id: s.liveness for s in statuses}

    def _local_status(self) -> NodeStatus:
        is_leaving = self._builder.state.phase is NodePhase.DRAINING
        return NodeStatus(
            node_id=self._identity.node_id,
            zone=self._identity.zone,
            region=self._identity.region,
            address=self._identity.address,
            incarnation=self._identity.incarnation,
            phase=self._builder.state.phase,
            liveness=NodeLiveness.LEAVING if is_leaving else NodeLiveness.LIVE,
            configuration_revision=self._builder.state.configuration_revision,
            age_ms=0,
        )

    def _encoded(
        self, message: Heartbeat | ZoneDigest, receivers: Iterable[PeerAddress]
    ) -> list[Outgoing]:
        data = encode_datagram(message, keys=self._keys)
        outgoing = [Outgoing(data=data, to=receiver) for receiver in receivers]
        self.counters.sent += len(outgoing)
        self.counters.sent_bytes += len(outgoing) * len(data)
        return outgoing

    def _record(self, *, kind: str, subject: str, detail: str = "") -> None:
        if self._time_line is not None:
            self._time_line.record(kind=kind, subject=subject, detail=detail)


def _peer_address(address: NodeAddress, *, zone: str) -> PeerAddress:
    return PeerAddress(host=address.host, port=address.peer_port, zone=zone)
