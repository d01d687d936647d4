"""Tests of how soon a node heeds what the store says.

Some replicas leave without reporting that they drain: their entries are removed, and they
serve on for a while.
"""

from __future__ import annotations

import time
import unittest

from tests.platform.deployment import REPLICAS, Deployment, request
from tests.platform.node_process import NodeProcess, RawCaller

DRAIN_S = 2.0
"""Time after a removal from which no node may send the replica a request."""

CONFIGURATION_S = 2.0
"""Time after which a new configuration is in force at every node."""

READ_DELAY_S = 0.8
"""Longer than a node with a store in sound condition takes to read a removal."""

STABLE_S = 3.2
"""Time after which a store or a node that was cut off counts as sound again."""

BROADCAST_S = 0.1
"""Longer than a node takes to read a record and to send it to its peers."""

REQUESTS = 12


class DepartureTests(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)

    def remove(self, name):
        self.deployment.store.put(REPLICAS, name, None)

    def used_replicas(self, node):
        """Return the replicas that a node sends requests to."""
        self.deployment.reset_scripts()
        for number in range(REQUESTS):
            asked = request(f"/lookup/{number}", request_id=f"{number:016x}")
            answer = RawCaller(node.front).exchange(asked)
            self.assertEqual(answer.split(b" ")[1], b"200")
        received = self.deployment.received("desk")
        return {each.headers["x-expect-replica"] for each in received}

    def test_a_node_that_has_just_started_heeds_a_removal_at_once(self):
        """Guards against a start that counts as the end of a store outage, after which
        removals are delayed."""
        node = self.deployment.node
        node.start()
        self.assertEqual(self.used_replicas(node), {"desk-1", "desk-2"})
        self.remove("desk-1")
        time.sleep(READ_DELAY_S)
        self.assertEqual(self.used_replicas(node), {"desk-2"})

    def test_a_removal_soon_after_an_outage_waits_no_longer_than_the_entry_may(self):
        """Guards against removals that are delayed anew though the time in which a
        lapsed entry returns is nearly over."""
        node, store = self.deployment.node, self.deployment.store
        node.start()
        store.fault = "busy"
        time.sleep(STABLE_S)
        store.fault = ""
        self.deployment.wait_until(lambda: '"store regained"' in node.log())
        self.remove("desk-1")
        time.sleep(READ_DELAY_S)
        self.assertEqual(self.used_replicas(node), {"desk-1", "desk-2"})
        time.sleep(STABLE_S - 2 * READ_DELAY_S)
        self.remove("desk-2")
        self.deployment.register("desk-1", born=int(time.time() * 1000))
        time.sleep(2 * READ_DELAY_S)
        self.assertEqual(self.used_replicas(node), {"desk-1"})

    def start_pair(self):
        """Start two nodes of a zone that reach the store at ports of their own.

        Returns:
            The nodes and the ports.
        """
        store = self.deployment.store
        ports = [store.listen(), store.listen()]
        nodes = [
            NodeProcess(store_address=port.address, name=f"edge-a-{number}")
            for number, port in enumerate(ports, 1)
        ]
        for node in nodes:
            self.addCleanup(node.stop)
            node.start()
        time.sleep(STABLE_S)
        return nodes, ports

    def test_a_configuration_is_applied_in_time_though_the_reader_is_cut_off(self):
        """Guards against nodes that rely on one without the store for longer than a
        configuration may take, where no other zone sends it."""
        nodes, ports = self.start_pair()
        for cut, other in ((0, 1), (1, 0)):
            with self.subTest(cut_off=cut):
                ports[cut].is_silent = True
                # Answers the read under way, after which the node is cut off.
                self.deployment.configure()
                time.sleep(BROADCAST_S)
                self.deployment.configure()
                version = self.deployment.configuration["Version"]
                time.sleep(CONFIGURATION_S)
                in_force = f'"configuration in force", "version": {version}'
                self.assertIn(in_force, nodes[other].log())
                ports[cut].is_silent = False
                time.sleep(STABLE_S)

    def test_a_removal_is_heeded_in_time_though_the_reader_of_the_zone_is_cut_off(self):
        """Guards against nodes that rely on one without the store for longer than a
        replica serves after its removal."""
        nodes, ports = self.start_pair()
        for cut, other in ((0, 1), (1, 0)):
            with self.subTest(cut_off=cut):
                self.deployment.register("desk-1", born=int(time.time() * 1000))
                time.sleep(READ_DELAY_S)
                ports[cut].is_silent = True
                # Answers the read under way, after which the node is cut off.
                self.deployment.register("desk-2", Sequence=5 + cut)
                time.sleep(BROADCAST_S)
                self.remove("desk-1")
                time.sleep(DRAIN_S)
                self.assertEqual(self.used_replicas(nodes[other]), {"desk-2"})
                ports[cut].is_silent = False
                time.sleep(STABLE_S)
