"""Tests of the membership component over UDP on loopback."""

from __future__ import annotations

import socket
import threading
import unittest

from crocuswick.nodes import (
    EndpointSignal,
    EndpointSignalKind,
    Membership,
    MembershipListener,
    NodeLiveness,
    NodePhase,
    NodeState,
    PeerKeys,
)
from crocuswick.time_line import TimeLine

KEYS = PeerKeys(keys=[b"a key of these tests"])
WAIT_S = 5.0
INTERVAL_MS = 10


def free_port():
    """Return a UDP port that is free at the time of the call."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class WaitingListener(MembershipListener):
    """Lets a test wait for notifications."""

    def __init__(self):
        self.liveness_by_id: dict[str, NodeLiveness] = {}
        self.changed = threading.Condition()
        self.signals = []

    def on_node_changed(self, status):
        """Record the liveness."""
        with self.changed:
            self.liveness_by_id[status.node_id] = status.liveness
            self.changed.notify_all()

    def on_endpoint_signal(self, node_id, signal):
        """Record the signal."""
        with self.changed:
            self.signals.append(signal)
            self.changed.notify_all()

    def wait_for(self, condition):
        """Wait until a condition holds and return whether it does."""
        with self.changed:
            return self.changed.wait_for(condition, timeout=WAIT_S)


class MembershipTests(unittest.TestCase):
    def setUp(self):
        self.ports = [free_port(), free_port()]
        self.listeners = [WaitingListener(), WaitingListener()]
        self.time_line = TimeLine(node_id="n0")
        self.members = [self.member(0), self.member(1)]

    def member(self, number):
        """Return a started membership that has the first one as its seed."""
        node_id = f"n{number}"
        member = Membership(
            node_id=node_id,
            zone="a",
            region="r",
            host="127.0.0.1",
            port=80,
            peer_port=self.ports[number],
            seeds=[f"127.0.0.1:{self.ports[0]}"],
            keys=KEYS,
            time_line=self.time_line if number == 0 else TimeLine(node_id=node_id),
            state_provider=lambda: NodeState(phase=NodePhase.READY),
            listener=self.listeners[number],
            interval_ms=INTERVAL_MS,
        )
        member.start()
        self.addCleanup(member.stop)
        return member

    def wait_liveness(self, observer, node_id, liveness):
        """Wait until an observer assigns a liveness to a node."""
        listener = self.listeners[observer]
        reached = listener.wait_for(
            lambda: listener.liveness_by_id.get(node_id) is liveness
        )
        self.assertTrue(reached, listener.liveness_by_id)

    def test_nodes_find_each_other_and_see_one_leave(self):
        self.wait_liveness(0, "n1", NodeLiveness.LIVE)
        self.wait_liveness(1, "n0", NodeLiveness.LIVE)
        self.members[1].stop()
        self.wait_liveness(0, "n1", NodeLiveness.LEAVING)
        kinds = [event.kind for event in self.time_line.since(0)]
        self.assertEqual(kinds, ["node_live", "node_leaving"])

    def test_shared_signal_arrives(self):
        self.wait_liveness(1, "n0", NodeLiveness.LIVE)
        signal = EndpointSignal(endpoint_id="e1", kind=EndpointSignalKind.LOST)
        self.members[1].broadcast_endpoint_signal(signal)
        listener = self.listeners[0]
        self.assertTrue(listener.wait_for(lambda: listener.signals))
        self.assertEqual(listener.signals[0].endpoint_id, "e1")

    def test_invalid_datagrams_do_not_end_the_thread(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b"", b"x", bytes(1400)):
                sender.sendto(data, ("127.0.0.1", self.ports[0]))
        self.wait_liveness(0, "n1", NodeLiveness.LIVE)
        live = [status.node_id for status in self.members[0].live_nodes("a")]
        self.assertEqual(live, ["n0", "n1"])
