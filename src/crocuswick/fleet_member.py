"""Membership of a node in the fleet: heartbeats, peer snapshots and the VM list."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import attrs
import logbook
import pykka

from crocuswick.actor import Actor, Message
from crocuswick.dispatcher import Dispatcher
from crocuswick.nodes import (
    EndpointSignal,
    EndpointSignalKind,
    Membership,
    MembershipListener,
    NodePhase,
    NodeState,
    PeerAddress,
    PeerClient,
    PeerServer,
    SnapshotCache,
    SnapshotReply,
    SnapshotRequest,
    TimeLineReply,
    TimeLineRequest,
)
from crocuswick.vm_list import (
    VmKind,
    VmListClient,
    VmListPoller,
    entry_nodes,
    leaving_signals,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from crocuswick.configuration import ConfigurationStore
    from crocuswick.nodes import NodeStatus, PeerKeys
    from crocuswick.quarantine import CrashReport
    from crocuswick.settings import Settings
    from crocuswick.time_line import TimeLine, TimeLineEvent
    from crocuswick.vm_list import VmChange, VmListing

__all__ = ["FleetMember", "HeartbeatListener"]

logger = logbook.Logger(__name__)

SNAPSHOT_TIMEOUT_S = 1.0
SEED_TIMEOUT_S = 0.3
SEED_RETRY_S = 0.2
TIME_LINE_TIMEOUT_S = 1.0
STATE_TIMEOUT_S = 0.2


class SnapshotFetcher(Actor):
    """Fetches snapshots from other nodes and applies their contents."""

    @attrs.frozen(kw_only=True)
    class FetchFromSeeds(Message):
        """Fetch snapshots from the seeds until the node has a configuration."""

        addresses: tuple[PeerAddress, ...]

    @attrs.frozen(kw_only=True)
    class Fetch(Message):
        """Fetch a snapshot from a node that has a newer revision."""

        address: PeerAddress
        revision: int

    def __init__(
        self,
        *,
        client: PeerClient,
        configuration_store: ConfigurationStore,
        dispatcher: pykka.ActorRef,
        on_fleet_size: Callable[[int], None],
    ):
        super().__init__()
        self._client = client
        self._configuration_store = configuration_store
        self._dispatcher = dispatcher
        self._on_fleet_size = on_fleet_size

    def on_fetch_from_seeds(self, message: FetchFromSeeds) -> None:
        """Try the seeds in random order, and repeat while there is no configuration."""
        if self._configuration_store.current.revision > 0:
            return
        addresses = random.sample(message.addresses, len(message.addresses))
        if any(self._fetch(address, SEED_TIMEOUT_S) for address in addresses):
            return
        time.sleep(random.uniform(0.5, 1.5) * SEED_RETRY_S)
        self.actor_ref.tell(message)

    def on_fetch(self, message: Fetch) -> None:
        """Fetch the snapshot, unless this node has received the revision in the meantime."""
        if self._configuration_store.current.revision < message.revision:
            self._fetch(message.address, SNAPSHOT_TIMEOUT_S)

    def _fetch(self, address: PeerAddress, timeout_s: float) -> bool:
        request = SnapshotRequest(
            known_revision=self._configuration_store.current.revision
        )
        reply = self._client.request(address, request, timeout_s=timeout_s)
        if reply.is_err():
            return False
        snapshot = reply.ok_value
        if snapshot.crash_reports:
            self._dispatcher.tell(
                Dispatcher.CrashReportsReceived(reports=snapshot.crash_reports)
            )
        if snapshot.fleet_nodes:
            self._on_fleet_size(snapshot.fleet_nodes)
        if snapshot.configuration_revision == 0:
            return False
        adopted = self._configuration_store.adopt_snapshot(snapshot.configuration)
        if adopted.is_err():
            logger.warning("invalid snapshot from {}: {}", address, adopted.err_value)
        return adopted.is_ok()


class HeartbeatListener(MembershipListener):
    """Forwards changes received in heartbeats to the actors concerned."""

    def __init__(
        self,
        *,
        dispatcher: pykka.ActorRef,
        fetcher: pykka.ActorRef,
        on_leaving: Callable[[], None],
    ):
        self._dispatcher = dispatcher
        self._fetcher = fetcher
        self._on_leaving = on_leaving

    def on_configuration_revision(
        self, node_id: str, address: PeerAddress, revision: int
    ) -> None:
        """Fetch the newer configuration from the node that has it."""
        self._fetcher.tell(SnapshotFetcher.Fetch(address=address, revision=revision))

    def on_crash_reports(self, reports: Sequence[CrashReport]) -> None:
        """Record crashes that other nodes have observed."""
        self._dispatcher.tell(Dispatcher.CrashReportsReceived(reports=tuple(reports)))

    def on_endpoint_signal(self, node_id: str, signal: EndpointSignal) -> None:
        """Stop using a leaving endpoint; lost endpoints are detected by this node itself."""
        if signal.kind is EndpointSignalKind.LEAVING:
            self._dispatcher.tell(_leaving(signal))

    def on_local_node_leaving(self) -> None:
        """Start draining because the platform is about to remove this VM."""
        self._on_leaving()


class FleetMember:
    """Connects a node with the other nodes of the fleet.

    Args:
        settings: Settings of the node.
        keys: Keys that all nodes share.
        configuration_store: Provides the current configuration.
        dispatcher: Receives updates on endpoints, limits and quarantine.
        time_line: Time line of this node's events.
        phase: Returns the phase that the node reports in heartbeats.
        on_leaving: Called when the platform is about to remove the VM.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        keys: PeerKeys,
        configuration_store: ConfigurationStore,
        dispatcher: pykka.ActorRef,
        time_line: TimeLine,
        phase: Callable[[], NodePhase],
        on_leaving: Callable[[], None],
    ):
        self._settings = settings
        self._configuration_store = configuration_store
        self._dispatcher = dispatcher
        self._time_line = time_line
        self._phase = phase
        self._joined = False
        self._client = PeerClient(keys=keys)
        self._fetcher = SnapshotFetcher.start(
            client=self._client,
            configuration_store=configuration_store,
            dispatcher=dispatcher,
            on_fleet_size=lambda nodes: self.membership.set_reported_fleet_size(nodes),
        )
        self._snapshots = SnapshotCache.start(build=self._snapshot)
        nodes = settings.nodes
        self.membership = Membership(
            node_id=settings.node_id,
            zone=settings.zone,
            region=settings.region,
            host=nodes.host,
            port=settings.callers.port,
            peer_port=nodes.port,
            seeds=nodes.seeds,
            keys=keys,
            time_line=time_line,
            state_provider=self._state,
            listener=HeartbeatListener(
                dispatcher=dispatcher, fetcher=self._fetcher, on_leaving=on_leaving
            ),
        )
        self._server = PeerServer(host=nodes.host, port=nodes.port, keys=keys)
        self._server.register_handler(SnapshotRequest, self._snapshots.ask)
        self._server.register_handler(TimeLineRequest, self._time_line_reply)
        self._poller = self._new_poller()

    def start(self) -> None:
        """Join the fleet."""
        self._joined = True
        self._server.start()
        self.membership.start()
        self._fetcher.tell(
            SnapshotFetcher.FetchFromSeeds(addresses=self._other_seeds())
        )
        if self._poller is not None:
            self._poller.start()

    def stop(self) -> None:
        """Leave the fleet."""
        if self._poller is not None:
            self._poller.stop()
        self.membership.stop()
        self._server.stop()
        self._fetcher.stop(block=False)
        self._snapshots.stop(block=False)
        self._client.close()

    def nodes(self) -> tuple[NodeStatus, ...]:
        """Return the status of all known nodes."""
        return self.membership.nodes()

    def broadcast_crash_report(self, report: CrashReport) -> None:
        """Notify the other nodes of a request that crashed an endpoint."""
        self.membership.broadcast_crash_report(report)

    def collect_time_lines(self) -> tuple[TimeLineEvent, ...]:
        """Return the events of this node and of all reachable nodes."""
        events = list(self._time_line.since())
        for status in self.nodes():
            if status.node_id != self._settings.node_id:
                events += self._events_of(status)
        return tuple(events)

    def _events_of(self, status: NodeStatus) -> tuple[TimeLineEvent, ...]:
        address = PeerAddress(host=status.address.host, port=status.address.peer_port)
        reply = self._client.request(
            address, TimeLineRequest(), timeout_s=TIME_LINE_TIMEOUT_S
        )
        return reply.ok_value.events if reply.is_ok() else ()

    def _other_seeds(self) -> tuple[PeerAddress, ...]:
        nodes = self._settings.nodes
        own = PeerAddress(host=nodes.host, port=nodes.port)
        seeds = {
            PeerAddress.parse(seed, default_port=nodes.port) for seed in nodes.seeds
        }
        return tuple(seeds - {own})

    def _state(self) -> NodeState:
        """Return the state to report in heartbeats; runs on the membership's thread."""
        if self._joined:
            share = self.membership.fleet_share()
            self._dispatcher.tell(Dispatcher.SetFleetShare(share=share))
        try:
            demand = self._dispatcher.ask(
                Dispatcher.GetDemand(), timeout=STATE_TIMEOUT_S
            )
        except (pykka.Timeout, pykka.ActorDeadError):
            demand = ()
        return NodeState(
            phase=self._phase(),
            configuration_revision=self._configuration_store.current.revision,
            demand=demand,
        )

    def _snapshot(self) -> SnapshotReply:
        return SnapshotReply(
            configuration_revision=self._configuration_store.current.revision,
            configuration=self._configuration_store.snapshot(),
            crash_reports=self._dispatcher.ask(Dispatcher.GetCrashReports()),
            fleet_nodes=self.membership.fleet_share().fleet_nodes,
        )

    def _time_line_reply(self, request: TimeLineRequest) -> TimeLineReply:
        return TimeLineReply(
            node_id=self._settings.node_id,
            events=self._time_line.since(request.since),
        )

    def _new_poller(self) -> VmListPoller | None:
        vm_list = self._settings.vm_list
        if not vm_list.address:
            return None
        zone = self._settings.zone
        return VmListPoller(
            node_id=self._settings.node_id,
            client=VmListClient(address=vm_list.address),
            interval_s=vm_list.poll_interval_ms / 1000,
            live_node_ids=lambda: [
                status.node_id for status in self.membership.live_nodes(zone)
            ],
            on_list=self._on_list,
            time_line=self._time_line,
        )

    def _on_list(self, listing: VmListing, changes: tuple[VmChange, ...]) -> None:
        self.membership.apply_vm_list(entry_nodes(listing.vms))
        for signal in leaving_signals(changes):
            self.membership.broadcast_endpoint_signal(signal)
            self._dispatcher.tell(_leaving(signal))
        for change in changes:
            if change.vm.kind is VmKind.ENDPOINT and change.vm.state == "live":
                self._dispatcher.tell(
                    Dispatcher.SetLeaving(endpoint_id=change.vm.id, leaving=False)
                )


def _leaving(signal: EndpointSignal) -> Message:
    return Dispatcher.SetLeaving(endpoint_id=signal.endpoint_id, leaving=True)
