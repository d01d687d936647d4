"""Tests of the numbering of messages for the whole fleet."""

from __future__ import annotations

import unittest

import attrs

from crocuswick.gossip.fleet_messages import FleetMessages
from crocuswick.gossip.messages import NodeAddress, ReplicaLoading, WeightsServed

LOADING = ReplicaLoading(incarnation="engine@1", for_ms=2_000)
SERVED = WeightsServed(incarnation="engine@1", model="m", version=2)


def messages(node_id, zone):
    return FleetMessages(
        own=NodeAddress(node_id=node_id, zone=zone, address=f"{node_id}:1")
    )


class FleetMessagesTests(unittest.TestCase):
    def setUp(self):
        self.origin = messages("a1", "a")
        self.receiver = messages("b1", "b")

    def test_a_message_is_handled_once(self):
        wrapped = self.origin.wrap(LOADING)
        self.assertEqual(self.receiver.unwrap(wrapped), LOADING)
        forwarded = attrs.evolve(wrapped, is_forwarded=True)
        self.assertIsNone(self.receiver.unwrap(forwarded))

    def test_a_late_copy_does_not_undo_a_newer_message(self):
        """Otherwise an engine that has loaded gets no requests for two seconds."""
        loading, served = self.origin.wrap(LOADING), self.origin.wrap(SERVED)
        self.assertEqual(self.receiver.unwrap(served), SERVED)
        self.assertIsNone(self.receiver.unwrap(loading))

    def test_messages_of_different_streams_are_numbered_apart(self):
        """Guards against messages that are discarded because one of another stream,
        which takes another path, arrived first."""
        first = self.origin.wrap(LOADING, stream="prompts")
        second = self.origin.wrap(SERVED)
        self.assertEqual(self.receiver.unwrap(second), SERVED)
        self.assertEqual(self.receiver.unwrap(first), LOADING)
        self.assertIsNone(self.receiver.unwrap(second))
        self.assertIsNone(self.receiver.unwrap(first))

    def test_unordered_messages_that_overtake_each_other_are_all_handled_once(self):
        """Guards against a report of a crash that is discarded because a later one took
        a faster path."""
        first = self.origin.wrap_unordered(LOADING)
        second = self.origin.wrap_unordered(SERVED)
        self.assertEqual(self.receiver.unwrap(second), SERVED)
        self.assertEqual(self.receiver.unwrap(first), LOADING)
        self.assertIsNone(self.receiver.unwrap(second))
        self.assertIsNone(self.receiver.unwrap(first))

    def test_the_messages_of_a_restarted_node_are_handled(self):
        """Its numbers begin again; its peers must not discard them."""
        for _ in range(5):
            self.receiver.unwrap(self.origin.wrap(LOADING))
        restarted = messages("a1", "a")
        self.assertEqual(self.receiver.unwrap(restarted.wrap(SERVED)), SERVED)

    def test_a_node_ignores_its_own_messages(self):
        self.assertIsNone(self.origin.unwrap(self.origin.wrap(LOADING)))

    def test_only_the_first_receiver_in_another_zone_forwards_a_message(self):
        wrapped = self.origin.wrap(LOADING)
        forwarded = self.receiver.to_forward(wrapped)
        self.assertTrue(forwarded.is_forwarded)
        self.assertIsNone(messages("b2", "b").to_forward(forwarded))
        self.assertIsNone(messages("a2", "a").to_forward(wrapped))

    def test_content_of_an_unknown_kind_is_ignored(self):
        """Nodes of a newer release may send it."""
        wrapped = attrs.evolve(self.origin.wrap(LOADING), message=["unheard", {}])
        self.assertIsNone(self.receiver.unwrap(wrapped))
