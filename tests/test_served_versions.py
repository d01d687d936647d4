"""Tests for the weights versions that callers get during rollouts."""

from __future__ import annotations

import unittest

import attrs

from crocuswick.configuration import Configuration, check_objects
from crocuswick.rollout import Rollout
from crocuswick.served_versions import ServedWeights, configuration_for_callers
from tests.configuration.sets import small_objects

ROLLOUT = Rollout(id=1, pool="engines", model="lm", old_version="v0", new_version="v1")


class CallersConfigurationTests(unittest.TestCase):
    def setUp(self):
        self.configuration = Configuration.from_objects(
            revision=3, objects=check_objects(small_objects()).unwrap()
        )

    def callers_configuration(self, *, rollouts=(), **ready):
        """Return the callers' configuration for ready replicas per version."""
        counts = {
            ServedWeights(pool="engines", model="lm", weights_version=version): count
            for version, count in ready.items()
        }
        return configuration_for_callers(
            self.configuration, rollouts=rollouts, ready_replicas_by_weights=counts
        )

    def version(self, **arguments):
        configuration = self.callers_configuration(**arguments)
        policy = configuration.policy_for_model("lm-pool")
        return configuration.model_versions_by_id[policy.model_version].weights_version

    def test_nothing_differs_without_a_rollout(self):
        self.assertIs(self.callers_configuration(v1=5), self.configuration)
        self.assertIs(self.callers_configuration(), self.configuration)

    def test_old_weights_serve_before_the_rollout_begins(self):
        configuration = self.callers_configuration(v0=5)
        self.assertEqual(configuration.revision, 3)
        self.assertEqual(self.version(v0=5), "v0")

    def test_callers_move_during_the_rollout(self):
        self.assertEqual(self.version(rollouts=[ROLLOUT], v0=3), "v0")
        self.assertEqual(self.version(rollouts=[ROLLOUT], v0=3, v1=2), "v0")
        self.assertEqual(self.version(rollouts=[ROLLOUT], v0=1, v1=2), "v1")

    def test_old_weights_stay_after_a_roll_back(self):
        rolled_back = attrs.evolve(ROLLOUT, is_rolled_back=True)
        self.assertEqual(self.version(rollouts=[rolled_back], v0=1, v1=2), "v0")

    def test_rollout_to_other_weights_is_ignored(self):
        previous = attrs.evolve(ROLLOUT, new_version="v9", is_rolled_back=True)
        self.assertEqual(self.version(rollouts=[previous], v0=1, v1=2), "v1")


if __name__ == "__main__":
    unittest.main()
