from __future__ import annotations

import unittest

from crocuswick.hot_prefix import HotPrefixes


class HotPrefixesTests(unittest.TestCase):
    def home_count(self, prefixes, key, now_s):
        return prefixes.home_count(key, endpoints=10, now_s=now_s)

    def test_homes_grow_with_the_share_and_fall_again(self):
        prefixes = HotPrefixes(half_life_s=5.0)
        for step in range(200):
            prefixes.record([1], step * 0.01)
            prefixes.record([1000 + step], step * 0.01)
        self.assertIn(self.home_count(prefixes, 1, 2.0), (5, 6))
        self.assertEqual(self.home_count(prefixes, 1000, 2.0), 1)
        for step in range(400):
            prefixes.record([2], 60.0 + step * 0.01)
        self.assertEqual(self.home_count(prefixes, 1, 64.0), 1)

    def test_few_requests_make_no_prefix_hot(self):
        prefixes = HotPrefixes()
        prefixes.record([1], 0.0)
        self.assertEqual(self.home_count(prefixes, 1, 0.0), 1)

    def test_memory_is_bounded_and_keeps_the_hottest(self):
        prefixes = HotPrefixes(max_prefixes=64)
        for step in range(2000):
            prefixes.record([1, 100 + step], step * 0.01)
        self.assertLessEqual(len(prefixes), 64)
        self.assertGreater(prefixes.share(1), 0.9)

    def test_shares_stay_correct_over_long_runs(self):
        prefixes = HotPrefixes(half_life_s=1.0)
        for step in range(5000):
            prefixes.record([step % 2], step * 0.1)
        self.assertAlmostEqual(prefixes.share(0), 0.5, delta=0.05)


if __name__ == "__main__":
    unittest.main()
