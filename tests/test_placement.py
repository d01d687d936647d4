from __future__ import annotations

import unittest

import attrs

from crocuswick.cache_index import CacheEvent, CacheEvents, CacheSnapshot
from crocuswick.load import LoadReport
from crocuswick.placement import EndpointDescription, PlacementRequest, Placer
from crocuswick.placement_policy import policies_by_name

KEYS = tuple(number << 58 for number in range(1, 11))
REPORT = LoadReport(
    incarnation="i1",
    weights_versions_by_model={"m": "v1"},
    state="ready",
    running=0,
    queued=0,
    queued_tokens=0,
    prefill_tokens_per_s=10_000,
    decode_tokens_per_s=1000,
    capacity_blocks=1000,
    cached_blocks=0,
    age_ms=0,
)
REQUEST = PlacementRequest(
    request_id="r1",
    model="m",
    weights_version="v1",
    keys=KEYS,
    prompt_tokens=10_300,
    max_tokens=10,
    priority=0,
    pool="p",
)


def description(number, zone="z1"):
    return EndpointDescription(
        id=f"e{number}", address=f"127.0.0.1:{number}", zone=zone, pool="p"
    )


def snapshot(keys, incarnation="i1"):
    return CacheSnapshot(incarnation=incarnation, next_seq=0, keys=keys)


class PlacerTestCase(unittest.TestCase):
    endpoints = 4

    def setUp(self):
        self.placer = self.create_placer()

    def create_placer(self, policy="current", seed=1):
        placer = Placer(zone="z1", policy=policy, seed=seed)
        placer.set_endpoints([description(n) for n in range(self.endpoints)])
        for number in range(self.endpoints):
            placer.record_load(f"e{number}", REPORT, 0.0)
        return placer

    def place(self, request=REQUEST, now_s=0.0, placer=None):
        return (placer or self.placer).place(request, now_s).unwrap()

    def chosen_ids(self, request=REQUEST, count=40):
        return {self.place(request).endpoint_id for _ in range(count)}


class EligibilityTests(PlacerTestCase):
    def lose_all_but(self, number):
        for other in range(self.endpoints):
            if other != number:
                self.placer.record_lost(f"e{other}", 0.0)

    def assert_not_placed(self):
        for _ in range(10):
            self.assertTrue(self.placer.place(REQUEST, 0.0).is_err())

    def test_endpoint_without_a_report_gets_no_requests(self):
        placer = Placer(zone="z1", seed=1)
        placer.set_endpoints([description(1)])
        self.assertTrue(placer.place(REQUEST, 0.0).is_err())

    def test_every_policy_refuses_other_weights_states_and_pools(self):
        changes = [
            {"weights_versions_by_model": {"m": "v2"}},
            {"weights_versions_by_model": {}},
            {"state": "loading"},
            {"state": "leaving"},
        ]
        for policy in policies_by_name:
            for change in changes:
                with self.subTest(policy=policy, change=change):
                    placer = self.create_placer(policy)
                    for number in range(1, self.endpoints):
                        report = attrs.evolve(REPORT, **change)
                        placer.record_load(f"e{number}", report, 0.0)
                    for _ in range(20):
                        placement = self.place(placer=placer)
                        self.assertEqual(placement.endpoint_id, "e0")
            other_pool = attrs.evolve(REQUEST, pool="other")
            self.assertTrue(placer.place(other_pool, 0.0).is_err())

    def test_leaving_endpoint_gets_no_requests_until_it_stops_leaving(self):
        self.lose_all_but(0)
        self.placer.set_leaving("e0", True)
        self.assert_not_placed()
        self.placer.set_leaving("e0", False)
        self.assertEqual(self.chosen_ids(), {"e0"})

    def test_lost_endpoint_gets_no_requests_until_its_next_report(self):
        self.lose_all_but(0)
        self.placer.record_lost("e0", 0.0)
        self.assert_not_placed()
        self.placer.record_load("e0", REPORT, 0.0)
        self.assertEqual(self.chosen_ids(), {"e0"})

    def test_excluded_endpoint_is_never_chosen(self):
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        request = attrs.evolve(REQUEST, excluded=frozenset({"e2", "e1"}))
        self.assertTrue(self.chosen_ids(request) <= {"e0", "e3"})

    def test_removed_endpoint_gets_no_requests_and_may_return(self):
        self.placer.set_endpoints([description(1)])
        self.assertEqual(self.chosen_ids(), {"e1"})
        self.placer.set_endpoints([description(0), description(1)])
        self.assertEqual(self.chosen_ids(), {"e1"})


class CacheTests(PlacerTestCase):
    def test_request_goes_to_the_holder(self):
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        placement = self.place()
        self.assertEqual(placement.endpoint_id, "e2")
        self.assertEqual(placement.predicted_cached_blocks, len(KEYS))

    def test_request_goes_elsewhere_when_the_holder_is_busy(self):
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        busy = attrs.evolve(REPORT, queued=9, queued_tokens=200_000)
        self.placer.record_load("e2", busy, 0.0)
        self.assertNotIn("e2", self.chosen_ids())

    def test_own_requests_count_before_a_report_contains_them(self):
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        long_request = attrs.evolve(REQUEST, prompt_tokens=200_000, request_id="r0")
        placement = self.place(long_request)
        self.placer.record_sent("e2", "r0", placement, long_request, 0.0)
        self.assertNotIn("e2", self.chosen_ids())

    def test_earlier_incarnation_is_ignored(self):
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        restarted = attrs.evolve(REPORT, incarnation="i2")
        self.placer.record_load("e2", restarted, 0.0)
        self.assertEqual(self.place().predicted_cached_blocks, 0)
        events = [CacheEvent(seq=0, kind="stored", keys=KEYS)]
        late = CacheEvents(incarnation="i1", first_seq=0, next_seq=1, events=events)
        self.placer.record_cache_events("e2", late)
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        self.placer.record_load("e2", REPORT, 0.0)
        self.assertEqual(self.place().predicted_cached_blocks, 0)
        self.assertEqual(self.placer.describe()[2].incarnation, "i2")

    def test_first_token_of_an_earlier_incarnation_is_ignored(self):
        placement = self.place()
        endpoint_id = placement.endpoint_id
        self.placer.record_sent(endpoint_id, "r1", placement, REQUEST, 0.0)
        self.placer.record_load(
            endpoint_id, attrs.evolve(REPORT, incarnation="i2"), 0.0
        )
        self.placer.record_first_token(endpoint_id, "r1", 0, 0.0)
        self.assertEqual(self.place().predicted_cached_blocks, 0)

    def test_lost_endpoint_returns_with_an_empty_cache(self):
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        self.placer.record_lost("e2", 0.0)
        self.placer.record_load("e2", REPORT, 0.0)
        self.assertEqual(self.place().predicted_cached_blocks, 0)

    def test_new_weights_clear_the_index(self):
        self.placer.record_cache_snapshot("e2", snapshot(KEYS))
        both = {"m": "v1", "n": "v1"}
        report = attrs.evolve(REPORT, weights_versions_by_model=both)
        self.placer.record_load("e2", report, 0.0)
        self.assertEqual(self.place().predicted_cached_blocks, 0)

    def test_first_token_updates_the_index_without_events(self):
        placement = self.place()
        endpoint_id = placement.endpoint_id
        self.placer.record_sent(endpoint_id, "r1", placement, REQUEST, 0.0)
        self.placer.record_first_token(endpoint_id, "r1", 0, 0.1)
        self.placer.record_finished(endpoint_id, "r1", 0.2)
        placement = self.place(now_s=0.3)
        self.assertEqual(placement.endpoint_id, endpoint_id)
        self.assertEqual(placement.predicted_cached_blocks, len(KEYS))


class TieTests(PlacerTestCase):
    def test_prompts_without_blocks_are_spread_over_all_endpoints(self):
        request = attrs.evolve(REQUEST, keys=(), prompt_tokens=100)
        self.assertEqual(len(self.chosen_ids(request, count=100)), self.endpoints)

    def test_nodes_with_different_random_seeds_choose_the_same_home(self):
        homes = {
            self.place(placer=self.create_placer("rendezvous", seed)).endpoint_id
            for seed in range(10)
        }
        self.assertEqual(len(homes), 1)


class ZoneTests(unittest.TestCase):
    def create_placer(self, own):
        placer = Placer(zone="z1", seed=1)
        zones = ["z1"] * own + ["z2"] * 20 + ["z3"] * 20
        placer.set_endpoints([description(n, zone) for n, zone in enumerate(zones)])
        for number in range(len(zones)):
            placer.record_load(f"e{number}", REPORT, 0.0)
        return placer

    def zones_chosen(self, placer):
        zones_by_id = {status.id: status.zone for status in placer.describe()}
        request = attrs.evolve(REQUEST, keys=(), prompt_tokens=100)
        placements = [placer.place(request, 0.0).unwrap() for _ in range(200)]
        return {zones_by_id[placement.endpoint_id] for placement in placements}

    def test_zone_with_enough_endpoints_uses_no_other_zone(self):
        self.assertEqual(self.zones_chosen(self.create_placer(own=8)), {"z1"})

    def test_zone_without_endpoints_uses_one_other_zone(self):
        self.assertEqual(len(self.zones_chosen(self.create_placer(own=0))), 1)

    def test_own_zone_is_preferred_when_otherwise_equal(self):
        placer = self.create_placer(own=7)
        request = attrs.evolve(REQUEST, keys=(), prompt_tokens=100)
        ids = [placer.place(request, 0.0).unwrap().endpoint_id for _ in range(300)]
        own = sum(int(endpoint_id[1:]) < 7 for endpoint_id in ids)
        self.assertGreater(own, 120)


if __name__ == "__main__":
    unittest.main()
