from __future__ import annotations

import unittest

from crocuswick.kv_import import ImportCost


class ImportCostTests(unittest.TestCase):
    cost = ImportCost(setup_s=0.010, seconds_per_block=0.005)

    def test_transfer_grows_with_the_blocks(self):
        self.assertAlmostEqual(self.cost.transfer_s(0), 0.0)
        self.assertAlmostEqual(self.cost.transfer_s(10), 0.060)

    def test_saving_is_negative_where_prefill_is_cheaper(self):
        slow, fast = 1 / 10_000, 1 / 1_000_000
        self.assertGreater(self.cost.saving_s(10, seconds_per_token=slow), 0.9)
        self.assertLess(self.cost.saving_s(10, seconds_per_token=fast), 0.0)


if __name__ == "__main__":
    unittest.main()
