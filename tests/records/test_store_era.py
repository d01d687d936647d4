"""Tests of the era of the platform's store."""

from __future__ import annotations

import unittest

from crocuswick.records.position import MAX_ERA, era_of, offset_of, to_position
from crocuswick.records.store_era import MAX_STEP, StoreEra


class PositionTests(unittest.TestCase):
    def test_positions_are_ordered_by_era_and_then_by_offset(self):
        positions = [to_position(era, offset) for era in (0, 1, 7) for offset in (0, 9)]
        self.assertEqual(positions, sorted(positions))
        self.assertEqual([era_of(each) for each in positions], [0, 0, 1, 1, 7, 7])
        self.assertEqual([offset_of(each) for each in positions], [0, 9] * 3)

    def test_an_unknown_position_belongs_to_no_later_era(self):
        self.assertEqual((era_of(-1), offset_of(-1)), (0, -1))


class StoreEraTests(unittest.TestCase):
    def setUp(self):
        self.era = StoreEra()
        self.steps = []
        self.era.on_step(self.steps.append)

    def test_the_first_era_is_no_step(self):
        self.assertTrue(self.era.report(4))
        self.assertEqual((self.era.current, self.steps), (4, []))

    def test_each_later_era_is_a_step(self):
        for era in (4, 5, 5, 7):
            self.assertTrue(self.era.report(era))
        self.assertEqual(self.steps, [5, 7])

    def test_an_earlier_era_is_not_taken(self):
        self.era.report(4)
        self.assertFalse(self.era.report(3))
        self.assertEqual((self.era.current, self.steps), (4, []))

    def test_an_implausible_era_is_not_taken(self):
        """A malformed header must not make all later answers look outdated."""
        self.assertFalse(self.era.report(MAX_ERA + 1))
        self.assertFalse(self.era.report(-1))
        self.era.report(4)
        self.assertFalse(self.era.report(4 + MAX_STEP + 1))
        self.assertEqual(self.era.current, 4)
