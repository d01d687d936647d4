"""Tests of the heartbeat protocol on fleets in memory."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from crocuswick.demand_meter import OrganisationDemand
from crocuswick.nodes import (
    EndpointSignal,
    EndpointSignalKind,
    ListedNode,
    NodeLiveness,
    NodePhase,
    NodeState,
    PeerKeys,
    PlatformState,
)
from crocuswick.quarantine import CrashReport
from tests.nodes.fleet import Fleet, state

ZONES = ("a", "b", "c")
LEAVING_SIGNAL = EndpointSignal(endpoint_id="engine-1", kind=EndpointSignalKind.LEAVING)


def listed_node(node, *, listed=PlatformState.LIVE):
    """Return a node as the platform lists it."""
    return ListedNode(node_id=node.node_id, zone=node.zone, state=listed)


class AgreementTests(unittest.TestCase):
    def test_one_seed_is_enough(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        fleet.run(4)
        self.assertTrue(fleet.all_agree_live())

    @settings(max_examples=3, deadline=None)
    @given(seed=st.integers(0, 2**16))
    def test_20_percent_loss_makes_no_node_gone(self, seed):
        fleet = Fleet(zones=ZONES, nodes=7, seed=seed, loss=0.2, seeds=3)
        fleet.run(10)
        for node in fleet.nodes:
            gone = node.ids_with_liveness(NodeLiveness.GONE, now_s=fleet.now_s)
            self.assertEqual(gone, set())
        fleet.loss = 0.0
        fleet.run(5)
        self.assertTrue(fleet.all_agree_live())

    def test_dead_node_is_detected_in_all_zones(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        fleet.run(5)
        dead = fleet.nodes[3]
        dead.is_up = False
        fleet.run(4)
        for node in fleet.nodes:
            if node.is_up and node.zone == dead.zone:
                live = node.ids_with_liveness(NodeLiveness.LIVE, now_s=fleet.now_s)
                self.assertNotIn(dead.node_id, live)
        fleet.run(10)
        self.assertTrue(fleet.all_agree_live())

    def test_restarted_node_is_live_again_within_two_intervals(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        fleet.run(5)
        fleet.start(3, zone="a")
        fleet.run(2)
        self.assertTrue(fleet.all_agree_live())

    def test_partition_heals(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        fleet.run(5)
        fleet.is_blocked = lambda sender, receiver: "c" in (sender.zone, receiver.zone)
        fleet.run(40)
        isolated = next(node for node in fleet.nodes if node.zone == "c")
        share = isolated.protocol.fleet_share(now_s=fleet.now_s)
        self.assertEqual((share.reachable_nodes, share.fleet_nodes), (1, 7))
        fleet.nodes[0].state = state(revision=9)
        fleet.is_blocked = lambda sender, receiver: False
        fleet.run(5)
        self.assertTrue(fleet.all_agree_live())
        self.assertIn(9, isolated.listener.revisions)

    def test_one_way_partition_is_suspected_by_the_isolated_receiver_only(self):
        fleet = Fleet(zones=("a",), nodes=3)
        fleet.run(4)
        isolated = fleet.nodes[0]
        fleet.is_blocked = lambda sender, receiver: receiver is isolated
        fleet.run(5)
        live = isolated.ids_with_liveness(NodeLiveness.LIVE, now_s=fleet.now_s)
        self.assertEqual(live, {isolated.node_id})
        others = fleet.nodes[1].ids_with_liveness(NodeLiveness.LIVE, now_s=fleet.now_s)
        self.assertEqual(len(others), 3)


class UpdateTests(unittest.TestCase):
    @settings(max_examples=3, deadline=None)
    @given(seed=st.integers(0, 2**16), origin=st.integers(0, 6))
    def test_leaving_endpoint_is_known_to_all_nodes_within_3_s(self, seed, origin):
        fleet = Fleet(zones=ZONES, nodes=7, seed=seed, seeds=3)
        fleet.run(5)
        fleet.loss = 0.1
        node = fleet.nodes[origin]
        node.protocol.broadcast_endpoint_signal(LEAVING_SIGNAL, now_s=fleet.now_s)
        sent = node.protocol.announce(now_s=fleet.now_s, wall_ms=fleet.wall_ms)
        fleet.deliver(node, sent)
        fleet.run(3)
        for other in fleet.nodes:
            if other is not node:
                ids = [signal.endpoint_id for signal in other.listener.signals]
                self.assertEqual(ids, ["engine-1"])

    def test_crash_reports_reach_all_zones_once(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        fleet.run(5)
        report = CrashReport(fingerprint="f", endpoint_id="engine-1")
        fleet.nodes[0].protocol.broadcast_crash_report(report, now_s=fleet.now_s)
        fleet.run(20)
        for node in fleet.nodes[1:]:
            self.assertEqual(len(node.listener.reports), 1)

    def test_burst_of_updates_arrives_without_a_message_storm(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        fleet.run(5)
        node = fleet.nodes[0]
        sent_before = node.protocol.counters.sent
        fleet.now_s += 0.2
        for number in range(60):
            signal = EndpointSignal(
                endpoint_id=f"engine-{number}", kind=EndpointSignalKind.LEAVING
            )
            node.protocol.broadcast_endpoint_signal(signal, now_s=fleet.now_s)
            sent = node.protocol.announce_updates(
                now_s=fleet.now_s, wall_ms=fleet.wall_ms
            )
            fleet.deliver(node, sent)
        self.assertLess(node.protocol.counters.sent - sent_before, 10)
        fleet.run(8)
        for other in fleet.nodes[1:]:
            self.assertEqual(len(other.listener.signals), 60)

    def test_newer_revision_is_reported_until_caught_up(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        fleet.run(5)
        fleet.nodes[0].state = state(revision=9)
        fleet.run(3)
        self.assertEqual({max(n.listener.revisions) for n in fleet.nodes[1:]}, {9})
        for node in fleet.nodes:
            node.state = state(revision=9)
        fleet.run(1)
        counts = [len(node.listener.revisions) for node in fleet.nodes]
        fleet.run(3)
        after = [len(node.listener.revisions) for node in fleet.nodes]
        self.assertEqual(counts, after)

    def test_draining_node_is_leaving_at_all_nodes(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        fleet.run(5)
        fleet.nodes[2].state = state(phase=NodePhase.DRAINING)
        fleet.run(3)
        for node in fleet.nodes:
            leaving = node.ids_with_liveness(NodeLiveness.LEAVING, now_s=fleet.now_s)
            self.assertEqual(leaving, {"n02"})

    def test_leaving_signal_shared_by_one_node_reaches_the_leaving_node(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        fleet.run(5)
        signal = EndpointSignal(endpoint_id="n05", kind=EndpointSignalKind.LEAVING)
        fleet.nodes[0].protocol.broadcast_endpoint_signal(signal, now_s=fleet.now_s)
        fleet.run(3)
        self.assertTrue(fleet.nodes[5].listener.leaving)
        live = fleet.nodes[4].ids_with_liveness(NodeLiveness.LIVE, now_s=fleet.now_s)
        self.assertNotIn("n05", live)

    def test_demand_of_all_zones_is_summed(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        demand = tuple(
            OrganisationDemand(
                organisation=f"org-{number}", requests_per_s=2, tokens_per_s=10
            )
            for number in range(8)
        )
        for node in fleet.nodes:
            node.state = NodeState(phase=NodePhase.READY, demand=demand)
        fleet.run(8)
        share = fleet.nodes[0].protocol.fleet_share(now_s=fleet.now_s)
        self.assertEqual(share.reachable_nodes, 7)
        sums = {d.requests_per_s for d in share.demand_by_organisation.values()}
        self.assertEqual((len(share.demand_by_organisation), sums), (8, {12.0}))


class PlatformTests(unittest.TestCase):
    def test_recent_heartbeat_overrides_a_lagging_list(self):
        fleet = Fleet(zones=ZONES, nodes=7)
        fleet.run(5)
        listed = [listed_node(n, listed=PlatformState.GONE) for n in fleet.nodes]
        for node in fleet.nodes:
            node.protocol.apply_vm_list(listed)
        self.assertTrue(fleet.all_agree_live())

    def test_silent_node_that_is_listed_as_gone_is_gone(self):
        fleet = Fleet(zones=("a",), nodes=3)
        fleet.run(4)
        fleet.nodes[1].is_up = False
        fleet.run(4)
        observer = fleet.nodes[0]
        suspect = observer.ids_with_liveness(NodeLiveness.SUSPECT, now_s=fleet.now_s)
        self.assertEqual(suspect, {"n01"})
        listed = [listed_node(fleet.nodes[1], listed=PlatformState.GONE)]
        observer.protocol.apply_vm_list(listed)
        gone = observer.ids_with_liveness(NodeLiveness.GONE, now_s=fleet.now_s)
        self.assertEqual(gone, {"n01"})

    def test_listed_fleet_size_bounds_the_share_of_an_isolated_node(self):
        fleet = Fleet(zones=ZONES, nodes=1)
        listed = [
            ListedNode(node_id=f"v{number}", zone="b", state=PlatformState.LIVE)
            for number in range(12)
        ]
        fleet.nodes[0].protocol.apply_vm_list(listed)
        share = fleet.nodes[0].protocol.fleet_share(now_s=fleet.now_s)
        self.assertEqual((share.reachable_nodes, share.fleet_nodes), (1, 12))

    def test_node_listed_as_leaving_drains_itself(self):
        fleet = Fleet(zones=("a",), nodes=2)
        fleet.run(3)
        node = fleet.nodes[0]
        node.protocol.apply_vm_list([listed_node(node, listed=PlatformState.LEAVING)])
        self.assertTrue(node.listener.leaving)
        fleet.run(1)
        leaving = fleet.nodes[1].ids_with_liveness(
            NodeLiveness.LEAVING, now_s=fleet.now_s
        )
        self.assertEqual(leaving, {"n00"})


class AuthenticationTests(unittest.TestCase):
    def test_datagrams_signed_with_another_key_are_rejected(self):
        fleet = Fleet(zones=("a",), nodes=2)
        other_fleet = Fleet(zones=("a",), nodes=2, keys=PeerKeys(keys=[b"another key"]))
        sent = other_fleet.nodes[1].protocol.tick(now_s=0, wall_ms=fleet.wall_ms)
        fleet.deliver(fleet.nodes[1], sent)
        counters = fleet.nodes[0].protocol.counters
        self.assertEqual(counters.rejected_unauthenticated, len(sent))
        self.assertEqual(len(fleet.nodes[0].protocol.statuses(now_s=0)), 1)

    def test_replayed_datagrams_do_not_keep_a_dead_node_alive(self):
        fleet = Fleet(zones=("a",), nodes=2)
        fleet.run(4)
        dead = fleet.nodes[1]
        recorded = dead.protocol.tick(now_s=fleet.now_s, wall_ms=fleet.wall_ms)
        fleet.deliver(dead, recorded)
        for _ in range(15):
            fleet.now_s += 1
            fleet.deliver(dead, recorded)
        gone = fleet.nodes[0].ids_with_liveness(NodeLiveness.GONE, now_s=fleet.now_s)
        self.assertEqual(gone, {"n01"})

    def test_old_recorded_datagram_is_rejected_as_first_contact(self):
        fleet = Fleet(zones=("a",), nodes=2)
        recorded = fleet.nodes[1].protocol.tick(
            now_s=fleet.now_s, wall_ms=fleet.wall_ms
        )
        fleet.now_s += 600
        fleet.deliver(fleet.nodes[1], recorded)
        self.assertEqual(fleet.nodes[0].protocol.counters.rejected_wrong_clock, 1)
        self.assertEqual(len(fleet.nodes[0].protocol.statuses(now_s=0)), 1)

    def test_key_rotation_rejects_no_datagram(self):
        old, new = b"the old key", b"the new key"
        keys = PeerKeys(keys=[old])
        fleet = Fleet(zones=("a",), nodes=2, keys=keys)
        fleet.run(2)
        sent = fleet.nodes[1].protocol.tick(now_s=fleet.now_s, wall_ms=fleet.wall_ms)
        keys.replace([new, old])
        fleet.deliver(fleet.nodes[1], sent)
        self.assertEqual(fleet.nodes[0].protocol.counters.rejected_unauthenticated, 0)
