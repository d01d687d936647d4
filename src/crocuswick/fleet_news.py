"""A fleet node's part in the exchange of news with its peers."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from crocuswick.actor import Ticker
from crocuswick.news.exchange import TICK_S, GossipService
from crocuswick.news.messages import (
    Crashed,
    LeaseAcquired,
    LeaseReleased,
    News,
    NodeAddress,
    PartsUsed,
    PromptBegun,
    PromptEnded,
    PromptPlaced,
    ReplicaLoading,
    TopicEnds,
    TopicRecords,
    WeightsNews,
    WeightsServed,
)
from crocuswick.news.peers import duty_rank
from crocuswick.news.server import GossipServer
from crocuswick.records.keeper import RecordCache
from crocuswick.records.mirror import KeyedRecord, TopicUpdate
from crocuswick.relay import dispatcher_messages
from crocuswick.rollouts.driver import RolloutDriver

if TYPE_CHECKING:
    from collections.abc import Callable

    import pykka

    from crocuswick.actor import Message
    from crocuswick.decision_log import DecisionLog
    from crocuswick.fleet_settings import FleetSettings

__all__ = ["FleetGossip"]

STALE_READ_S = 1.0
"""Age of a peer's last read from which it is sent what it lacks; a reader reads its
topic more often than that."""

OUTAGE_AFTER_S = 2.2
"""Time without a read by any known reader that counts as an outage; readers read at
least each 1.9 s, and replicas' entries last about as long."""

READ_TAKEOVER_S = 2.5
"""Age of the last read by any known reader from which a node reads for itself."""

ENDS_CACHE_S = 0.1
"""Age of what the mirror holds with which a peer's message is compared; a peer that
seems to lack records is sent them once more at worst."""

_handlers_by_type: dict[type, Callable[[FleetGossip, Any, str], None]] = {}


def handles(news_type: type) -> Callable:
    """Register the method that handles a type of news."""

    def register(method: Callable) -> Callable:
        _handlers_by_type[news_type] = method
        return method

    return register


class FleetGossip:
    """Tells peers what this node learns and takes what they tell.

    Args:
        settings: Settings of the node.
        record_cache: Mirror of the store's records.
        dispatcher: Where requests are placed.
        log: Log of decisions.
        topics: Topics whose reading is shared among the nodes of a zone.
        zonal_topic: Topic whose records are told within the zone only.
    """

    def __init__(
        self,
        *,
        settings: FleetSettings,
        record_cache: pykka.ActorRef,
        dispatcher: pykka.ActorRef,
        log: DecisionLog,
        topics: tuple[str, ...],
        zonal_topic: str,
    ):
        self._record_cache = record_cache
        self._dispatcher = dispatcher
        self._driver: pykka.ActorRef | None = None
        self._topics = topics
        self._zonal_topic = zonal_topic
        self._read_s_by_topic = dict.fromkeys(topics, float("-inf"))
        self._outage_ended_s_by_topic: dict[str, float] = {}
        self._ends_by_topic: dict[str, int] = {}
        self._ends_s = float("-inf")
        self._lock = threading.Lock()
        self.own = NodeAddress(
            node_id=settings.node_id,
            zone=settings.zone,
            address=settings.peers_address,
        )
        self._live = frozenset({self.own})
        self.exchange = GossipService.start(
            own=self.own,
            seeds=settings.seeds,
            ends=self._topic_ends,
            initial_messages=self._initial_messages,
            on_message=self._on_message,
            on_peers=self._on_peers,
            log=log,
        )
        self._server = GossipServer(
            address=settings.peers_address,
            on_message=lambda news, connection: self.exchange.tell(
                GossipService.Received(news=news, connection=connection)
            ),
            on_closed=lambda connection: self.exchange.tell(
                GossipService.Closed(connection=connection)
            ),
        )
        self._ticker = Ticker(
            name="news",
            interval_s=TICK_S,
            call=lambda: self.exchange.tell(GossipService.Tick()),
        )

    @property
    def live_nodes(self) -> int:
        """Number of nodes that are heard, this one included."""
        return len(self._live)

    def start(self) -> None:
        """Start hearing and telling."""
        self._server.start()
        self.exchange.tell(GossipService.Tick())
        self._ticker.start()

    def stop(self) -> None:
        """Close the port and the links."""
        self._ticker.stop()
        self._server.stop()
        self.exchange.stop(block=False)

    def broadcast(self, news: News, *, is_zonal: bool = False) -> None:
        """Tell the neighbours news."""
        self.exchange.tell(GossipService.Send(news=news, is_zonal=is_zonal))

    def publish(self, news: News) -> None:
        """Take news as if a peer had told it, and tell the neighbours."""
        self._on_message(news, self.own.node_id)
        self.broadcast(news)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Greet other nodes in place of the seeds known so far."""
        self.exchange.tell(GossipService.SetSeeds(seeds=seeds))

    def set_driver(self, driver: pykka.ActorRef) -> None:
        """Set who is told of other nodes' orders."""
        self._driver = driver

    def broadcast_records(self, update: TopicUpdate) -> None:
        """Tell the neighbours records that are new here."""
        self.broadcast(
            _topic_records(update), is_zonal=update.topic == self._zonal_topic
        )

    def add_nodes(self, addresses: tuple[NodeAddress, ...]) -> None:
        """Take addresses of nodes that were read from the store."""
        self.exchange.tell(GossipService.AddAddresses(addresses=addresses))

    def record_read(self, topic: str) -> None:
        """Note that this node has just read a topic."""
        self._note_read(topic, time.monotonic())

    def outage_ended_s(self, topic: str) -> float:
        """Return when a topic was read again after nobody had read it for a while.

        Args:
            topic: Name of the topic.

        Returns:
            Monotonic time, minus infinity if there was no outage.
        """
        return self._outage_ended_s_by_topic.get(topic, float("-inf"))

    def is_reader(self, topic: str) -> bool:
        """Whether this node is to read a topic now.

        One node of each zone reads and tells the others; whoever hears of no read
        for a while reads for itself.
        """
        age_s = time.monotonic() - self._read_s_by_topic[topic]
        return age_s > READ_TAKEOVER_S or self.rank(topic, zone=self.own.zone) == 0

    def rank(self, duty: str, *, zone: str | None = None) -> int:
        """Return this node's place among the live nodes for a duty, 0 for first.

        Args:
            duty: Name of the duty.
            zone: Zone whose nodes share it, None for all zones.
        """
        members = [node.node_id for node in self._live if zone in (None, node.zone)]
        return duty_rank(duty, self.own.node_id, members)

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

    def _initial_messages(self) -> list[News]:
        """Return what a node that has just started can't learn from the store."""
        return [self._dispatcher.ask(dispatcher_messages.NamedWeights())]

    def _on_peers(self, live: frozenset[NodeAddress]) -> None:
        self._live = live
        self._dispatcher.tell(dispatcher_messages.NodesKnown(count=len(live)))

    def _on_message(self, news: News, sender: str) -> None:
        handler = _handlers_by_type.get(type(news))
        if handler is not None:
            handler(self, news, sender)

    @handles(TopicEnds)
    def on_topic_ends(self, news: TopicEnds, sender: str) -> None:
        """Note what a peer has read, and send it what it lacks."""
        now_s = time.monotonic()
        known = self._known_ends(now_s)
        for topic in self._topics:
            end = news.ends_by_topic.get(topic, -1)
            age_s = news.ages_ms_by_topic.get(topic, 1e9) / 1000
            own_end = known.get(topic, -1)
            if own_end >= end:
                self._note_read(topic, now_s - age_s)
            if own_end > end and (age_s > STALE_READ_S or end < 0):
                self._send_missing(topic, end, sender)

    def _known_ends(self, now_s: float) -> dict[str, int]:
        """Return how far this node has read, which may be a moment old."""
        if now_s - self._ends_s > ENDS_CACHE_S:
            self._ends_by_topic = self._record_cache.ask(RecordCache.Ends())
            self._ends_s = now_s
        return self._ends_by_topic

    def _note_read(self, topic: str, read_s: float) -> None:
        with self._lock:
            before_s = self._read_s_by_topic[topic]
            if read_s <= before_s:
                return
            self._read_s_by_topic[topic] = read_s
            if read_s - before_s > OUTAGE_AFTER_S:
                self._outage_ended_s_by_topic[topic] = read_s

    def _send_missing(self, topic: str, end: int, node_id: str) -> None:
        update = self._record_cache.ask(
            RecordCache.Since(topic=topic, offset=max(0, end))
        )
        self.exchange.tell(
            GossipService.SendTo(node_id=node_id, news=_topic_records(update))
        )

    @handles(TopicRecords)
    def on_topic_records(self, news: TopicRecords, _sender: str) -> None:
        """Take records."""
        records = tuple(
            KeyedRecord(key=key, offset=offset, value=value)
            for key, offset, value in news.records
        )
        update = TopicUpdate(
            topic=news.topic, records=records, end=news.end, start=news.start
        )
        self._record_cache.tell(RecordCache.Merge(update=update))

    @handles(PromptPlaced)
    def on_prompt_placed(self, news: PromptPlaced, _sender: str) -> None:
        """Count a peer's large prompt."""
        self._dispatcher.tell(dispatcher_messages.PeerPlaced(placed=news))

    @handles(PartsUsed)
    def on_parts_used(self, news: PartsUsed, _sender: str) -> None:
        """Note which parts a peer's small prompts have in common."""
        self._dispatcher.tell(dispatcher_messages.PeerParts(used=news))

    @handles(PromptBegun)
    def on_prompt_begun(self, news: PromptBegun, _sender: str) -> None:
        """Note that a peer's prompt has been computed."""
        self._dispatcher.tell(
            dispatcher_messages.Begun(
                request_id=news.request_id, incarnation=news.incarnation
            )
        )

    @handles(PromptEnded)
    def on_prompt_ended(self, news: PromptEnded, _sender: str) -> None:
        """Note that a peer's request has ended."""
        self._dispatcher.tell(
            dispatcher_messages.PeerEnded(
                request_id=news.request_id, incarnation=news.incarnation
            )
        )

    @handles(Crashed)
    def on_crashed(self, news: Crashed, _sender: str) -> None:
        """Note which request a replica may have crashed of."""
        self._dispatcher.tell(dispatcher_messages.PeerCrash(crashed=news))

    @handles(ReplicaLoading)
    def on_replica_loading(self, news: ReplicaLoading, sender: str) -> None:
        """Send nothing to a replica that loads weights."""
        self._notify_driver(RolloutDriver.HolderActive(node_id=sender), sender)
        self._dispatcher.tell(
            dispatcher_messages.ReplicaLoading(
                incarnation=news.incarnation, for_s=news.for_ms / 1000
            )
        )

    @handles(WeightsServed)
    def on_weights_served(self, news: WeightsServed, _sender: str) -> None:
        """Take the weights that a replica serves."""
        self._dispatcher.tell(
            dispatcher_messages.WeightsServed(
                incarnation=news.incarnation,
                model=news.model,
                version=news.version,
            )
        )

    @handles(WeightsNews)
    def on_weights_news(self, news: WeightsNews, _sender: str) -> None:
        """Take over how long ago versions were named."""
        for model, version, age_ms in news.versions:
            self._dispatcher.tell(
                dispatcher_messages.WeightsNamed(
                    model=model, version=version, age_s=age_ms / 1000
                )
            )

    @handles(LeaseReleased)
    def on_lease_released(self, news: LeaseReleased, sender: str) -> None:
        """Note that the holder of the right to order gives it up."""
        age_ms = news.last_order_age_ms
        message = RolloutDriver.HolderReleased(
            node_id=sender,
            token=news.token,
            last_order_age_s=None if age_ms is None else age_ms / 1000,
        )
        self._notify_driver(message, sender)

    @handles(LeaseAcquired)
    def on_lease_acquired(self, news: LeaseAcquired, sender: str) -> None:
        """Note that another node is about to give orders."""
        message = RolloutDriver.HolderActive(
            node_id=sender, expected_in_s=news.usable_in_ms / 1000, token=news.token
        )
        self._notify_driver(message, sender)

    def _notify_driver(self, message: Message, sender: str) -> None:
        if self._driver is not None and sender != self.own.node_id:
            self._driver.tell(message)


def _topic_records(update: TopicUpdate) -> TopicRecords:
    return TopicRecords(
        topic=update.topic,
        start=update.start,
        end=update.end,
        records=[
            [record.key, record.offset, record.value] for record in update.records
        ],
    )
