"""Tests of the table of peers."""

from __future__ import annotations

import unittest

from crocuswick.gossip.messages import NodeAddress
from crocuswick.gossip.peers import (
    MAX_OTHER_NEIGHBOURS,
    MAX_ZONE_NEIGHBOURS,
    PEER_TIMEOUT_S,
    PeerTable,
    task_rank,
)


def address(number, zone="a"):
    return NodeAddress(
        node_id=f"{zone}{number}", zone=zone, address=f"10.0.0.{number}:80"
    )


class PeerTableTests(unittest.TestCase):
    def setUp(self):
        self.table = PeerTable(own=address(0))

    def test_peers_are_live_while_they_send_messages(self):
        self.table.add(address(1))
        self.assertEqual(len(self.table.live(0.0)), 1)
        self.table.record_message("a1", 10.0)
        self.assertEqual(len(self.table.live(10.0)), 2)
        self.assertEqual(len(self.table.live(10.0 + PEER_TIMEOUT_S)), 1)

    def test_a_peer_is_not_live_after_its_connection_closes(self):
        self.table.add(address(1))
        self.table.record_message("a1", 10.0)
        self.table.record_closed("a1")
        self.assertEqual(len(self.table.live(10.0)), 1)

    def test_the_number_of_neighbours_does_not_grow_with_the_fleet(self):
        for zone in "abcdefghijklmn":
            for number in range(1, 60):
                self.table.add(address(number, zone))
        bound = MAX_ZONE_NEIGHBOURS + 13 * MAX_OTHER_NEIGHBOURS
        self.assertEqual(len(self.table.neighbours()), bound)

    def test_neighbours_change_with_the_known_nodes(self):
        self.assertEqual(self.table.neighbours(), [])
        self.table.add(address(1))
        self.assertEqual(self.table.neighbours(), [address(1)])
        self.table.forget("a1")
        self.assertEqual(self.table.neighbours(), [])

    def test_a_replaced_node_is_found_at_its_new_address(self):
        self.table.add(address(1))
        moved = NodeAddress(node_id="a1", zone="a", address="10.0.0.99:80")
        self.assertTrue(self.table.add(moved))
        self.assertEqual(self.table.neighbours(), [moved])

    def test_each_node_has_a_different_rank(self):
        members = [f"n{number}" for number in range(9)]
        ranks = [task_rank("orders", member, members) for member in members]
        self.assertEqual(sorted(ranks), list(range(9)))
