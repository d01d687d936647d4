from __future__ import annotations

import unittest
from collections import Counter

from crocuswick.rendezvous import Rendezvous, stable_hash

KEYS = [stable_hash(f"key-{number}") for number in range(3000)]


class RendezvousTests(unittest.TestCase):
    def test_same_choice_for_any_order_of_members(self):
        forward = Rendezvous(members=["a", "b", "c"])
        backward = Rendezvous(members=["c", "b", "a"])
        for key in KEYS:
            self.assertEqual(forward.choose(key), backward.choose(key))

    def test_a_lost_member_moves_only_its_own_keys(self):
        before = Rendezvous(members=["a", "b", "c", "d"])
        after = Rendezvous(members=["a", "b", "d"])
        for key in KEYS:
            if before.choose(key) != "c":
                self.assertEqual(before.choose(key), after.choose(key))
            else:
                self.assertEqual(before.choose_many(key, count=2)[1], after.choose(key))

    def test_members_get_even_shares(self):
        rendezvous = Rendezvous(members=[f"engine-{number}" for number in range(6)])
        shares = Counter(rendezvous.choose(key) for key in KEYS)
        for share in shares.values():
            self.assertAlmostEqual(share, len(KEYS) / 6, delta=len(KEYS) / 6 * 0.2)

    def test_second_choices_are_even_too(self):
        rendezvous = Rendezvous(members=[f"engine-{number}" for number in range(4)])
        pairs = Counter(tuple(rendezvous.choose_many(key, count=2)) for key in KEYS)
        self.assertEqual(len(pairs), 12)
        self.assertLess(max(pairs.values()), 2 * min(pairs.values()))

    def test_no_members(self):
        self.assertIsNone(Rendezvous(members=[]).choose(1))


if __name__ == "__main__":
    unittest.main()
