"""Tests of nodes whose store returns from an older copy."""

from __future__ import annotations

import time
import unittest

from tests.platform.deployment import (
    DESK_ROUTE,
    OPERATIONS,
    REPLICAS,
    ROUTES,
    Deployment,
    request,
)
from tests.platform.node_process import NodeProcess, RawCaller

NODES = "keyed.crocuswick-nodes"
ADDED_ROUTE = {
    **DESK_ROUTE,
    "Name": "added",
    "PathPrefix": "/added/",
    "Kind": "idempotent",
    "MaxAttempts": 2,
}


class StoreReturnTests(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        self.store = self.deployment.store
        self.store.era_header = "3"
        self.deployment.node.start()

    def status(self, path, node=None):
        """Return the status with which a node answers a call."""
        caller = RawCaller((node or self.deployment.node).front)
        return int(caller.exchange(request(path)).split(b" ")[1])

    def wait_status(self, path, status, node=None):
        self.deployment.wait_until(lambda: self.status(path, node) == status)

    def return_from(self, copy):
        """Let the store return from a copy, and wait until the node has read it."""
        self.store.return_from(copy)
        before = len(self.store.calls)

        def listings():
            return self.store.calls[before:].count("GET /log-newest")

        self.deployment.wait_until(lambda: listings() >= 2)

    def publish_again(self):
        self.store.put(OPERATIONS, "config", self.deployment.configuration)

    def test_a_configuration_of_the_lost_seconds_stays_in_force(self):
        copy = self.store.copy()
        self.deployment.configure(Routes=[*ROUTES, ADDED_ROUTE])
        self.wait_status("/added/1", 200)
        self.return_from(copy)
        self.assertEqual(self.status("/added/1"), 200)

    def test_a_key_revoked_in_the_lost_seconds_stays_revoked(self):
        copy = self.store.copy()
        tenants = [
            {**tenant, "ApiKeys": ["other"]}
            for tenant in self.deployment.configuration["Tenants"]
        ]
        self.deployment.configure(Tenants=tenants)
        self.wait_status("/lookup/1", 401)
        self.return_from(copy)
        self.assertEqual(self.status("/lookup/1"), 401)

    def test_a_configuration_written_at_a_reused_offset_comes_into_force(self):
        """The operator writes again at offsets that were in use before."""
        copy = self.store.copy()
        for _ in range(4):
            self.deployment.configure()
        self.wait_status("/lookup/1", 200)
        self.return_from(copy)
        self.deployment.configure(Routes=[*ROUTES, ADDED_ROUTE])
        self.wait_status("/added/1", 200)

    def test_a_replica_that_left_in_the_lost_seconds_is_not_used_again(self):
        copy = self.store.copy()
        self.store.put(REPLICAS, "desk-1", None)
        self.deployment.wait_until(lambda: self.used_replicas() == {"desk-2"})
        self.return_from(copy)
        self.assertEqual(self.used_replicas(), {"desk-2"})

    def test_a_replica_that_registers_after_the_return_is_used(self):
        copy = self.store.copy()
        for number in range(5):
            self.deployment.register("desk-1", Sequence=number + 50)
        self.return_from(copy)
        self.deployment.register("desk-1", Sequence=90, State="draining")
        self.deployment.wait_until(lambda: self.used_replicas() == {"desk-2"})

    def used_replicas(self):
        self.deployment.reset_scripts()
        # So many that both replicas get some of them if both are used.
        for _ in range(40):
            self.status("/lookup/1")
        return {
            received.headers["x-expect-replica"]
            for received in self.deployment.received("desk")
        }

    def test_the_address_of_a_node_is_written_again(self):
        """Otherwise nodes that start later don't find it."""
        name = b"edge-a-1"

        def is_registered():
            return any(name in record for record in self.store.copy().get(NODES, []))

        self.deployment.wait_until(is_registered)
        copy = self.store.copy()
        copy[NODES] = []
        self.return_from(copy)
        self.deployment.wait_until(is_registered)

    def test_a_node_that_starts_after_the_return_gets_lost_versions_from_its_peer(self):
        """It finds only the older copy in the store."""
        copy = self.store.copy()
        self.deployment.configure(Routes=[*ROUTES, ADDED_ROUTE])
        self.wait_status("/added/1", 200)
        self.return_from(copy)
        later = NodeProcess(
            store_address=self.store.address,
            name="edge-a-2",
            seeds=(self.deployment.node.control,),
        )
        self.addCleanup(later.stop)
        later.start()
        self.wait_status("/added/1", 200, later)

    def test_several_returns_in_a_row(self):
        for _ in range(3):
            copy = self.store.copy()
            self.deployment.configure()
            time.sleep(0.1)
            self.return_from(copy)
        self.deployment.configure(Routes=[*ROUTES, ADDED_ROUTE])
        self.wait_status("/added/1", 200)
