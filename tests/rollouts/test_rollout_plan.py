"""Tests of the selection of engines that load weights next."""

from __future__ import annotations

import unittest

from crocuswick.relay.engine_state import EngineState
from crocuswick.relay.replica import ReplicaState
from crocuswick.rollouts.rollout_plan import (
    max_concurrent_loads,
    next_steps,
    outdated_engines,
)
from tests.relay.samples import MODEL, replica


def engine(name, version=1, load=0, **changes):
    return EngineState(
        replica=replica(name, **changes),
        weights_by_model={MODEL: version},
        prefill_tokens=load,
    )


def plan(engines, target_by_model, **changes):
    return next_steps(engines, outdated_engines(engines, target_by_model), **changes)


class RolloutPlanTests(unittest.TestCase):
    def test_a_share_of_the_engines_loads_at_once(self):
        self.assertEqual(
            [max_concurrent_loads(n) for n in (1, 5, 6, 29)], [1, 2, 2, 11]
        )

    def test_the_least_loaded_engines_go_first(self):
        engines = [engine("a", load=9), engine("b", load=1), engine("c", load=5)]
        engines += [engine("d", version=2), engine("e", version=2)]
        steps = plan(engines, {MODEL: 2})
        self.assertEqual([step.replica.id for step in steps], ["b", "c"])

    def test_loading_engines_count_towards_the_limit(self):
        engines = [engine(name) for name in "abcde"]
        busy = [engines[0].replica.incarnation, engines[1].replica.incarnation]
        self.assertEqual(plan(engines, {MODEL: 2}, busy_incarnations=busy), [])
        steps = plan(engines, {MODEL: 2}, busy_incarnations=busy[:1])
        self.assertEqual([step.replica.id for step in steps], ["b"])

    def test_engines_that_failed_to_load_do_not_count_towards_the_limit(self):
        """Crashed engines look idle and stay listed for some seconds."""
        engines = [engine("dead"), engine("gone"), engine("a", load=5)]
        engines += [engine(name, load=9) for name in "bc"]
        failed = [each.replica.incarnation for each in engines[:2]]
        steps = plan(engines, {MODEL: 2}, paused_incarnations=failed)
        self.assertEqual([step.replica.id for step in steps], ["a", "b"])

    def test_an_engine_is_ordered_straight_to_the_target_version(self):
        steps = plan([engine("a", version=1)], {MODEL: 4})
        self.assertEqual([step.version for step in steps], [4])

    def test_engines_that_leave_are_not_ordered(self):
        leaving = engine("a", state=ReplicaState.DRAINING)
        self.assertEqual(outdated_engines([leaving], {MODEL: 2}), [])

    def test_models_without_a_target_version_are_not_ordered(self):
        self.assertEqual(outdated_engines([engine("a")], {"other": 5}), [])
