"""Tests of the placement benchmark."""

from __future__ import annotations

import unittest

from crocuswick.placement_policy import policies_by_name
from tests.bench.engine import BlockCache
from tests.bench.oracle import unavoidable_work
from tests.bench.simulation import PERFECT_KNOWLEDGE, RunSpec, run_policy
from tests.bench.trace import TraceSpec, create_trace

SPEC = TraceSpec(seed=3, duration_s=40.0, requests_per_s=6.0)


class TraceTests(unittest.TestCase):
    def test_trace_is_determined_by_its_seed(self):
        self.assertEqual(create_trace(SPEC), create_trace(SPEC))
        other = TraceSpec(seed=4, duration_s=40.0, requests_per_s=6.0)
        self.assertNotEqual(create_trace(SPEC), create_trace(other))

    def test_prefixes_nest(self):
        first_keys = {request.keys[0] for request in create_trace(SPEC)}
        self.assertLessEqual(len(first_keys), SPEC.organisations)


class BlockCacheTests(unittest.TestCase):
    def test_evicts_the_end_of_the_oldest_prompt_first(self):
        cache = BlockCache(capacity_blocks=5)
        cache.store([1, 2, 3])
        stored, evicted = cache.store([1, 7, 8, 9])
        self.assertEqual((stored, evicted), ([7, 8, 9], [3]))

    def test_pinned_blocks_stay(self):
        cache = BlockCache(capacity_blocks=2)
        cache.store([1, 2])
        cache.pin([1, 2])
        self.assertEqual(cache.store([3])[1], [])


class SimulationTests(unittest.TestCase):
    def test_every_policy_finishes(self):
        trace = create_trace(SPEC)
        for policy in [*policies_by_name, PERFECT_KNOWLEDGE]:
            with self.subTest(policy=policy):
                result = run_policy(policy, trace, RunSpec(nodes=3))
                self.assertEqual(result.unfinished, 0)

    def test_run_is_reproducible(self):
        trace = create_trace(SPEC)
        results = [run_policy("current", trace, RunSpec(nodes=3)) for _ in range(2)]
        self.assertEqual(results[0].ttfts_s, results[1].ttfts_s)
        self.assertEqual(results[0].hit_blocks, results[1].hit_blocks)

    def test_placement_by_cache_beats_random(self):
        trace = create_trace(SPEC)
        hits = {
            policy: run_policy(policy, trace, RunSpec()).hit_blocks
            for policy in ("random", "current")
        }
        self.assertGreater(hits["current"], hits["random"])

    def test_pooled_cache_computes_less_than_random_placement(self):
        trace = create_trace(SPEC)
        work = unavoidable_work(trace, capacity_blocks=6 * 240, measured_from_s=20.0)
        result = run_policy("random", trace, RunSpec())
        self.assertLess(work.computed_tokens, result.computed_tokens)


if __name__ == "__main__":
    unittest.main()
