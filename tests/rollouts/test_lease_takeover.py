"""Tests of when a node takes over the order lease."""

from __future__ import annotations

import unittest

from crocuswick.rollouts.lease_takeover import (
    STARTUP_WAIT_S,
    TAKE_OVER_STEP_S,
    LeaseTakeover,
)


class LeaseTakeoverTests(unittest.TestCase):
    def setUp(self):
        self.takeover = LeaseTakeover(started_s=0.0)
        self.takeover.engines_outdated(10.0)

    def is_own_turn(self, now_s, rank, holds_lease=False):
        return self.takeover.is_own_turn(now_s, rank=rank, holds_lease=holds_lease)

    def test_nodes_may_claim_the_lease_in_the_order_of_their_ranks(self):
        self.assertTrue(self.is_own_turn(10.0, 0))
        self.assertFalse(self.is_own_turn(10.0, 1))
        self.assertTrue(self.is_own_turn(10.0 + TAKE_OVER_STEP_S, 1))
        self.assertFalse(self.is_own_turn(10.0 + TAKE_OVER_STEP_S, 2))

    def test_an_active_holder_keeps_the_others_waiting(self):
        """Otherwise nodes take the lease from each other while each waits to use it:
        two nodes did so 57 times in a test run."""
        for step in range(50):
            now_s = 10.0 + 0.3 * step
            self.takeover.holder_seen(now_s, next_in_s=4.5)
            self.assertFalse(self.is_own_turn(now_s, 1))

    def test_the_first_in_rank_waits_for_an_active_holder_too(self):
        """Otherwise a restarted node that is first in rank takes the lease from a
        holder that is sending orders."""
        for step in range(50):
            now_s = 10.0 + 0.3 * step
            self.takeover.holder_seen(now_s, next_in_s=0.0)
            self.assertFalse(self.is_own_turn(now_s + 0.3, 0))

    def test_a_silent_holder_is_replaced(self):
        self.takeover.holder_seen(10.0, next_in_s=0.0)
        self.assertTrue(self.is_own_turn(10.0 + TAKE_OVER_STEP_S, 0))
        self.assertTrue(self.is_own_turn(10.01 + 2 * TAKE_OVER_STEP_S, 1))

    def test_a_node_whose_claim_failed_lets_the_others_try(self):
        self.takeover.claim_failed(10.0)
        self.assertFalse(self.is_own_turn(10.0 + TAKE_OVER_STEP_S, 0))

    def test_a_node_that_cannot_reach_the_store_backs_off(self):
        pauses = []
        now_s = 10.0
        for _ in range(6):
            self.takeover.claim_failed(now_s)
            start_s = now_s
            while not self.is_own_turn(now_s, 0):
                now_s += 0.1
            pauses.append(now_s - start_s)
        self.assertGreater(pauses[3], pauses[0])
        self.assertLess(max(pauses), 4.2)

    def test_after_a_release_the_first_in_rank_may_claim_the_lease_at_once(self):
        """Otherwise all nodes claim the lease at the same moment, and each node that
        loses it announces another release."""
        self.takeover.holder_seen(10.0, next_in_s=4.5)
        self.takeover.holder_released(10.1)
        self.assertTrue(self.is_own_turn(10.1, 0))
        self.assertFalse(self.is_own_turn(10.1, 1))
        self.assertTrue(self.is_own_turn(10.1 + TAKE_OVER_STEP_S, 1))

    def test_no_node_orders_when_all_engines_are_current(self):
        self.takeover.engines_current()
        self.assertFalse(self.is_own_turn(99.0, 0))

    def test_a_holder_keeps_sending_orders(self):
        self.takeover.holder_seen(10.0, next_in_s=9.0)
        self.assertTrue(self.is_own_turn(10.1, 4, holds_lease=True))

    def test_a_node_that_has_just_started_waits_for_its_peers(self):
        """Otherwise a restarted node takes the lease from a holder of which it has not
        yet been notified."""
        takeover = LeaseTakeover(started_s=10.0)
        takeover.engines_outdated(10.0)
        self.assertFalse(takeover.is_own_turn(10.1, rank=0, holds_lease=False))
        later_s = 10.0 + STARTUP_WAIT_S
        self.assertTrue(takeover.is_own_turn(later_s, rank=0, holds_lease=False))
