"""Runs placement policies on one trace and prints a JSON line for each."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from absl import app, flags

from crocuswick.placement_policy import policies_by_name
from tests.bench.oracle import unavoidable_work
from tests.bench.simulation import PERFECT_KNOWLEDGE, WARM_UP_S, RunSpec, run_policy
from tests.bench.trace import TraceSpec, create_trace

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.bench.oracle import UnavoidableWork
    from tests.bench.simulation import RunResult

FLAGS = flags.FLAGS
flags.DEFINE_string("policy", "all", "Comma-separated names of policies, or all.")
flags.DEFINE_integer("seed", 1, "Seed of the trace and the run.")
flags.DEFINE_integer("nodes", 7, "Number of nodes.", lower_bound=1)
flags.DEFINE_integer("endpoints", 6, "Number of engines.", lower_bound=1)
flags.DEFINE_float("duration_s", 200.0, "Duration of the trace in seconds.")
flags.DEFINE_float("requests_per_s", 1.2, "Requests per second for each engine.")


def policy_names(wanted: str) -> list[str]:
    """Return the names of the policies to run."""
    known = [*policies_by_name, PERFECT_KNOWLEDGE]
    if wanted == "all":
        return known
    names = wanted.split(",")
    for name in names:
        if name not in known:
            raise app.UsageError(f"unknown policy {name!r}; known: {', '.join(known)}")
    return names


def quantile_ms(times_s: Sequence[float], fraction: float) -> float:
    """Return a quantile of times, in milliseconds."""
    ordered = sorted(times_s)
    return round(
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] * 1000.0, 1
    )


def summary(policy: str, result: RunResult, unavoidable: UnavoidableWork) -> dict:
    """Return the measurements of a run as a JSON object."""
    by_engine = result.prefill_tokens_by_engine.values()
    mean = sum(by_engine) / len(by_engine)
    recompute_ratio = result.recomputed_tokens / max(1, unavoidable.recomputed_tokens)
    return {
        "policy": policy,
        "hit_rate": round(result.hit_blocks / max(1, result.blocks), 4),
        "ttft_p50_ms": quantile_ms(result.ttfts_s, 0.5),
        "ttft_p99_ms": quantile_ms(result.ttfts_s, 0.99),
        "interactive_ttft_p99_ms": quantile_ms(result.interactive_ttfts_s, 0.99),
        "recomputed_tokens": result.recomputed_tokens,
        "recompute_ratio": round(recompute_ratio, 3),
        "compute_ratio": round(
            result.computed_tokens / max(1, unavoidable.computed_tokens), 3
        ),
        "imbalance": round(max(by_engine) / mean, 3),
        "decision_us": round(result.decision_us, 1),
        "imported_blocks": result.imported_blocks,
        "snapshots": result.snapshots,
        "unfinished": result.unfinished,
    }


def main(argv: Sequence[str]) -> None:
    """Run the benchmark."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments: {argv[1:]}")
    names = policy_names(FLAGS.policy)
    trace_spec = TraceSpec(
        seed=FLAGS.seed,
        duration_s=FLAGS.duration_s,
        requests_per_s=FLAGS.requests_per_s * FLAGS.endpoints,
    )
    trace = create_trace(trace_spec)
    spec = RunSpec(nodes=FLAGS.nodes, endpoints=FLAGS.endpoints, seed=FLAGS.seed)
    unavoidable = unavoidable_work(
        trace,
        capacity_blocks=spec.engine.capacity_blocks * FLAGS.endpoints,
        measured_from_s=WARM_UP_S,
    )
    results_by_policy: dict[object, RunResult] = {}
    for name in names:
        # `current` is an alias of another policy, which needs no second run.
        policy = policies_by_name.get(name, name)
        if policy not in results_by_policy:
            results_by_policy[policy] = run_policy(name, trace, spec)
        result = results_by_policy[policy]
        print(json.dumps(summary(name, result, unavoidable)), flush=True)


if __name__ == "__main__":
    app.run(main)
