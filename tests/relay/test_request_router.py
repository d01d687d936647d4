"""Tests of routing requests."""

from __future__ import annotations

import collections
import unittest

import attrs

from crocuswick.relay.request_router import route_request
from crocuswick.relay.serving import RouteKind, TrafficShare
from tests.relay.samples import ORGANISATION, caller, configuration, route


class RouteRequestTests(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self):
        wide = route(name="wide", path_prefix="/")
        other = route(name="other", host="b.example", path_prefix="/digest/1/")
        near = route(name="near", path_prefix="/digest/")
        found = route_request(configuration(wide, other, near), caller())
        self.assertEqual(found.ok_value.route.name, "near")

    def test_an_unknown_host_or_path_is_404(self):
        for changes in ({"host": "x.example"}, {"target": "/digest"}):
            refused = route_request(configuration(), caller(**changes))
            self.assertEqual(refused.err_value.status, 404)

    def test_the_query_is_not_matched_as_path(self):
        refused = route_request(configuration(), caller(target="/x?/digest/"))
        self.assertEqual(refused.err_value.status, 404)

    def test_a_missing_or_unknown_key_is_401(self):
        for key in (None, "", "stolen"):
            refused = route_request(configuration(), caller(key=key))
            self.assertEqual(refused.err_value.status, 401)

    def test_a_public_route_needs_no_key(self):
        found = route_request(configuration(route(is_public=True)), caller(key=None))
        self.assertIsNone(found.ok_value.organisation)

    def test_traffic_follows_the_weights_and_retries_keep_their_service(self):
        shares = (
            TrafficShare(service="engines", weight=90),
            TrafficShare(service="desk", weight=10),
        )
        split = configuration(route(shares=shares))
        services = collections.Counter()
        for number in range(2_000):
            request = caller(request_id=f"r{number}")
            first = route_request(split, request).ok_value.service
            again = route_request(split, request).ok_value.service
            self.assertEqual(first, again)
            services[first] += 1
        self.assertAlmostEqual(services["desk"] / 2_000, 0.1, delta=0.03)

    def test_the_priority_of_the_organisation_goes_before_the_routes(self):
        ranked = attrs.evolve(ORGANISATION, priority=1)
        both = configuration(
            route(name="quick", path_prefix="/q/", priority=0),
            route(priority=1),
            organisations_by_key={"k": ranked},
        )
        quick = route_request(both, caller(target="/q/")).ok_value
        digest = route_request(both, caller()).ok_value
        first = route_request(
            attrs.evolve(
                both,
                organisations_by_key={"k": attrs.evolve(ranked, priority=0)},
            ),
            caller(),
        ).ok_value
        self.assertLess(quick.priority, digest.priority)
        self.assertLess(first.priority, quick.priority)

    def test_the_deadline_is_the_shorter_of_budget_and_route(self):
        short = route_request(
            configuration(route(timeout_ms=500)), caller(received_s=10.0)
        )
        self.assertAlmostEqual(short.ok_value.deadline_s, 10.5)
        budget = route_request(
            configuration(), caller(received_s=10.0, time_budget_ms=200)
        )
        self.assertAlmostEqual(budget.ok_value.deadline_s, 10.2)

    def test_streams_run_again_only_if_they_can_be_resumed(self):
        for kind, is_resumable, expected in (
            (RouteKind.STREAMING, True, True),
            (RouteKind.STREAMING, False, False),
            (RouteKind.IDEMPOTENT, False, True),
            (RouteKind.NON_IDEMPOTENT, True, False),
        ):
            each = route(kind=kind, is_resumable=is_resumable)
            self.assertEqual(each.may_run_again, expected)
