"""Tests of the table of replicas."""

from __future__ import annotations

import unittest

from crocuswick.relay.replica import ReplicaState
from crocuswick.relay.replica_table import ReplicaTable
from tests.relay.samples import ENGINES, replica


class ReplicaTableTests(unittest.TestCase):
    def setUp(self):
        self.table = ReplicaTable()
        self.table.update(replica("r", report_number=5))

    def usable(self, now_s=0.0):
        return [each.id for each in self.table.usable(ENGINES.name, now_s)]

    def test_a_draining_incarnation_stays_draining(self):
        self.table.update(replica("r", report_number=6, state=ReplicaState.DRAINING))
        self.table.update(replica("r", report_number=7))
        self.assertEqual(self.usable(), [])

    def test_a_restart_under_the_same_id_is_usable_again(self):
        self.table.update(replica("r", report_number=6, state=ReplicaState.DRAINING))
        self.table.update(replica("r", started_ms=9, report_number=1))
        self.assertEqual(self.usable(), ["r"])

    def test_an_older_report_is_ignored(self):
        self.table.update(replica("r", report_number=4, zone="z"))
        self.assertEqual(self.table.find("r", 0.0).zone, "a")

    def test_a_late_entry_of_an_earlier_start_is_ignored(self):
        self.table.update(replica("r", started_ms=9, report_number=1))
        self.table.update(replica("r", started_ms=1, report_number=99, zone="z"))
        self.assertEqual(self.table.find("r", 0.0).started_ms, 9)

    def test_a_removed_replica_is_not_usable(self):
        self.table.remove("r", takes_effect_s=0.0)
        self.assertEqual(self.usable(0.0), [])

    def test_an_entry_that_returns_in_time_cancels_the_removal(self):
        self.table.remove("r", takes_effect_s=2.0)
        self.assertEqual(self.usable(1.9), ["r"])
        self.table.update(replica("r", report_number=6))
        self.assertEqual(self.usable(3.0), ["r"])

    def test_an_entry_from_before_the_removal_does_not_bring_a_replica_back(self):
        """A store that returns from an older copy has entries of replicas that have
        left since."""
        self.table.remove("r", takes_effect_s=2.0)
        self.table.update(replica("r", report_number=5))
        self.assertEqual(self.usable(2.0), [])
        self.table.update(replica("r", report_number=5))
        self.assertEqual(self.usable(2.0), [])
        self.table.update(replica("r", report_number=6))
        self.assertEqual(self.usable(2.0), ["r"])

    def test_a_replica_that_says_that_it_leaves_is_not_usable_until_it_restarts(self):
        """Its entry may be late, or may never say so."""
        self.assertTrue(self.table.mark_leaving("r@1"))
        self.assertFalse(self.table.mark_leaving("r@1"))
        self.assertEqual(self.usable(), [])
        self.table.update(replica("r", report_number=9))
        self.assertEqual(self.usable(), [])
        self.table.update(replica("r", started_ms=2, report_number=1))
        self.assertEqual(self.usable(), ["r"])

    def test_a_removal_takes_effect_without_a_new_entry(self):
        self.table.remove("r", takes_effect_s=2.0)
        self.assertEqual(self.usable(2.0), [])
