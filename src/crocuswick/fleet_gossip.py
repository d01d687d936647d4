"""Gossip of a fleet node: broadcasts its own changes and handles those of peers."""

from __future__ import annotations

import math
import threading
import time
from typing import TYPE_CHECKING, Any

from crocuswick.gossip.fleet_messages import FleetMessages
from crocuswick.gossip.messages import (
    CompressedRecords,
    FleetMessage,
    GossipMessage,
    KeptRecords,
    LeaseAcquired,
    LeaseReleased,
    NodeAddress,
    PromptComputed,
    PromptEnded,
    PromptPlaced,
    QuotaUsage,
    ReplicaCrashed,
    ReplicaLeaving,
    ReplicaLoading,
    RequestLost,
    RequestsAnswered,
    SmallPromptsSent,
    StoreReturned,
    TargetVersions,
    TopicEnds,
    TopicRecords,
    WeightsServed,
)
from crocuswick.gossip.peers import FORWARDERS, PROMPT_FORWARDERS, task_rank
from crocuswick.gossip.receiver_limits import max_receivers
from crocuswick.gossip.record_compression import compress_records, decompress_records
from crocuswick.gossip.service import (
    MANY_NEIGHBOURS,
    MANY_NEIGHBOURS_TICKS,
    TICK_S,
    GossipService,
)
from crocuswick.gossip.transport import GossipTransport
from crocuswick.records.mirror import KeyedRecord, TopicUpdate
from crocuswick.records.position import era_of
from crocuswick.records.record_cache import RecordCache
from crocuswick.relay import dispatcher_messages
from crocuswick.relay.replica import Availability
from crocuswick.rollouts.driver import RolloutDriver

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import pykka

    from crocuswick.actor import Message
    from crocuswick.decision_log import DecisionLog
    from crocuswick.fleet_metrics import FleetMetrics
    from crocuswick.fleet_settings import FleetBounds, FleetSettings
    from crocuswick.quota.quota_gate import QuotaGate
    from crocuswick.records.store_era import StoreEra

__all__ = ["FleetGossip", "is_urgent"]

STALE_READ_S = 1.0
"""A peer whose last read of a topic is older than this is sent the records that it
lacks. A peer that reads the topic itself does so more often."""

OUTAGE_AFTER_S = 2.2
"""Time without a read by any known reader that counts as a store outage. In a sound fleet
some node reads earlier (`READ_TAKEOVER_S`), and entries of replicas lapse later."""

RECENT_OUTAGE_S = 3.0
"""Time after a store outage for which nodes that start are told of it."""

NEW_NODE_S = 3.0
"""Time after its start in which a node believes peers that the store was out. Later it
has read the store itself, and a peer that was cut off would mislead it."""

READ_TAKEOVER_S = 1.5
"""A node reads a topic itself if the last read by any known reader is older than this."""

READ_TAKEOVER_SHARE = 0.75
"""The same as a share of the time within which records must be known, where that is less.
The node notices the age of the last read up to 0.25 s later."""

READ_MARGIN_S = 0.1
"""Time for a read of the store and for the message about it to arrive."""

MIN_READ_WAIT_S = 0.1

SUPPLIERS = 2
"""Nodes of each zone that send a peer the records that it lacks."""

MAX_PROMPT_NODES = 256
"""Largest fleet in which all nodes are sent the messages about large prompts; the work
that they cause grows with the fleet. In a larger one, the neighbours are sent them."""

PROMPT_MESSAGES = (PromptPlaced, PromptComputed, PromptEnded)
UNORDERED_MESSAGES = (ReplicaCrashed, ReplicaLeaving, RequestsAnswered)
"""Messages that no other undoes, so that each is handled whatever arrives before it."""

PROMPT_STREAM = "p"
"""Name of the stream of fleet messages about large prompts."""

QUOTA_STREAM = "q"
"""Name of the stream of fleet messages about quotas."""

QUOTA_FORWARDERS = 1
"""Nodes of each other zone to which a report on quotas is sent. Each report goes to the
next one, and contains what a lost one did."""

ENDS_CACHE_S = 0.1
"""Time for which the end positions of the record cache are reused when a peer's positions are
compared with them. In the worst case, a peer is sent records that it already has."""

_handlers_by_type: dict[type, Callable[[FleetGossip, Any, str], None]] = {}


def handles(message_type: type) -> Callable:
    """Register the method that handles a type of gossip message."""

    def register(method: Callable) -> Callable:
        _handlers_by_type[message_type] = method
        return method

    return register


class FleetGossip:
    """Broadcasts this node's changes to its peers and handles theirs.

    Args:
        settings: Settings of the node.
        record_cache: Cache of the store's records.
        dispatcher: Dispatcher of requests.
        log: Log of decisions.
        metrics: Counts the messages that are sent.
        on_engine_active: Called with the incarnation of an engine that has sent a peer
            the first event of an answer.
        topics: Topics whose reading is shared among the nodes of a zone.
        zonal_topic: Topic whose records are sent within the zone only.
        era: The store's era; later eras that peers know of are reported to it.
    """

    def __init__(
        self,
        *,
        settings: FleetSettings,
        record_cache: pykka.ActorRef,
        dispatcher: pykka.ActorRef,
        log: DecisionLog,
        metrics: FleetMetrics,
        on_engine_active: Callable[[str], None],
        topics: tuple[str, ...],
        zonal_topic: str,
        era: StoreEra,
    ):
        self._record_cache = record_cache
        self._log = log
        self._dispatcher = dispatcher
        self._on_engine_active = on_engine_active
        self._driver: pykka.ActorRef | None = None
        self._quotas: QuotaGate | None = None
        self._topics = topics
        self._zonal_topic = zonal_topic
        self._takeover_s = _takeover_s(settings.bounds)
        self._era = era
        era.on_step(self._on_era_step)
        self._read_s_by_topic = dict.fromkeys(topics, float("-inf"))
        self._outage_ended_s_by_topic: dict[str, float] = {}
        self._started_s = time.monotonic()
        self._topics_read: set[str] = set()
        """Topics that this node reads now."""

        self._ends_by_topic: dict[str, int] = {}
        self._ends_s = float("-inf")
        self._lock = threading.Lock()
        self.own = NodeAddress(
            node_id=settings.node_id,
            zone=settings.zone,
            address=settings.peers_address,
        )
        self._live = frozenset({self.own})
        self._known_count = 1
        self._fleet_messages = FleetMessages(own=self.own)
        self._publish_lock = threading.Lock()
        self._deliveries: list[Message] = []
        """Messages for the dispatcher, from the batch that the gossip service handles."""

        self._is_batch = threading.local()
        self._transport = GossipTransport(
            address=settings.peers_address,
            on_messages=lambda messages: self._gossip_service.tell(
                GossipService.ReceivedBatch(messages=messages)
            ),
            on_closed=lambda connection: self._gossip_service.tell(
                GossipService.Closed(connection=connection)
            ),
            max_receivers=max_receivers(settings.max_descriptors),
        )
        self._gossip_service = GossipService.start(
            own=self.own,
            seeds=settings.seeds,
            ends=self._topic_ends,
            initial_messages=self._initial_messages,
            open_link=self._transport.open_link,
            on_message=self._on_peer_message,
            on_batch_end=self._flush_deliveries,
            on_peers=self._on_peers,
            on_sent=metrics.observe_gossip,
            log=log,
        )

    @property
    def live_nodes(self) -> int:
        """Number of live nodes, including this one."""
        return len(self._live)

    @property
    def known_nodes(self) -> int:
        """Number of known nodes, including this one."""
        return self._known_count

    def start(self) -> None:
        """Start receiving and sending."""
        self._transport.start()
        self.tick()

    def stop(self) -> None:
        """Close the listening port and the connections to peers."""
        self._transport.stop()
        self._gossip_service.stop(block=False)

    def tick(self) -> None:
        """Exchange messages with the peers; to be called every `TICK_S`."""
        self._gossip_service.tell(GossipService.Tick())

    def broadcast(
        self, gossip: GossipMessage, *, is_zonal: bool = False, is_urgent: bool = True
    ) -> None:
        """Broadcast a message to the neighbours, or to the fleet if all need it.

        Args:
            gossip: The message.
            is_zonal: Whether it is sent to nodes of the own zone only.
            is_urgent: Whether it is sent at once rather than with the next urgent one.
        """
        if self._is_for_fleet(gossip):
            self._broadcast_to_fleet(gossip)
            return
        # In a large fleet, small prompts would reach few nodes of each other zone, which
        # seldom use the engines of this one for theirs. Lost requests need to be known to
        # some nodes only.
        self._gossip_service.tell(
            GossipService.Send(
                gossip=gossip,
                is_zonal=is_zonal,
                is_zonal_in_large_fleets=isinstance(
                    gossip, SmallPromptsSent | RequestLost
                ),
                is_urgent=is_urgent,
            )
        )

    def publish(self, gossip: GossipMessage) -> None:
        """Handle a message as if a peer had sent it, and send it to the whole fleet."""
        self._on_message(gossip, self.own.node_id)
        self._broadcast_to_fleet(gossip)

    def _is_for_fleet(self, gossip: GossipMessage) -> bool:
        if isinstance(gossip, PROMPT_MESSAGES):
            return self._known_count <= MAX_PROMPT_NODES
        return isinstance(gossip, (QuotaUsage, *UNORDERED_MESSAGES))

    def _broadcast_to_fleet(self, gossip: GossipMessage) -> None:
        if isinstance(gossip, UNORDERED_MESSAGES):
            with self._publish_lock:
                wrapped = self._fleet_messages.wrap_unordered(gossip)
            self._gossip_service.tell(GossipService.SendToFleet(gossip=wrapped))
            return
        if isinstance(gossip, QuotaUsage):
            self._broadcast_usage(gossip)
            return
        is_prompt = isinstance(gossip, PROMPT_MESSAGES)
        # Receivers discard a message that is sent after one with a higher number.
        with self._publish_lock:
            self._gossip_service.tell(
                GossipService.SendToFleet(
                    gossip=self._fleet_messages.wrap(
                        gossip, stream=PROMPT_STREAM if is_prompt else ""
                    ),
                    forwarders=PROMPT_FORWARDERS if is_prompt else FORWARDERS,
                    is_urgent=is_urgent(gossip),
                )
            )

    def _broadcast_usage(self, usage: QuotaUsage) -> None:
        with self._publish_lock:
            wrapped = self._fleet_messages.wrap(usage, stream=QUOTA_STREAM)
        self._gossip_service.tell(
            GossipService.SendToFleet(
                gossip=wrapped, forwarders=QUOTA_FORWARDERS, rotation=usage.number
            )
        )

    def apply_settings(self, settings: FleetSettings) -> None:
        """Apply changed seeds and bounds."""
        self._takeover_s = _takeover_s(settings.bounds)
        self._gossip_service.tell(GossipService.SetSeeds(seeds=settings.seeds))

    def set_driver(self, driver: pykka.ActorRef) -> None:
        """Set the rollout driver, which is notified of other nodes' use of the order lease."""
        self._driver = driver

    def set_quotas(self, quotas: QuotaGate) -> None:
        """Set the gate that takes in the reports of peers on quotas."""
        self._quotas = quotas

    def broadcast_records(self, update: TopicUpdate) -> None:
        """Broadcast records that are new at this node."""
        self._gossip_service.tell(
            GossipService.SendRecords(
                records=compress_records(_topic_records(update)),
                is_zonal=update.topic == self._zonal_topic,
            )
        )

    def add_nodes(self, addresses: tuple[NodeAddress, ...]) -> None:
        """Add node addresses that were read from the store."""
        self._gossip_service.tell(GossipService.AddAddresses(addresses=addresses))

    def record_read(self, topic: str) -> None:
        """Record that this node has just read a topic."""
        self._update_last_read(topic, time.monotonic())

    def outage_ended_s(self, topic: str) -> float:
        """Return when a topic was first read again after its last outage.

        Args:
            topic: Name of the topic.

        Returns:
            Monotonic time in seconds, minus infinity if there was no outage.
        """
        return self._outage_ended_s_by_topic.get(topic, float("-inf"))

    def is_reader(self, topic: str) -> bool:
        """Return whether this node should read a topic now.

        One node in each zone reads it and broadcasts the records. A node that has
        not been notified of a read for too long reads the topic itself.
        """
        age_s = time.monotonic() - self._read_s_by_topic[topic]
        rank = self.rank(topic, zone=self.own.zone)
        is_reader = age_s > self._takeover_s or rank == 0
        if is_reader != (topic in self._topics_read):
            self._topics_read ^= {topic}
            self._log.record_state(
                "topic reader changed",
                topic=topic,
                reads=is_reader,
                rank=rank,
                last_read_ms=None if math.isinf(age_s) else round(age_s * 1000),
            )
        return is_reader

    def read_wait_s(self, pause_s: float) -> float:
        """Return how long a read of the store may wait so that no other node takes over.

        Args:
            pause_s: Pause between reads.
        """
        has_many_neighbours = self._known_count - 1 > MANY_NEIGHBOURS
        ticks = MANY_NEIGHBOURS_TICKS if has_many_neighbours else 1
        told_after_s = TICK_S * ticks + ENDS_CACHE_S + READ_MARGIN_S
        return max(MIN_READ_WAIT_S, self._takeover_s - told_after_s - pause_s)

    def rank(self, task: str, *, zone: str | None = None) -> int:
        """Return this node's rank among the live nodes for a task, 0 for the first.

        Args:
            task: Name of the task.
            zone: Zone whose nodes share it, None for all zones.
        """
        members = [node.node_id for node in self._live if zone in (None, node.zone)]
        return task_rank(task, self.own.node_id, members)

    def _topic_ends(self) -> TopicEnds:
        now_s = time.monotonic()
        known = self._record_cache.ask(RecordCache.Ends())
        ages_ms = {
            topic: round((now_s - read_s) * 1000)
            for topic, read_s in self._read_s_by_topic.items()
            if read_s > 0
        }
        return TopicEnds(
            ends_by_topic={topic: known.get(topic, -1) for topic in self._topics},
            ages_ms_by_topic=ages_ms,
        )

    def _initial_messages(self, receiver: str) -> list[GossipMessage]:
        """Return messages whose content a newly started node can't read from the store.

        Args:
            receiver: Address of the node.
        """
        evidence = dispatcher_messages.GetCrashEvidence(
            with_recent=self._supplies(receiver)
        )
        return [
            self._dispatcher.ask(dispatcher_messages.GetTargetVersions()),
            *self._dispatcher.ask(evidence),
            *self._kept_records(),
            *self._recent_outages(),
        ]

    def _recent_outages(self) -> list[StoreReturned]:
        now_s = time.monotonic()
        with self._lock:
            ended_s_by_topic = dict(self._outage_ended_s_by_topic)
        ages_ms = {
            topic: round((now_s - ended_s) * 1000)
            for topic, ended_s in ended_s_by_topic.items()
            if now_s - ended_s < RECENT_OUTAGE_S
        }
        return [StoreReturned(ages_ms_by_topic=ages_ms)] if ages_ms else []

    def _kept_records(self) -> list[KeptRecords]:
        if self._era.current == 0:
            return []
        kept_by_topic = {
            topic: self._record_cache.ask(RecordCache.Kept(topic=topic))
            for topic in self._topics
        }
        return [
            KeptRecords(topic=topic, records=_record_fields(records))
            for topic, records in kept_by_topic.items()
            if records
        ]

    def _on_era_step(self, era: int) -> None:
        """Treat the store's return from an older copy as the end of an outage."""
        now_s = time.monotonic()
        with self._lock:
            for topic in self._topics:
                self._outage_ended_s_by_topic[topic] = now_s
        self._log.record_state("store returned from an older copy", era=era)

    def _on_peers(self, live: frozenset[NodeAddress], known_count: int) -> None:
        self._live = live
        self._known_count = known_count
        # Only neighbours are seen to be live; all nodes share the retry allowance.
        self._dispatcher.tell(
            dispatcher_messages.SetFleetSize(count=known_count, heard_count=len(live))
        )
        if self._quotas is not None:
            self._quotas.set_known_nodes(known_count)

    def _on_peer_message(self, gossip: GossipMessage, sender: str) -> None:
        """Handle a message on the thread of the gossip service."""
        self._is_batch.value = True
        self._on_message(gossip, sender)

    def _deliver(self, message: Message) -> None:
        """Pass a message to the dispatcher, together with others from its batch."""
        if getattr(self._is_batch, "value", False):
            self._deliveries.append(message)
        else:
            self._dispatcher.tell(message)

    def _flush_deliveries(self) -> None:
        deliveries, self._deliveries = self._deliveries, []
        if len(deliveries) == 1:
            self._dispatcher.tell(deliveries[0])
        elif deliveries:
            self._dispatcher.tell(dispatcher_messages.Batch(messages=deliveries))

    def _on_message(self, gossip: GossipMessage, sender: str) -> None:
        handler = _handlers_by_type.get(type(gossip))
        if handler is not None:
            handler(self, gossip, sender)

    @handles(FleetMessage)
    def on_fleet_message(self, wrapped: FleetMessage, _sender: str) -> None:
        """Handle a message for the whole fleet, and forward it if it must be."""
        gossip = self._fleet_messages.unwrap(wrapped)
        if gossip is None:
            return
        forwarded = self._fleet_messages.to_forward(wrapped)
        if forwarded is not None:
            self.broadcast(forwarded, is_zonal=True, is_urgent=is_urgent(gossip))
        self._on_message(gossip, wrapped.origin)

    @handles(TopicEnds)
    def on_topic_ends(self, gossip: TopicEnds, sender: str) -> None:
        """Record when a peer last read each topic, and send it the records that it lacks."""
        now_s = time.monotonic()
        newest_era = max(map(era_of, gossip.ends_by_topic.values()), default=0)
        if newest_era > self._era.current:
            self._era.report(newest_era)
        known = self._known_ends(now_s)
        for topic in self._topics:
            end = gossip.ends_by_topic.get(topic, -1)
            age_s = gossip.ages_ms_by_topic.get(topic, math.inf) / 1000
            own_end = known.get(topic, -1)
            # While this node lacks records that the peer has, the peer's read doesn't
            # count, so that this node reads the topic itself if they don't arrive.
            if own_end >= end and topic in gossip.ages_ms_by_topic:
                self._update_last_read(topic, now_s - age_s)
            lacks_records = own_end > end and (age_s > STALE_READ_S or end < 0)
            if lacks_records and self._supplies(sender):
                self._send_missing(topic, end, sender)

    def _supplies(self, peer: str) -> bool:
        """Whether this node is one of those in its zone that send a peer what it lacks.

        Copies from all neighbours would fill the link of a peer that starts or lags.

        Args:
            peer: Id or address of the peer.
        """
        suppliers = {
            node.node_id
            for node in self._live
            if node.zone == self.own.zone and peer not in (node.node_id, node.address)
        }
        # Peers in other zones choose their neighbours here by the same ranks.
        return task_rank(peer, self.own.node_id, suppliers) < SUPPLIERS

    def _known_ends(self, now_s: float) -> dict[str, int]:
        """Return this node's end positions of the topics, at most `ENDS_CACHE_S` old."""
        if now_s - self._ends_s > ENDS_CACHE_S:
            self._ends_by_topic = self._record_cache.ask(RecordCache.Ends())
            self._ends_s = now_s
        return self._ends_by_topic

    def _update_last_read(self, topic: str, read_s: float) -> None:
        with self._lock:
            before_s = self._read_s_by_topic[topic]
            if read_s <= before_s:
                return
            self._read_s_by_topic[topic] = read_s
            # The first read after a start tells nothing about the time before.
            is_first = math.isinf(before_s)
            if not is_first and read_s - before_s > OUTAGE_AFTER_S:
                self._outage_ended_s_by_topic[topic] = read_s

    def _send_missing(self, topic: str, end: int, node_id: str) -> None:
        update = self._record_cache.ask(
            RecordCache.Since(topic=topic, position=max(0, end))
        )
        self._gossip_service.tell(
            GossipService.SendTo(
                node_id=node_id, gossip=compress_records(_topic_records(update))
            )
        )

    @handles(CompressedRecords)
    def on_compressed_records(self, gossip: CompressedRecords, sender: str) -> None:
        """Decompress records and merge them into the record cache."""
        decompressed = decompress_records(gossip, sender)
        if decompressed.is_err():
            self._log.record_state(
                "records ignored", topic=gossip.topic, error=str(decompressed.err_value)
            )
            return
        self.on_topic_records(decompressed.ok_value, sender)

    @handles(TopicRecords)
    def on_topic_records(self, gossip: TopicRecords, _sender: str) -> None:
        """Merge records into the record cache."""
        records = tuple(
            KeyedRecord(key=key, position=offset, value=value)
            for key, offset, value in gossip.records
        )
        update = TopicUpdate(
            topic=gossip.topic, records=records, end=gossip.end, start=gossip.start
        )
        self._record_cache.tell(RecordCache.Merge(update=update))

    @handles(KeptRecords)
    def on_kept_records(self, gossip: KeptRecords, _sender: str) -> None:
        """Merge records that the store has lost."""
        records = tuple(
            KeyedRecord(key=key, position=position, value=value)
            for key, position, value in gossip.records
        )
        self._record_cache.tell(
            RecordCache.MergeKept(topic=gossip.topic, records=records)
        )

    @handles(StoreReturned)
    def on_store_returned(self, gossip: StoreReturned, _sender: str) -> None:
        """Record an outage that ended before this node had read the store."""
        now_s = time.monotonic()
        if now_s - self._started_s > NEW_NODE_S:
            return
        with self._lock:
            for topic in self._topics:
                age_ms = gossip.ages_ms_by_topic.get(topic)
                if age_ms is not None:
                    ended_s = max(self.outage_ended_s(topic), now_s - age_ms / 1000)
                    self._outage_ended_s_by_topic[topic] = ended_s

    @handles(PromptPlaced)
    def on_prompt_placed(self, gossip: PromptPlaced, _sender: str) -> None:
        """Count a large prompt that a peer has sent as load of its replica."""
        self._deliver(dispatcher_messages.PeerPromptSent(placed=gossip))

    @handles(QuotaUsage)
    def on_quota_usage(self, gossip: QuotaUsage, sender: str) -> None:
        """Take in what a peer has admitted of the quotas."""
        if self._quotas is not None:
            self._quotas.receive(gossip, sender)

    @handles(SmallPromptsSent)
    def on_small_prompts_sent(self, gossip: SmallPromptsSent, _sender: str) -> None:
        """Record which segments a peer's small prompts share."""
        self._deliver(dispatcher_messages.PeerSmallPrompts(prompts=gossip))

    @handles(PromptComputed)
    def on_prompt_computed(self, gossip: PromptComputed, _sender: str) -> None:
        """Record that a peer's prompt has been computed."""
        self._on_engine_active(gossip.incarnation)
        self._deliver(
            dispatcher_messages.PromptComputed(
                request_id=gossip.request_id, incarnation=gossip.incarnation
            )
        )

    @handles(PromptEnded)
    def on_prompt_ended(self, gossip: PromptEnded, _sender: str) -> None:
        """Record that a peer's request has ended."""
        self._deliver(
            dispatcher_messages.PeerRequestEnded(
                request_id=gossip.request_id, incarnation=gossip.incarnation
            )
        )

    @handles(ReplicaCrashed)
    def on_replica_crashed(self, gossip: ReplicaCrashed, _sender: str) -> None:
        """Record a request that may have crashed a replica."""
        self._deliver(dispatcher_messages.PeerCrash(crashed=gossip))

    @handles(RequestLost)
    def on_request_lost(self, gossip: RequestLost, _sender: str) -> None:
        """Record a request that a peer has lost at a replica that may have crashed."""
        self._deliver(dispatcher_messages.PeerLoss(lost=gossip))

    @handles(RequestsAnswered)
    def on_segments_answered(self, gossip: RequestsAnswered, _sender: str) -> None:
        """Record that requests with some prompt segments are answered."""
        self._deliver(dispatcher_messages.PeerAnswers(answered=gossip))

    @handles(ReplicaLeaving)
    def on_replica_leaving(self, gossip: ReplicaLeaving, _sender: str) -> None:
        """Send no new requests to a replica that leaves."""
        self._deliver(
            dispatcher_messages.AvailabilityChanged(
                incarnation=gossip.incarnation,
                availability=Availability(is_leaving=True),
                is_from_peer=True,
            )
        )

    @handles(ReplicaLoading)
    def on_replica_loading(self, gossip: ReplicaLoading, sender: str) -> None:
        """Stop sending requests to a replica that loads weights."""
        self._notify_driver(RolloutDriver.HolderActive(node_id=sender), sender)
        self._deliver(
            dispatcher_messages.ReplicaLoading(
                incarnation=gossip.incarnation, duration_s=gossip.for_ms / 1000
            )
        )

    @handles(WeightsServed)
    def on_weights_served(self, gossip: WeightsServed, _sender: str) -> None:
        """Record the weights that a replica serves."""
        self._deliver(
            dispatcher_messages.WeightsServed(
                incarnation=gossip.incarnation,
                model=gossip.model,
                version=gossip.version,
            )
        )

    @handles(TargetVersions)
    def on_target_versions(self, gossip: TargetVersions, _sender: str) -> None:
        """Record the target versions and their ages."""
        for model, version, age_ms in gossip.versions:
            self._deliver(
                dispatcher_messages.SetTargetVersion(
                    model=model, version=version, age_s=age_ms / 1000
                )
            )

    @handles(LeaseReleased)
    def on_lease_released(self, gossip: LeaseReleased, sender: str) -> None:
        """Record that the holder of the order lease has released it."""
        age_ms = gossip.last_order_age_ms
        message = RolloutDriver.HolderReleased(
            node_id=sender,
            token=gossip.token,
            last_order_age_s=None if age_ms is None else age_ms / 1000,
        )
        self._notify_driver(message, sender)

    @handles(LeaseAcquired)
    def on_lease_acquired(self, gossip: LeaseAcquired, sender: str) -> None:
        """Record that another node has acquired the order lease."""
        message = RolloutDriver.HolderActive(
            node_id=sender,
            next_order_in_s=gossip.usable_in_ms / 1000,
            token=gossip.token,
        )
        self._notify_driver(message, sender)

    def _notify_driver(self, message: Message, sender: str) -> None:
        if self._driver is not None and sender != self.own.node_id:
            self._driver.tell(message)


def is_urgent(gossip: GossipMessage) -> bool:
    """Return whether peers need a message at once.

    A request that has ended adds little to the load that peers assume: its prompt has been
    computed, which they know, or it is placed again with a message that is urgent.
    """
    return not isinstance(gossip, PromptEnded)


def _takeover_s(bounds: FleetBounds) -> float:
    """Return the age of the last known read at which a node reads a topic itself."""
    known_within_ms = min(bounds.departure_ms, bounds.configuration_ms)
    return min(READ_TAKEOVER_S, READ_TAKEOVER_SHARE * known_within_ms / 1000)


def _topic_records(update: TopicUpdate) -> TopicRecords:
    return TopicRecords(
        topic=update.topic,
        start=update.start,
        end=update.end,
        records=_record_fields(update.records),
    )


def _record_fields(records: Iterable[KeyedRecord]) -> list[list[Any]]:
    return [[record.key, record.position, record.value] for record in records]
