"""Tests for rollout planning, with simulated replicas."""

from __future__ import annotations

import random
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from crocuswick.rollout import (
    MAX_LOADING_REPLICAS,
    Replica,
    ReplicaPhase,
    Rollout,
    RolloutStatus,
    plan_rollout,
    previous_version,
    routable_version,
)

ROLLOUT = Rollout(id=7, pool="p", model="m", old_version="v1", new_version="v2")


def replicas(count, version="v1"):
    return [
        Replica(
            endpoint_id=f"e{number}", phase=ReplicaPhase.READY, weights_version=version
        )
        for number in range(count)
    ]


class SimulatedPool:
    """Simulated replicas that load new weights, or fail to, after a random time."""

    def __init__(self, count, *, seed, fails):
        self.replicas = {each.endpoint_id: each for each in replicas(count)}
        self.random = random.Random(seed)
        self.fails = fails
        self.rollout = ROLLOUT

    def step(self):
        plan = plan_rollout(self.rollout, list(self.replicas.values()))
        if plan.status is RolloutStatus.MUST_ROLL_BACK:
            self.rollout = attrs.evolve(self.rollout, is_rolled_back=True)
        for endpoint_id in plan.endpoint_ids:
            self._change(endpoint_id, phase=ReplicaPhase.LOADING)
        return plan.status

    def advance(self):
        """Complete a random selection of the running loads."""
        for replica in list(self.replicas.values()):
            is_ending = self.random.random() < 0.5
            if replica.phase is not ReplicaPhase.LOADING or not is_ending:
                continue
            target = self.rollout.target_version
            if target == "v2" and self.fails:
                self._change(
                    replica.endpoint_id, phase=ReplicaPhase.READY, has_failed=True
                )
            else:
                self._change(
                    replica.endpoint_id,
                    phase=ReplicaPhase.READY,
                    weights_version=target,
                )

    def count(self, phase):
        return sum(each.phase is phase for each in self.replicas.values())

    def _change(self, endpoint_id, **changes):
        self.replicas[endpoint_id] = attrs.evolve(self.replicas[endpoint_id], **changes)


class PlanTests(unittest.TestCase):
    @given(st.integers(2, 9), st.integers(0, 1000), st.booleans())
    def test_always_a_ready_replica_and_few_loads(self, count, seed, fails):
        pool = SimulatedPool(count, seed=seed, fails=fails)
        for _ in range(300):
            status = pool.step()
            self.assertLessEqual(pool.count(ReplicaPhase.LOADING), MAX_LOADING_REPLICAS)
            self.assertGreaterEqual(pool.count(ReplicaPhase.READY), 1)
            if status is RolloutStatus.DONE:
                break
            pool.advance()
        self.assertIs(status, RolloutStatus.DONE)
        self.assertEqual(pool.rollout.is_rolled_back, fails)
        served = {each.weights_version for each in pool.replicas.values()}
        self.assertEqual(served, {"v1" if fails else "v2"})

    def test_single_replica_is_never_ordered_to_load(self):
        plan = plan_rollout(ROLLOUT, replicas(1))
        self.assertIs(plan.status, RolloutStatus.BLOCKED)
        self.assertEqual(plan.endpoint_ids, ())

    def test_replica_with_neither_version_loads_first(self):
        pool = [*replicas(1), *replicas(2, version="")]
        pool[1] = attrs.evolve(pool[1], endpoint_id="empty")
        plan = plan_rollout(ROLLOUT, pool[:2])
        self.assertEqual(plan.endpoint_ids, ("empty",))

    def test_loads_in_other_pools_count_towards_the_limit(self):
        plan = plan_rollout(ROLLOUT, replicas(5), loading_elsewhere=2)
        self.assertEqual(plan.endpoint_ids, ())
        self.assertIs(plan.status, RolloutStatus.RUNNING)

    def test_unreachable_and_leaving_replicas_do_not_count(self):
        pool = replicas(3)
        pool[0] = attrs.evolve(pool[0], phase=ReplicaPhase.LEAVING)
        pool[1] = attrs.evolve(pool[1], phase=ReplicaPhase.UNREACHABLE)
        self.assertEqual(plan_rollout(ROLLOUT, pool).endpoint_ids, ())

    def test_failure_without_an_old_version_stops_ordering(self):
        rollout = attrs.evolve(ROLLOUT, old_version="")
        pool = [attrs.evolve(each, has_failed=True) for each in replicas(3, "")]
        plan = plan_rollout(rollout, pool)
        self.assertIs(plan.status, RolloutStatus.BLOCKED)


class VersionTests(unittest.TestCase):
    def test_requests_move_when_the_new_version_has_as_many_replicas(self):
        for new_count, expected in ((0, "v1"), (1, "v1"), (2, "v2"), (4, "v2")):
            ready = {"v1": 4 - new_count, "v2": new_count}
            with self.subTest(new_count=new_count):
                version = routable_version(
                    old_version="v1", new_version="v2", ready_by_version=ready
                )
                self.assertEqual(version, expected)

    def test_previous_version_is_the_most_common_other_one(self):
        pool = [*replicas(2), *replicas(1, "v0"), *replicas(4, "v2")]
        self.assertEqual(previous_version(pool, "v2"), "v1")
        self.assertEqual(previous_version(pool[3:], "v2"), "")


if __name__ == "__main__":
    unittest.main()
