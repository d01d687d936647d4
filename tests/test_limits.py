"""Tests of admission: limits, each node's share of them, and fair use of a node."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from crocuswick.demand_meter import OrganisationDemand
from crocuswick.fleet_share import FleetShare
from crocuswick.limits import Admission, OrganisationLimit
from crocuswick.outcome import Outcome


def demand(requests_per_s):
    """Return a demand of the organisation ``org``."""
    return OrganisationDemand(
        organisation="org", requests_per_s=requests_per_s, tokens_per_s=requests_per_s
    )


def admit_many(admission, organisation, count, *, now_s=0.0, priority=0, tokens=1):
    """Make requests at the same time, and return the tickets of those admitted."""
    results = [
        admission.admit(organisation, tokens, priority, now_s) for _ in range(count)
    ]
    return [result.ok_value for result in results if result.is_ok()]


def admitted_at_rate(admission, *, organisation="org", per_s, seconds, from_s=0):
    """Return how many requests at a constant rate are admitted, one at a time."""
    admitted = 0
    for number in range(int(per_s * seconds)):
        result = admission.admit(organisation, 1, 0, from_s + number / per_s)
        if result.is_ok():
            admitted += 1
            admission.release(result.ok_value)
    return admitted


class LimitTests(unittest.TestCase):
    def test_requests_stay_within_the_rate(self):
        admission = Admission(capacity=10)
        limit = OrganisationLimit(organisation="org", requests_per_s=5)
        admission.set_limits([limit], now_s=0)
        admitted = admitted_at_rate(admission, per_s=50, seconds=10)
        self.assertTrue(50 <= admitted <= 57, admitted)

    def test_request_larger_than_the_bucket_passes_and_delays_the_next(self):
        admission = Admission(capacity=10)
        limit = OrganisationLimit(organisation="org", tokens_per_s=100)
        admission.set_limits([limit], now_s=0)
        self.assertTrue(admission.admit("org", 1000, 0, 0.0).is_ok())
        refusal = admission.admit("org", 1, 0, 1.0).unwrap_err()
        self.assertEqual((refusal.status, refusal.outcome), (429, Outcome.NOT_RUN))
        self.assertAlmostEqual(refusal.retry_after_s, 8.0, delta=0.1)
        self.assertTrue(admission.admit("org", 1, 0, 9.1).is_ok())

    def test_unused_tokens_are_credited(self):
        admission = Admission(capacity=10)
        limit = OrganisationLimit(organisation="org", tokens_per_s=100)
        admission.set_limits([limit], now_s=0)
        ticket = admission.admit("org", 1000, 0, 0.0).unwrap()
        admission.release(ticket, used_tokens=50)
        self.assertTrue(admission.admit("org", 1, 0, 0.0).is_ok())

    def test_streams_are_bounded_and_released_once(self):
        admission = Admission(capacity=10)
        limit = OrganisationLimit(organisation="org", concurrent_streams=3)
        admission.set_limits([limit], now_s=0)
        tickets = admit_many(admission, "org", 5)
        self.assertEqual(len(tickets), 3)
        admission.release(tickets[0])
        admission.release(tickets[0])
        self.assertEqual(len(admit_many(admission, "org", 5)), 1)

    def test_other_organisations_are_not_affected_by_a_limit(self):
        admission = Admission(capacity=10)
        limit = OrganisationLimit(organisation="org", requests_per_s=0)
        admission.set_limits([limit], now_s=0)
        self.assertEqual(admit_many(admission, "org", 1), [])
        self.assertEqual(len(admit_many(admission, "other", 1)), 1)


class FairShareTests(unittest.TestCase):
    def test_flood_leaves_room_for_others_at_once(self):
        admission = Admission(capacity=32)
        flood = admit_many(admission, "large", 100)
        self.assertEqual(len(flood), 28)
        self.assertEqual(len(admit_many(admission, "small", 4)), 4)

    def test_shares_even_out_as_the_flood_ends(self):
        admission = Admission(capacity=32)
        flood = admit_many(admission, "large", 100)
        held = admit_many(admission, "small", 100)
        for step, ticket in enumerate(flood):
            now_s = step * 0.01
            admission.release(ticket)
            held += admit_many(admission, "small", 2, now_s=now_s)
            admit_many(admission, "large", 50, now_s=now_s)
        self.assertGreaterEqual(len(held), 16)

    def test_batch_leaves_slots_to_interactive_requests(self):
        admission = Admission(capacity=16)
        self.assertEqual(len(admit_many(admission, "org", 50, priority=9)), 12)
        self.assertEqual(len(admit_many(admission, "org", 50, priority=0)), 2)

    def test_reserve_is_never_used_and_refusal_reports_not_run(self):
        admission = Admission(capacity=10, reserve=4)
        for organisation in "abcdefghij":
            admit_many(admission, organisation, 5)
        self.assertEqual(admission.in_flight, 6)
        refusal = admission.admit("k", 1, 0, 0.0).unwrap_err()
        self.assertEqual((refusal.status, refusal.outcome), (503, Outcome.NOT_RUN))
        self.assertIsNotNone(refusal.retry_after_s)


class FleetShareTests(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(
        sides=st.lists(
            st.lists(st.floats(0, 1000), min_size=1, max_size=8),
            min_size=1,
            max_size=4,
        )
    )
    def test_shares_never_exceed_the_limit_in_any_partition(self, sides):
        fleet_nodes = sum(len(side) for side in sides)
        total = 0.0
        for side in sides:
            for own in side:
                share = FleetShare(
                    reachable_nodes=len(side),
                    fleet_nodes=fleet_nodes,
                    demand_by_organisation={"org": demand(sum(side) - own)},
                )
                total += share.requests_fraction(demand(own))
        self.assertLessEqual(total, 1 + 1e-6)
        self.assertGreaterEqual(total, 1 - 1e-6)

    def test_isolated_node_gets_an_even_share(self):
        share = FleetShare(reachable_nodes=1, fleet_nodes=7)
        fraction = share.requests_fraction(demand(50))
        self.assertAlmostEqual(fraction, 1 / 7)

    def test_busy_node_gets_the_larger_share(self):
        share = FleetShare(
            reachable_nodes=2,
            fleet_nodes=2,
            demand_by_organisation={"org": demand(1)},
        )
        self.assertGreater(share.requests_fraction(demand(19)), 0.85)

    def test_shares_add_up_to_the_rate_limit_of_the_fleet(self):
        limit = OrganisationLimit(organisation="org", requests_per_s=20)
        admitted = 0
        for own, other in ((30, 10), (10, 30)):
            admission = Admission(capacity=10)
            admission.set_limits([limit], now_s=0)
            admission.set_fleet_share(
                FleetShare(
                    reachable_nodes=2,
                    fleet_nodes=2,
                    demand_by_organisation={"org": demand(other)},
                )
            )
            # The demand meter takes some seconds to converge.
            admitted_at_rate(admission, per_s=own, seconds=10)
            admitted += admitted_at_rate(admission, per_s=own, from_s=10, seconds=20)
        self.assertTrue(390 <= admitted <= 410, admitted)
