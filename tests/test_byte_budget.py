"""Tests of the limit on buffered bytes."""

from __future__ import annotations

import unittest

from crocuswick.byte_budget import ByteBudget


class ByteBudgetTests(unittest.TestCase):
    def test_refuses_beyond_the_capacity_until_bytes_are_released(self):
        budget = ByteBudget(capacity_bytes=10)
        self.assertTrue(budget.reserve(6).is_ok())
        refusal = budget.reserve(5).err_value
        self.assertEqual((refusal.status, refusal.outcome), (503, "not_run"))
        budget.release(6)
        self.assertTrue(budget.reserve(10).is_ok())
        self.assertEqual(budget.reserved_bytes, 10)
