"""Tests of the registration of nodes in the store."""

from __future__ import annotations

import threading
import unittest

from crocuswick.gossip.messages import NodeAddress
from crocuswick.gossip.registry import NodeRegistry, decode_node
from crocuswick.platform.store_client import StoreClient
from crocuswick.records.mirror import KeyedRecord
from tests.platform.metadata_store import MetadataStore

TOPIC = "keyed.nodes"


class NodeRegistryTests(unittest.TestCase):
    def setUp(self):
        self.store = MetadataStore()
        self.addCleanup(self.store.stop)

    def register(self, name: str) -> tuple[NodeAddress, ...]:
        own = NodeAddress(node_id=name, zone="a", address=f"10.0.0.1:{len(name)}")
        found = []
        read = threading.Event()

        def on_nodes(nodes):
            found.extend(nodes)
            read.set()

        registry = NodeRegistry(
            own=own,
            topic=TOPIC,
            store=StoreClient(address=self.store.address),
            on_nodes=on_nodes,
        )
        registry.start()
        self.addCleanup(registry.stop)
        self.assertTrue(read.wait(8))
        registry._thread.join(8)
        return tuple(found)

    def test_a_later_node_finds_the_earlier_ones(self):
        """If no seed is reachable, a node finds the others only through the store."""
        self.assertEqual(self.register("one"), ())
        found = self.register("three")
        self.assertEqual([node.node_id for node in found], ["one"])

    def test_reads_are_retried_while_the_store_is_down(self):
        self.store.fault = "busy"
        threading.Timer(0.5, setattr, (self.store, "fault", "")).start()
        self.assertEqual(self.register("one"), ())

    def test_malformed_records_are_no_nodes(self):
        for value in (b"", None, b"[]", b"{}", b"\xff", b'{"zone":1,"address":"a:1"}'):
            record = KeyedRecord(key="k", position=0, value=value)
            self.assertIsNone(decode_node(record))
