"""Simulation of a trace under one placement policy."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs

from crocuswick.block_key import BLOCK_TOKENS
from tests.bench.clock import VirtualClock
from tests.bench.engine import EngineModel, EngineSpec, Job
from tests.bench.node import NodeModel, ViewSpec
from tests.bench.oracle import choose_with_perfect_knowledge

if TYPE_CHECKING:
    from tests.bench.trace import Trace, TraceRequest

__all__ = ["PERFECT_KNOWLEDGE", "RunResult", "RunSpec", "run_policy"]

PERFECT_KNOWLEDGE = "perfect_knowledge"
WARM_UP_S = 20.0
"""Start of a run, whose requests are not measured."""

DRAIN_TIMEOUT_S = 600.0
"""Time after the last arrival at which a run stops with requests unfinished."""

NETWORK_DELAY_S = 0.001
"""One-way delay between a node and an engine."""


@attrs.frozen(kw_only=True)
class RunSpec:
    """Parameters of a run, except its trace."""

    nodes: int = 7
    """Number of nodes."""

    endpoints: int = 6
    """Number of engines."""

    seed: int = 1
    """Seed for report lags, lost events, tie-breaking and the choice of nodes."""

    engine: EngineSpec = attrs.field(factory=EngineSpec)
    """Speed and capacity of the engines."""

    view: ViewSpec = attrs.field(factory=ViewSpec)
    """Delays and losses in the nodes' views of the engines."""


@attrs.define(kw_only=True)
class RunResult:
    """Measurements of a run, without its warm-up unless stated.

    Prefill tokens, decision time, snapshots and unfinished requests cover the
    whole run.
    """

    ttfts_s: list[float] = attrs.field(factory=list)
    interactive_ttfts_s: list[float] = attrs.field(factory=list)
    blocks: int = 0
    hit_blocks: int = 0
    imported_blocks: int = 0
    computed_tokens: int = 0
    recomputed_tokens: int = 0
    prefill_tokens_by_engine: dict[str, int] = attrs.field(factory=dict)
    decision_us: float = 0.0
    snapshots: int = 0
    unfinished: int = 0


def run_policy(policy: str, trace: Trace, spec: RunSpec) -> RunResult:
    """Run a trace under a policy and return the measurements."""
    return _Run(policy=policy, trace=trace, spec=spec).run()


class _Run:
    def __init__(self, *, policy: str, trace: Trace, spec: RunSpec):
        self._policy = policy
        self._trace = trace
        self._random = Random(spec.seed)
        self._clock = VirtualClock()
        self._result = RunResult()
        self._seen_keys: set[int] = set()
        self._engines_by_id = {
            f"engine-{number}": EngineModel(
                engine_id=f"engine-{number}", spec=spec.engine, clock=self._clock
            )
            for number in range(spec.endpoints)
        }
        self._nodes = [] if policy == PERFECT_KNOWLEDGE else self._create_nodes(spec)

    def run(self) -> RunResult:
        """Run the whole trace."""
        for request in self._trace:
            self._clock.after(
                request.at_s, lambda request=request: self._arrive(request)
            )
        self._result.unfinished = len(self._trace)
        end_s = self._trace[-1].at_s
        while self._result.unfinished and self._clock.now_s < end_s + DRAIN_TIMEOUT_S:
            self._clock.run_until(self._clock.now_s + 1.0)
        for engine_id, engine in self._engines_by_id.items():
            self._result.prefill_tokens_by_engine[engine_id] = engine.prefill_tokens
        decisions = sum(node.decisions for node in self._nodes)
        decision_ns = sum(node.decision_ns for node in self._nodes)
        self._result.decision_us = decision_ns / 1000.0 / max(1, decisions)
        self._result.snapshots = sum(node.snapshots for node in self._nodes)
        return self._result

    def _create_nodes(self, spec: RunSpec) -> list[NodeModel]:
        return [
            NodeModel(
                policy=self._policy,
                engines_by_id=self._engines_by_id,
                view=spec.view,
                clock=self._clock,
                random=self._random,
            )
            for _ in range(spec.nodes)
        ]

    def _arrive(self, request: TraceRequest) -> None:
        if self._nodes:
            self._send_by_node(request, self._random.choice(self._nodes))
        else:
            self._send_by_oracle(request)

    def _send_by_oracle(self, request: TraceRequest) -> None:
        engines = list(self._engines_by_id.values())
        choice = choose_with_perfect_knowledge(request, engines, self._random)
        job = self._create_job(request, choice.engine.engine_id, None)
        choice.engine.submit(job, source=choice.source)

    def _send_by_node(self, request: TraceRequest, node: NodeModel) -> None:
        job = self._create_job(request, "", node)
        placement = node.place(request, job)
        engine = self._engines_by_id[placement.endpoint_id]
        job.on_first_token = self._first_token_callback(request, engine.engine_id, node)
        job.on_finished = self._finished_callback(engine.engine_id, node)
        source = self._engines_by_id.get(placement.import_from or "")
        self._clock.after(NETWORK_DELAY_S, lambda: engine.submit(job, source=source))

    def _create_job(
        self, request: TraceRequest, engine_id: str, node: NodeModel | None
    ) -> Job:
        return Job(
            request_id=str(request.number),
            keys=request.keys,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            priority=request.priority,
            on_first_token=self._first_token_callback(request, engine_id, node),
            on_finished=self._finished_callback(engine_id, node),
        )

    def _first_token_callback(self, request: TraceRequest, engine_id: str, node):
        def on_first_token(job: Job) -> None:
            self._measure(request, job)
            if node is not None:
                report = lambda: node.record_first_token(engine_id, job)  # noqa: E731
                self._clock.after(NETWORK_DELAY_S, report)

        return on_first_token

    def _finished_callback(self, engine_id: str, node):
        def on_finished(job: Job) -> None:
            self._result.unfinished -= 1
            if node is not None:
                report = lambda: node.record_finished(engine_id, job)  # noqa: E731
                self._clock.after(NETWORK_DELAY_S, report)

        return on_finished

    def _measure(self, request: TraceRequest, job: Job) -> None:
        computed_keys = request.keys[job.cached_blocks :]
        if request.at_s >= WARM_UP_S:
            self._add_measurement(request, job, computed_keys)
        self._seen_keys.update(computed_keys)

    def _add_measurement(
        self, request: TraceRequest, job: Job, computed_keys: tuple[int, ...]
    ) -> None:
        result = self._result
        ttft_s = self._clock.now_s - request.at_s + NETWORK_DELAY_S
        result.ttfts_s.append(ttft_s)
        if request.priority == 0:
            result.interactive_ttfts_s.append(ttft_s)
        result.blocks += len(request.keys)
        result.hit_blocks += job.cached_blocks
        result.imported_blocks += job.imported_blocks
        result.computed_tokens += (
            request.prompt_tokens - job.cached_blocks * BLOCK_TOKENS
        )
        recomputed = sum(key in self._seen_keys for key in computed_keys)
        result.recomputed_tokens += recomputed * BLOCK_TOKENS
