"""Model of a fleet whose nodes place one stream of large prompts.

Gossip reaches the nodes that it reaches in a real fleet, after a fixed delay. Engines
compute prompts one after the other, and a transfer occupies the links of both engines.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from crocuswick.gossip.messages import PromptComputed, PromptEnded, PromptPlaced
from crocuswick.relay.candidate import Candidate
from crocuswick.relay.dispatcher_messages import PeerPromptSent
from crocuswick.relay.kv_map import ModelledCache
from crocuswick.relay.prompt_tracker import PromptTracker
from crocuswick.relay.relay_request import Prompt, PromptSegment, RoutedRequest
from crocuswick.relay.replica_chooser import Choice, ReplicaChooser
from crocuswick.relay.replica_health import ReplicaHealth
from tests.gossip.in_memory_fleet import InMemoryFleet
from tests.relay.samples import ENGINE, ENGINES, MODEL, caller, replica, routed

if TYPE_CHECKING:
    from collections.abc import Mapping

ZONES = ("a", "b", "c", "d")
TRAITS = attrs.evolve(ENGINE, kv_capacity_tokens=130_000)
SERVICE = attrs.evolve(ENGINES, engine=TRAITS)
TOKENS_PER_S = 40_000
DECODE_S = 0.3
MAX_HOLD_S = 0.1
OTHER_ZONE_FACTOR = 2.0
PROBE = PromptPlaced(
    request_id="probe",
    incarnation="engine@1",
    prefill_tokens=0,
    kv_tokens=0,
    priority=0,
    salt="",
    tokens_by_part={},
    is_saved=False,
)


@attrs.frozen(kw_only=True)
class Stream:
    """A stream of prompts with one shared segment each."""

    per_second: float
    duration_s: float
    segments: int
    """Number of shared segments, each equally frequent except for the hot one."""

    hot_share: float = 0.0
    """Additional share of the prompts that use the first segment."""

    shared_tokens: int = 13_300
    own_tokens: int = 3_720
    seed: int = 1


@attrs.define(kw_only=True)
class Totals:
    """What the prompts cost and how long their callers waited."""

    recomputed_tokens: int = 0
    """Shared tokens that were computed although an engine had computed them before."""

    first_event_s: list[float] = attrs.Factory(list)
    prefill_s_by_engine: dict[str, float] = attrs.Factory(lambda: defaultdict(float))

    def in_time(self, limit_s: float) -> float:
        """Return the share of prompts with a first event within a time."""
        count = sum(each <= limit_s for each in self.first_event_s)
        return count / len(self.first_event_s)

    def spread(self) -> float:
        """Return the prefill time of the busiest engine relative to the mean."""
        times = list(self.prefill_s_by_engine.values())
        return max(times) * len(times) / sum(times)


class _Engine:
    def __init__(self, number: int):
        self.replica = replica(
            f"engine-{number}",
            zone=ZONES[number % len(ZONES)],
            address=f"10.0.1.{number}:80",
        )
        self.cache = ModelledCache(capacity_tokens=TRAITS.kv_capacity_tokens)
        self.free_s = 0.0
        self.link_free_s = 0.0


class _Node:
    def __init__(self, number: int, zone: str, broadcast):
        self.tracker = PromptTracker(broadcast=lambda gossip: broadcast(self, gossip))
        self.chooser = ReplicaChooser(
            zone=zone, kv_map=self.tracker.kv_map, seed=number
        )
        self.health = ReplicaHealth()
        self.receivers: list[_Node] = []


class FleetModel:
    """Nodes that place prompts at engines and notify the nodes that gossip reaches.

    Args:
        nodes_by_zone: Number of nodes in each zone.
        engines: Number of engines, distributed over four zones.
        gossip_delay_s: Time after which a message is handled at other nodes.
    """

    def __init__(
        self,
        *,
        nodes_by_zone: Mapping[str, int],
        engines: int,
        gossip_delay_s: float = 0.0,
    ):
        self._gossip_delay_s = gossip_delay_s
        self._engines = [_Engine(number) for number in range(engines)]
        self._engine_by_address = {each.replica.address: each for each in self._engines}
        self._nodes = self._connected_nodes(nodes_by_zone)
        self._now_s = 0.0
        self._events: list = []
        self._event_numbers = itertools.count()
        self._computed: set[str] = set()
        self._totals = Totals()

    def play(self, stream: Stream) -> Totals:
        """Place all prompts of a stream and return the totals."""
        prompts, nodes = random.Random(stream.seed), random.Random(stream.seed)
        sent_s = 0.0
        for number in itertools.count():
            sent_s += prompts.expovariate(stream.per_second)
            if sent_s > stream.duration_s:
                break
            is_hot = prompts.random() < stream.hot_share
            segment = f"s{0 if is_hot else prompts.randrange(stream.segments)}"
            request = _request(number, segment, stream)
            node = nodes.choice(self._nodes)
            self._at(sent_s, self._place, node, request, sent_s)
        while self._events:
            self._now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self._totals

    def _connected_nodes(self, nodes_by_zone: Mapping[str, int]) -> list[_Node]:
        fleet = InMemoryFleet(nodes_by_zone)
        fleet.tick()
        node_by_id = {
            each.id: _Node(number, each.zone, self._deliver)
            for number, each in enumerate(fleet.nodes_by_id.values())
        }
        for sender in fleet.nodes_by_id.values():
            for each in fleet.nodes_by_id.values():
                each.dispatcher.messages.clear()
            sender.gossip.broadcast(PROBE)
            fleet.deliver()
            node_by_id[sender.id].receivers = [
                node_by_id[each.id]
                for each in fleet.nodes_by_id.values()
                if each.dispatcher.of_type(PeerPromptSent)
            ]
        for node in node_by_id.values():
            node.chooser.set_node_count(len(node_by_id))
        return list(node_by_id.values())

    def _at(self, time_s: float, action, *arguments) -> None:
        event = (time_s, next(self._event_numbers), action, arguments)
        heapq.heappush(self._events, event)

    def _deliver(self, sender: _Node, gossip) -> None:
        if self._gossip_delay_s:
            due_s = self._now_s + self._gossip_delay_s
            self._at(due_s, self._handle, sender, gossip)
        else:
            self._handle(sender, gossip)

    def _handle(self, sender: _Node, gossip) -> None:
        for node in sender.receivers:
            match gossip:
                case PromptPlaced():
                    node.tracker.record_peer_placed(gossip, TRAITS, self._now_s)
                case PromptComputed(request_id=request_id, incarnation=incarnation):
                    node.tracker.record_prompt_computed(
                        request_id, incarnation, self._now_s
                    )
                case PromptEnded(request_id=request_id, incarnation=incarnation):
                    node.tracker.record_peer_ended(request_id, incarnation)

    def _place(self, node: _Node, request: RoutedRequest, sent_s: float) -> None:
        candidates = [
            Candidate(
                replica=engine.replica,
                load=node.tracker.load(engine.replica.incarnation),
                health=node.health,
                weights_version=1,
                weights_age_s=None,
            )
            for engine in self._engines
        ]
        choice = node.chooser.choose(request, SERVICE, candidates, (), self._now_s)
        if choice.ready_in_ms > 0:
            hold_s = min(MAX_HOLD_S, choice.ready_in_ms / 1000)
            self._at(self._now_s + hold_s, self._place, node, request, sent_s)
            return
        node.tracker.record_placed(request, choice, TRAITS, None, self._now_s)
        self._run(node, request, choice, sent_s)

    def _run(
        self, node: _Node, request: RoutedRequest, choice: Choice, sent_s: float
    ) -> None:
        prompt = request.caller.prompt
        engine = self._engine_by_address[choice.candidate.replica.address]
        key = (choice.salt, prompt.shared_segment_id)
        begin_s = engine.free_s
        tokens = prompt.prompt_tokens - prompt.shared_tokens
        source = self._engine_by_address.get(choice.fetch_from)
        if key not in engine.cache and source is not None and key in source.cache:
            begin_s = max(begin_s, self._fetch(prompt.shared_tokens, source, engine))
            source.cache.use(key, prompt.shared_tokens)
        elif key not in engine.cache:
            tokens = prompt.prompt_tokens
            if key in self._computed:
                self._totals.recomputed_tokens += prompt.shared_tokens
            self._computed.add(key)
        prefill_s = tokens / TOKENS_PER_S
        engine.free_s = max(begin_s, self._now_s) + prefill_s
        self._totals.prefill_s_by_engine[engine.replica.id] += prefill_s
        self._totals.first_event_s.append(engine.free_s - sent_s)
        self._at(engine.free_s, self._end_prefill, node, request, engine, key)

    def _end_prefill(
        self,
        node: _Node,
        request: RoutedRequest,
        engine: _Engine,
        key: tuple[str, str],
    ) -> None:
        prompt = request.caller.prompt
        engine.cache.use(key, prompt.shared_tokens)
        engine.cache.add_unshared(prompt.prompt_tokens - prompt.shared_tokens)
        request_id = request.caller.request_id
        incarnation = engine.replica.incarnation
        node.tracker.record_prompt_computed(request_id, incarnation, self._now_s)
        self._at(
            self._now_s + DECODE_S, node.tracker.record_ended, request_id, incarnation
        )

    def _fetch(self, tokens: int, source: _Engine, engine: _Engine) -> float:
        """Return the end of a transfer between two engines."""
        is_same_zone = source.replica.zone == engine.replica.zone
        factor = 1.0 if is_same_zone else OTHER_ZONE_FACTOR
        bits = factor * tokens * TRAITS.kv_bytes_per_token * 8
        begin_s = max(self._now_s, source.link_free_s, engine.link_free_s)
        end_s = begin_s + bits / TRAITS.link_mbps / 1e6
        source.link_free_s = engine.link_free_s = end_s
        return end_s


def _request(number: int, segment: str, stream: Stream) -> RoutedRequest:
    prompt = Prompt(
        model=MODEL,
        prompt_tokens=stream.shared_tokens + stream.own_tokens,
        max_output_tokens=12,
        segments=(
            PromptSegment(id=segment, tokens=stream.shared_tokens),
            PromptSegment(id=f"own-{number}", tokens=stream.own_tokens),
        ),
    )
    return routed(caller=caller(request_id=f"r{number}", prompt=prompt))
