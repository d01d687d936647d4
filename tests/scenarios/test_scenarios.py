"""Scenario files read without faults, and some of them hold on fixed seeds."""

from __future__ import annotations

import unittest
from collections import Counter

from tests.scenarios.catalogue import load_all
from tests.scenarios.checkers import checkers_by_property
from tests.scenarios.soak import random_scenario

SCENARIOS_FOR_EACH_PROPERTY = 2


class FileTests(unittest.TestCase):
    def test_every_property_is_held_by_two_scenarios_at_least(self):
        counts = Counter(
            name
            for scenario in load_all().values()
            for name in {scenario.property_name, *scenario.held}
        )
        for name in checkers_by_property:
            self.assertGreaterEqual(counts[name], SCENARIOS_FOR_EACH_PROPERTY, name)

    def test_random_scenarios_are_sound_and_depend_on_the_seed(self):
        scenarios = [random_scenario(seed) for seed in range(50)]
        self.assertEqual(len({str(scenario.events) for scenario in scenarios}), 50)
        self.assertEqual(random_scenario(7), random_scenario(7))


if __name__ == "__main__":
    unittest.main()
