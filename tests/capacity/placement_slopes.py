"""Unit costs of the cache index, load reports and placement decisions."""

from __future__ import annotations

import json
from random import Random

import attrs

from crocuswick.cache_index import CacheEvent, CacheEvents, CacheIndex, CacheSnapshot
from crocuswick.load import LoadReport
from crocuswick.nodes import (
    BlockLookupReply,
    BlockLookupRequest,
    EndpointDepth,
    peer_registry,
)
from crocuswick.placement import EndpointDescription, PlacementRequest, Placer
from tests.capacity.timing import ROUNDS, allocated_bytes, best_us

__all__ = ["Figure", "placement_figures"]

OWNED_ENGINES = 8
"""Engines in the cache index of one node."""

BLOCKS_PER_NODE = 472_000
"""Blocks in the cache index of one node."""

EVENTS_PER_ROUND = 20_000
PROMPT_BLOCKS = 20
DECISIONS = 300
SIZES = ((5, 1), (50, 1), (207, 1), (2900, 14))
"""Numbers of endpoints and zones."""

REPORT = LoadReport(
    incarnation="engine-1-1764795600000000",
    weights_versions_by_model={"model-1": "v1"},
    state="ready",
    running=7,
    queued=3,
    queued_tokens=1500,
    prefill_tokens_per_s=50_000.0,
    decode_tokens_per_s=250.0,
    capacity_blocks=59_000,
    cached_blocks=58_621,
    age_ms=250.0,
)


@attrs.frozen(kw_only=True)
class Figure:
    """One measured figure."""

    name: str
    """What was measured."""

    value: float
    """The measured value."""

    unit: str
    """Its unit."""


def placement_figures() -> list[Figure]:
    """Measure all figures of this module."""
    return [*_index_figures(), *_message_figures(), *_decision_figures()]


def _index_figures() -> list[Figure]:
    random = Random(1)
    blocks_per_engine = BLOCKS_PER_NODE // OWNED_ENGINES
    keys = [
        [random.getrandbits(64) for _ in range(blocks_per_engine)]
        for _ in range(OWNED_ENGINES)
    ]
    size = allocated_bytes(lambda: _filled_index(keys))
    index = _filled_index(keys)
    batches = [_create_events(random, keys[0], number) for number in range(ROUNDS)]

    def apply_events() -> int:
        index.apply_events("engine-0", batches.pop(0))
        return EVENTS_PER_ROUND

    def apply_snapshot() -> int:
        index.apply_snapshot("engine-1", _snapshot(keys[1]))
        return blocks_per_engine

    prompts = [keys[0][start : start + PROMPT_BLOCKS] for start in range(1000)]

    def look_up() -> int:
        for prompt in prompts:
            index.prefix_holders(prompt)
        return len(prompts)

    return [
        Figure(name="index, a block", value=size / BLOCKS_PER_NODE, unit="bytes"),
        Figure(name="index, a cache event", value=best_us(apply_events), unit="µs"),
        Figure(
            name="index, a block of a snapshot",
            value=best_us(apply_snapshot, rounds=3),
            unit="µs",
        ),
        Figure(
            name=f"index, look-up of {PROMPT_BLOCKS} held blocks",
            value=best_us(look_up),
            unit="µs",
        ),
    ]


def _filled_index(keys: list[list[int]]) -> CacheIndex:
    index = CacheIndex()
    for number, engine_keys in enumerate(keys):
        index.add_endpoint(f"engine-{number}")
        index.apply_snapshot(f"engine-{number}", _snapshot(engine_keys))
    return index


def _snapshot(keys: list[int]) -> CacheSnapshot:
    return CacheSnapshot(incarnation="1", next_seq=0, keys=keys)


def _create_events(random: Random, keys: list[int], number: int) -> CacheEvents:
    """Return events that replace random blocks, in pairs of an eviction and a store."""
    first_seq = number * EVENTS_PER_ROUND
    events = []
    for seq in range(first_seq, first_seq + EVENTS_PER_ROUND, 2):
        position = random.randrange(len(keys))
        evicted, keys[position] = keys[position], random.getrandbits(64)
        events.append(CacheEvent(seq=seq, kind="evicted", keys=[evicted]))
        events.append(CacheEvent(seq=seq + 1, kind="stored", keys=[keys[position]]))
    return CacheEvents(
        incarnation="1",
        first_seq=0,
        next_seq=first_seq + EVENTS_PER_ROUND,
        events=events,
    )


def _message_figures() -> list[Figure]:
    random = Random(2)
    key = f"{random.getrandbits(64):016x}"
    event = json.dumps({"seq": 123_456_789, "kind": "evicted", "keys": [key]})
    report = attrs.asdict(REPORT)
    report["models"] = report.pop("weights_versions_by_model")
    request = BlockLookupRequest(
        keys=tuple(random.getrandbits(64) for _ in range(PROMPT_BLOCKS))
    )
    holders = tuple(
        EndpointDepth(endpoint_id=f"zone-01-engine-{number:03d}", depth=number)
        for number in range(3)
    )
    encoded = peer_registry.encode(request)

    def handle_lookup() -> int:
        for _ in range(500):
            peer_registry.encode(BlockLookupReply(holders=holders))
            peer_registry.decode(encoded, peer="node").unwrap()
        return 500

    return [
        Figure(name="cache event of one block, JSON", value=len(event), unit="bytes"),
        Figure(name="a further key in it", value=len(key) + 4, unit="bytes"),
        Figure(name="load report, JSON", value=len(json.dumps(report)), unit="bytes"),
        Figure(
            name=f"owner look-up of {PROMPT_BLOCKS} blocks, request",
            value=len(encoded),
            unit="bytes",
        ),
        Figure(
            name="owner look-up, reply with 3 holders",
            value=len(peer_registry.encode(BlockLookupReply(holders=holders))),
            unit="bytes",
        ),
        Figure(
            name="owner look-up, decoding and encoding",
            value=best_us(handle_lookup),
            unit="µs",
        ),
    ]


def _decision_figures() -> list[Figure]:
    figures = []
    for endpoints, zones in SIZES:
        for is_known in (True, False):
            kind = "known" if is_known else "unseen"
            name = f"decision, {kind} prompts, {endpoints} endpoints, {zones} zones"
            value = _decision_us(endpoints, zones, is_known=is_known)
            figures.append(Figure(name=name, value=value, unit="µs"))
    figures.append(
        Figure(name="load report, taking it in", value=_load_report_us(), unit="µs")
    )
    for endpoints, zones in SIZES[2:]:
        size = allocated_bytes(
            lambda sized=(endpoints, zones): _create_placer(*sized, Random(5))
        )
        name = f"placement state without blocks, {endpoints} endpoints"
        figures.append(Figure(name=name, value=size, unit="bytes"))
    return figures


def _create_placer(endpoints: int, zones: int, random: Random) -> Placer:
    placer = Placer(zone="zone-0", seed=1)
    placer.set_endpoints(
        EndpointDescription(
            id=f"e{number}",
            address=f"a{number}",
            zone=f"zone-{number % zones}",
            pool="pool",
        )
        for number in range(endpoints)
    )
    for number in range(endpoints):
        report = attrs.evolve(REPORT, queued_tokens=random.randrange(3000))
        placer.record_load(f"e{number}", report, 0.0)
    return placer


def _decision_us(endpoints: int, zones: int, *, is_known: bool) -> float:
    random = Random(3)
    placer = _create_placer(endpoints, zones, random)
    requests = _create_requests(random)
    if is_known:
        for request in requests:
            for _ in range(2):
                _complete_request(placer, request)

    def decide() -> int:
        placed = requests if is_known else _create_requests(random)
        for request in placed:
            placer.place(request, 0.0)
        return len(placed)

    decide()
    return best_us(decide)


def _complete_request(placer: Placer, request: PlacementRequest) -> None:
    placement = placer.place(request, 0.0).unwrap()
    endpoint_id = placement.endpoint_id
    placer.record_sent(endpoint_id, request.request_id, placement, request, 0.0)
    placer.record_first_token(endpoint_id, request.request_id, 0, 0.0)
    placer.record_finished(endpoint_id, request.request_id, 0.0)


def _create_requests(random: Random) -> list[PlacementRequest]:
    """Return requests in groups of ten that share their first 8 blocks."""
    shared_prefixes = [[random.getrandbits(64) for _ in range(8)] for _ in range(30)]
    return [
        PlacementRequest(
            request_id=str(number),
            model="model-1",
            weights_version="v1",
            keys=(
                *shared_prefixes[number % 30],
                *[random.getrandbits(64) for _ in range(PROMPT_BLOCKS - 8)],
            ),
            prompt_tokens=PROMPT_BLOCKS * 1024 + 500,
            max_tokens=400,
            priority=0,
            pool="pool",
        )
        for number in range(DECISIONS)
    ]


def _load_report_us() -> float:
    placer = _create_placer(207, 1, Random(4))

    def record_reports() -> int:
        for number in range(207):
            placer.record_load(f"e{number}", REPORT, 0.0)
        return 207

    return best_us(record_reports)
