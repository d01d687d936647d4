from __future__ import annotations

import statistics
import time
import unittest
from random import Random

import attrs

from crocuswick.placement import EndpointDescription, Placer
from tests.test_placement import KEYS, REPORT, REQUEST, PlacerTestCase, snapshot

DECISION_LIMIT_US = 200.0


class ImportTests(PlacerTestCase):
    def test_imports_from_a_busy_holder(self):
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        self.placer.record_load("e2", attrs.evolve(REPORT, queued_tokens=50_000), 0.0)
        placement = self.place()
        self.assertNotEqual(placement.endpoint_id, "e2")
        self.assertEqual(placement.import_from, "e2")
        self.assertEqual(placement.predicted_cached_blocks, len(KEYS))

    def test_no_import_where_prefill_is_cheaper(self):
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        for number in range(self.endpoints):
            tokens = 10_000_000 if number == 2 else 0
            report = attrs.evolve(
                REPORT, prefill_tokens_per_s=1_000_000, queued_tokens=tokens
            )
            self.placer.record_load(f"e{number}", report, 0.0)
        self.assertIsNone(self.place().import_from)

    def test_never_imports_from_an_ineligible_endpoint(self):
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        self.placer.set_leaving("e2", True)
        self.assertIsNone(self.place().import_from)


class DecisionCostTests(unittest.TestCase):
    def measure_us(self, endpoints):
        random = Random(1)
        placer = Placer(zone="z0", seed=1)
        placer.set_endpoints(
            EndpointDescription(id=f"e{n}", address=f"a{n}", zone="z0", pool="p")
            for n in range(endpoints)
        )
        for number in range(endpoints):
            placer.record_load(f"e{number}", REPORT, 0.0)
        times_ns = []
        for _ in range(300):
            keys = tuple(random.getrandbits(64) for _ in range(20))
            request = attrs.evolve(REQUEST, keys=keys, prompt_tokens=21_000)
            started_ns = time.thread_time_ns()
            placer.place(request, 0.0)
            times_ns.append(time.thread_time_ns() - started_ns)
        return statistics.median(times_ns) / 1000.0

    def test_unseen_prompt_at_207_endpoints(self):
        best_us = min(self.measure_us(207) for _ in range(5))
        # A shared machine may be 3 times slower than the one for which the limit is set.
        self.assertLess(best_us, 3 * DECISION_LIMIT_US)


if __name__ == "__main__":
    unittest.main()
