"""Tests of merging heartbeats and digests into the membership table."""

from __future__ import annotations

import random
import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from crocuswick.nodes import NodeAddress, NodeLiveness, NodePhase
from crocuswick.nodes.datagrams import Heartbeat, NodeSummary, ZoneDigest
from crocuswick.nodes.membership_table import MembershipTable

ADDRESS = NodeAddress(host="10.0.0.1", port=80, peer_port=5000)


def heartbeat(*, incarnation=1, sequence=1, phase=NodePhase.READY, revision=1):
    """Return a heartbeat of node n1."""
    return Heartbeat(
        node_id="n1",
        zone="a",
        incarnation=incarnation,
        sequence=sequence,
        sent_ms=0,
        address=ADDRESS,
        phase=phase,
        configuration_revision=revision,
    )


def digest_of(message):
    """Return a digest with the same state of node n1 as a heartbeat."""
    summary = NodeSummary(
        node_id="n1",
        incarnation=message.incarnation,
        sequence=message.sequence,
        age_ms=0,
        address=ADDRESS,
        phase=message.phase,
        configuration_revision=message.configuration_revision,
    )
    return ZoneDigest(
        node_id="n2",
        zone="a",
        incarnation=1,
        sequence=1,
        sent_ms=0,
        age_ms=0,
        live_nodes=1,
        nodes=(summary,),
    )


def merge(table, message, *, now_s):
    """Merge a heartbeat or a digest into a table."""
    if isinstance(message, Heartbeat):
        table.merge_heartbeat(message, now_s=now_s)
    else:
        table.merge_digest(message, now_s=now_s)


def status_after(messages, *, times=None):
    """Return the status of n1 after some messages."""
    table = MembershipTable(node_id="n0", zone="a")
    times = times or [100.0] * len(messages)
    for message, now_s in zip(messages, times, strict=True):
        merge(table, message, now_s=now_s)
    return table.statuses(now_s=max(times))[0]


heartbeats = st.builds(
    heartbeat,
    incarnation=st.integers(1, 3),
    sequence=st.integers(1, 5),
    phase=st.sampled_from([NodePhase.READY, NodePhase.DRAINING]),
)


class MergeTests(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(
        sent=st.lists(
            heartbeats,
            min_size=1,
            max_size=8,
            unique_by=lambda message: (message.incarnation, message.sequence),
        ),
        seed=st.integers(0, 2**16),
    )
    def test_merge_is_independent_of_order_and_source(self, sent, seed):
        shuffled = [*sent, *map(digest_of, sent)]
        random.Random(seed).shuffle(shuffled)
        first, second = status_after(sent), status_after(shuffled)
        overrides = {"damped": False, "liveness": NodeLiveness.LIVE}
        self.assertEqual(
            attrs.evolve(first, **overrides), attrs.evolve(second, **overrides)
        )
        newest = max(message.incarnation for message in sent)
        drained = any(
            message.phase is NodePhase.DRAINING
            for message in sent
            if message.incarnation == newest
        )
        self.assertEqual(first.incarnation, newest)
        self.assertEqual(first.liveness is NodeLiveness.LEAVING, drained)

    def test_older_sequence_can_still_report_leaving(self):
        heartbeats = [
            heartbeat(sequence=5),
            heartbeat(sequence=4, phase=NodePhase.DRAINING),
            heartbeat(sequence=6),
        ]
        self.assertIs(status_after(heartbeats).liveness, NodeLiveness.LEAVING)

    def test_new_incarnation_is_not_leaving_any_more(self):
        heartbeats = [
            heartbeat(incarnation=1, phase=NodePhase.DRAINING),
            heartbeat(incarnation=2),
        ]
        self.assertIs(status_after(heartbeats).liveness, NodeLiveness.LIVE)


class DampingTests(unittest.TestCase):
    def test_flapping_node_is_damped_until_it_is_stable(self):
        table = MembershipTable(node_id="n0", zone="a")
        now_s = 0.0
        for sequence in range(1, 6):
            now_s += 5.0
            table.merge_heartbeat(heartbeat(sequence=sequence), now_s=now_s)
        self.assertTrue(table.statuses(now_s=now_s)[0].damped)
        for sequence in range(6, 40):
            now_s += 1.0
            table.merge_heartbeat(heartbeat(sequence=sequence), now_s=now_s)
        status = table.statuses(now_s=now_s)[0]
        self.assertEqual((status.damped, status.liveness), (False, NodeLiveness.LIVE))

    def test_single_restart_is_not_damped(self):
        heartbeats = [heartbeat(incarnation=1), heartbeat(incarnation=2)]
        self.assertIs(status_after(heartbeats).liveness, NodeLiveness.LIVE)

    def test_silent_unlisted_node_is_removed(self):
        table = MembershipTable(node_id="n0", zone="a")
        table.merge_heartbeat(heartbeat(), now_s=0)
        table.remove_silent(now_s=301)
        self.assertEqual(table.statuses(now_s=301), ())
