from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from crocuswick.block_table import BlockTable

SMALL_KEYS = st.integers(0, 7).map(lambda number: number << 59 | number)
BITS = st.sampled_from([1, 2, 4])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), SMALL_KEYS, BITS),
        st.tuples(st.just("discard"), SMALL_KEYS, BITS),
        st.tuples(st.just("clear"), st.just(0), BITS),
        st.tuples(st.just("sweep"), st.just(0), BITS),
    ),
    max_size=60,
)


class BlockTableTests(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(STEPS)
    def test_agrees_with_a_set_of_pairs(self, steps):
        table = BlockTable(max_blocks=100)
        pairs = set()
        for step, key, bit in steps:
            if step == "add":
                self.assertEqual(table.add(key, bit), (key, bit) not in pairs)
                pairs.add((key, bit))
            elif step == "discard":
                self.assertEqual(table.discard(key, bit), (key, bit) in pairs)
                pairs.discard((key, bit))
            elif step == "clear":
                table.clear(bit)
                pairs = {pair for pair in pairs if pair[1] != bit}
            else:
                table.sweep()
            for number in range(8):
                key = number << 59 | number
                expected = sum(bit for held, bit in pairs if held == key)
                self.assertEqual(table.mask(key), expected)

    def test_never_exceeds_its_size(self):
        table = BlockTable(max_blocks=50)
        for key in range(1000):
            table.add(key << 40, 1)
        self.assertLessEqual(len(table), 50)

    def test_sweeping_removes_the_keys_without_holders(self):
        table = BlockTable(max_blocks=5000)
        for key in range(2000):
            table.add(key << 53, 1 if key % 2 else 3)
        table.clear(1)
        while table.sweep_pending:
            table.sweep()
        self.assertEqual(len(table), 1000)


if __name__ == "__main__":
    unittest.main()
