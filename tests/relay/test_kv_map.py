"""Tests of the modelled caches."""

from __future__ import annotations

import unittest

from crocuswick.relay.kv_map import KvMap, ModelledCache


class ModelledCacheTests(unittest.TestCase):
    def test_the_least_recently_used_part_is_evicted(self):
        """A full cache: what was used last stays."""
        cache = ModelledCache(capacity_tokens=30_000)
        cache.use(("s", "a"), 10_000)
        cache.use(("s", "b"), 10_000)
        cache.use(("s", "a"), 10_000)
        cache.use(("s", "c"), 15_000)
        self.assertIn(("s", "a"), cache)
        self.assertNotIn(("s", "b"), cache)

    def test_small_prompts_fill_the_cache_too(self):
        cache = ModelledCache(capacity_tokens=20_000)
        cache.use(("s", "a"), 10_000)
        for _ in range(40):
            cache.fill(400)
        self.assertNotIn(("s", "a"), cache)

    def test_another_salt_is_another_part(self):
        cache = ModelledCache(capacity_tokens=20_000)
        cache.use(("v1", "a"), 10_000)
        self.assertNotIn(("v2", "a"), cache)


class KvMapTests(unittest.TestCase):
    def test_holders_are_forgotten_with_their_cache(self):
        kv_map = KvMap()
        for incarnation in ("x", "y"):
            kv_map.engine(incarnation, 50_000).use(("s", "a"), 10_000)
        kv_map.forget("x")
        self.assertEqual(kv_map.holders("s", "a"), ["y"])
        self.assertFalse(kv_map.holds("x", "s", "a"))

    def test_the_store_evicts_as_well(self):
        kv_map = KvMap()
        for number in range(5):
            kv_map.record_stored("s", str(number), 10_000, 30_000)
        self.assertFalse(kv_map.is_stored("s", "0"))
        self.assertTrue(kv_map.is_stored("s", "4"))
