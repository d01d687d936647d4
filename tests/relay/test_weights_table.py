"""Tests of target versions and served versions."""

from __future__ import annotations

import unittest

from crocuswick.relay.weights_table import MAX_TARGET_VERSIONS, WeightsTable


class WeightsTableTests(unittest.TestCase):
    def setUp(self):
        self.table = WeightsTable()

    def test_each_version_counts_from_its_own_announcement(self):
        """The age of outdated weights counts from the first newer version, even if
        further ones follow."""
        self.table.set_target("m", 2, 10.0)
        self.table.set_target("m", 3, 18.0)
        self.assertEqual(self.table.outdated_since("m", 1), 10.0)
        self.assertEqual(self.table.outdated_since("m", 2), 18.0)
        self.assertIsNone(self.table.outdated_since("m", 3))

    def test_the_earliest_announcement_counts(self):
        """Guards against a restarted node that counts the age from its own start
        instead of the announcement that its peers know."""
        self.table.set_target("m", 2, 15.1)
        self.table.set_target("m", 2, 13.0)
        self.table.set_target("m", 2, 14.0)
        self.assertEqual(self.table.outdated_since("m", 1), 13.0)

    def test_an_assumed_announcement_yields_to_an_observed_one(self):
        """Guards against a node that holds on to the age it had to assume at its start
        after a peer has told it the true one."""
        self.table.assume_target("m", 2, 3.0)
        self.assertEqual(self.table.outdated_since("m", 1), 3.0)
        self.table.set_target("m", 2, 12.0)
        self.table.assume_target("m", 2, 1.0)
        self.assertEqual(self.table.outdated_since("m", 1), 12.0)

    def test_assumed_announcements_are_not_passed_on(self):
        """Guards against nodes that confirm each other's assumptions."""
        self.table.assume_target("m", 2, 3.0)
        self.table.set_target("m", 3, 5.0)
        self.assertEqual([each.version for each in self.table.observed_targets()], [3])

    def test_replicas_with_unknown_weights_are_outdated(self):
        self.table.set_target("m", 1, 5.0)
        self.assertEqual(self.table.outdated_since("m", None), 5.0)
        self.assertIsNone(self.table.outdated_since("other", None))

    def test_the_number_of_remembered_versions_is_bounded(self):
        for version in range(100):
            self.table.set_target("m", version, float(version))
        self.assertEqual(len(self.table.observed_targets()), MAX_TARGET_VERSIONS)

    def test_served_versions_never_decrease(self):
        self.assertTrue(self.table.record_served("x@1", "m", 2))
        self.assertFalse(self.table.record_served("x@1", "m", 1))
        self.assertEqual(self.table.served("x@1", "m"), 2)
        self.table.discard("x@1")
        self.assertIsNone(self.table.served("x@1", "m"))
