"""Simulated node: a `Placer` with delayed and lossy views of the engines."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from crocuswick.cache_index import CacheEvents
from crocuswick.placement import EndpointDescription, PlacementRequest, Placer
from tests.bench.engine import MODEL, WEIGHTS_VERSION, EngineModel, Job

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from crocuswick.load import LoadReport
    from crocuswick.placement import Placement
    from tests.bench.clock import VirtualClock
    from tests.bench.trace import TraceRequest

__all__ = ["NodeModel", "ViewSpec"]

POOL = "pool"


@attrs.frozen(kw_only=True)
class ViewSpec:
    """Delays and losses in a node's view of the engines."""

    load_interval_s: float = 0.2
    """Interval between two load reports in seconds."""

    load_lag_s: tuple[float, float] = (0.15, 0.35)
    """Minimum and maximum age of a load report in seconds."""

    events_interval_s: float = 0.1
    """Interval between two reads of cache events in seconds."""

    events_lag_s: tuple[float, float] = (0.05, 0.4)
    """Minimum and maximum age of the newest cache event read, in seconds."""

    gap_probability: float = 0.01
    """Probability that a cache event is lost."""

    snapshot_delay_s: float = 0.3
    """Time from the detection of a gap to the snapshot, in seconds."""


@attrs.define(kw_only=True, eq=False)
class _EventReader:
    """Position of a node in an engine's event stream."""

    engine: EngineModel
    next_seq: int = 0
    snapshot_requested: bool = False


class NodeModel:
    """Node that runs in virtual time."""

    def __init__(
        self,
        *,
        policy: str,
        engines_by_id: Mapping[str, EngineModel],
        view: ViewSpec,
        clock: VirtualClock,
        random: Random,
    ):
        self.decision_ns = 0
        self.decisions = 0
        self.snapshots = 0
        self._engines_by_id = engines_by_id
        self._view = view
        self._clock = clock
        self._random = random
        self._placer = Placer(zone="zone", policy=policy, seed=random.getrandbits(32))
        self._placer.set_endpoints(
            EndpointDescription(id=engine_id, address=engine_id, zone="zone", pool=POOL)
            for engine_id in engines_by_id
        )
        for engine in engines_by_id.values():
            self._placer.record_load(engine.engine_id, engine.load_report(), 0.0)
            self._start_reading(engine)

    def place(self, request: TraceRequest, job: Job) -> Placement:
        """Place a request, record it as sent and return the placement."""
        placement_request = _create_placement_request(request, job)
        started_ns = time.thread_time_ns()
        placement = self._placer.place(placement_request, self._clock.now_s).unwrap()
        self.decision_ns += time.thread_time_ns() - started_ns
        self.decisions += 1
        self._placer.record_sent(
            placement.endpoint_id,
            job.request_id,
            placement,
            placement_request,
            self._clock.now_s,
        )
        return placement

    def record_first_token(self, engine_id: str, job: Job) -> None:
        """Record the first token of an answer."""
        cached_tokens = job.cached_blocks * 1024
        self._placer.record_first_token(
            engine_id, job.request_id, cached_tokens, self._clock.now_s
        )

    def record_finished(self, engine_id: str, job: Job) -> None:
        """Record the end of an answer."""
        self._placer.record_finished(engine_id, job.request_id, self._clock.now_s)

    def _start_reading(self, engine: EngineModel) -> None:
        reader = _EventReader(engine=engine)
        phase_s = self._random.random() * self._view.load_interval_s
        self._clock.after(phase_s, lambda: self._read_load(engine))
        phase_s = self._random.random() * self._view.events_interval_s
        self._clock.after(phase_s, lambda: self._read_events(reader))

    def _read_load(self, engine: EngineModel) -> None:
        lag_s = self._random.uniform(*self._view.load_lag_s)
        report = attrs.evolve(engine.load_report(), age_ms=lag_s * 1000.0)
        self._clock.after(lag_s, lambda: self._receive_load(engine.engine_id, report))
        interval_s = self._view.load_interval_s
        self._clock.after(interval_s, lambda: self._read_load(engine))

    def _receive_load(self, engine_id: str, report: LoadReport) -> None:
        self._placer.record_load(engine_id, report, self._clock.now_s)

    def _read_events(self, reader: _EventReader) -> None:
        interval_s = self._view.events_interval_s
        self._clock.after(interval_s, lambda: self._read_events(reader))
        events = reader.engine.events
        visible_s = self._clock.now_s - self._random.uniform(*self._view.events_lag_s)
        end = reader.next_seq
        while end < len(events) and events[end][0] <= visible_s:
            end += 1
        if end == reader.next_seq:
            return
        received = [
            event
            for _, event in events[reader.next_seq : end]
            if self._random.random() >= self._view.gap_probability
        ]
        batch = CacheEvents(incarnation="1", first_seq=0, next_seq=end, events=received)
        reader.next_seq = end
        if self._placer.record_cache_events(reader.engine.engine_id, batch):
            self._request_snapshot(reader)

    def _request_snapshot(self, reader: _EventReader) -> None:
        if reader.snapshot_requested:
            return
        reader.snapshot_requested = True
        delay_s = self._view.snapshot_delay_s
        self._clock.after(delay_s, lambda: self._receive_snapshot(reader))

    def _receive_snapshot(self, reader: _EventReader) -> None:
        self.snapshots += 1
        reader.snapshot_requested = False
        snapshot = reader.engine.snapshot()
        reader.next_seq = snapshot.next_seq
        self._placer.record_cache_snapshot(reader.engine.engine_id, snapshot)


def _create_placement_request(request: TraceRequest, job: Job) -> PlacementRequest:
    return PlacementRequest(
        request_id=job.request_id,
        model=MODEL,
        weights_version=WEIGHTS_VERSION,
        keys=request.keys,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.output_tokens,
        priority=request.priority,
        pool=POOL,
    )
