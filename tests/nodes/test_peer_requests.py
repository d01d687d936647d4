"""Tests of requests between nodes over loopback connections."""

from __future__ import annotations

import socket
import time
import unittest

from result import Ok

from crocuswick.nodes import (
    BlockLookupReply,
    BlockLookupRequest,
    EndpointDepth,
    NodeListRequest,
    PeerAddress,
    PeerClient,
    PeerKeys,
    PeerServer,
    SnapshotCache,
    SnapshotReply,
    SnapshotRequest,
    TimeLineReply,
    TimeLineRequest,
)
from crocuswick.nodes.peer_messages import peer_registry
from crocuswick.outcome import Outcome
from crocuswick.time_line import TimeLine

KEYS = PeerKeys(keys=[b"a key of these tests"])
OTHER_KEYS = PeerKeys(keys=[b"another key"])
TIMEOUT_S = 2.0


def lookup_reply(request):
    """Return a reply whose depth is the number of requested keys."""
    holder = EndpointDepth(endpoint_id="engine-1", depth=len(request.keys))
    return BlockLookupReply(holders=(holder,))


class PeerRequestTests(unittest.TestCase):
    def setUp(self):
        self.server = PeerServer(host="127.0.0.1", port=0, keys=KEYS)
        self.server.register_handler(BlockLookupRequest, lookup_reply)
        self.addCleanup(self.server.stop)
        self.client = PeerClient(keys=KEYS)
        self.addCleanup(self.client.close)

    def start(self):
        """Start the server and return its address."""
        self.server.start()
        return PeerAddress(host="127.0.0.1", port=self.server.port)

    def test_each_request_gets_its_own_reply_on_one_connection(self):
        address = self.start()
        for count in (0, 1, 20):
            request = BlockLookupRequest(keys=tuple(range(2**64 - count, 2**64)))
            reply = self.client.request(address, request, timeout_s=TIMEOUT_S).unwrap()
            self.assertEqual(reply.holders[0].depth, count)

    def test_time_line_events_round_trip(self):
        line = TimeLine(node_id="n1")
        line.record(kind="b", cause=line.record(kind="a", detail="é"))
        reply = TimeLineReply(node_id="n1", events=line.since(0))
        self.server.register_handler(TimeLineRequest, lambda request: reply)
        result = self.client.request(
            self.start(), TimeLineRequest(), timeout_s=TIMEOUT_S
        )
        self.assertEqual(result, Ok(reply))

    def test_client_with_another_key_is_rejected(self):
        calls = []
        self.server.register_handler(BlockLookupRequest, calls.append)
        other_client = PeerClient(keys=OTHER_KEYS)
        result = other_client.request(
            self.start(), BlockLookupRequest(keys=(1,)), timeout_s=TIMEOUT_S
        )
        self.assertTrue(result.is_err())
        self.assertEqual(calls, [])

    def test_replayed_request_is_rejected_on_another_connection(self):
        address = self.start()
        body = peer_registry.encode(BlockLookupRequest(keys=(1,)))
        with socket.create_connection(("127.0.0.1", address.port)) as first:
            nonce = first.recv(16)
            context = nonce + b"c" + bytes(8)
            code = KEYS.sign(context + body, purpose=b"crocuswick-tcp")
            frame = len(body).to_bytes(4, "big") + code + body
            first.sendall(frame)
            self.assertNotEqual(first.recv(1), b"")
        with socket.create_connection(("127.0.0.1", address.port)) as second:
            second.recv(16)
            second.sendall(frame)
            self.assertEqual(second.recv(1), b"")

    def test_missing_and_failing_handlers_are_reported(self):
        def fail(request):
            raise LookupError("no such thing")

        self.server.register_handler(TimeLineRequest, fail)
        address = self.start()
        missing = self.client.request(address, NodeListRequest(), timeout_s=TIMEOUT_S)
        self.assertIn("no handler", missing.unwrap_err().detail)
        failed = self.client.request(address, TimeLineRequest(), timeout_s=TIMEOUT_S)
        self.assertIn("no such thing", failed.unwrap_err().detail)

    def test_deadline_is_kept_and_a_late_reply_is_discarded(self):
        delays_s = [0.1]

        def slow_once(request):
            time.sleep(delays_s.pop() if delays_s else 0)
            return lookup_reply(request)

        self.server.register_handler(BlockLookupRequest, slow_once)
        address = self.start()
        started_s = time.monotonic()
        late = self.client.request(
            address, BlockLookupRequest(keys=(1,)), timeout_s=0.03
        )
        self.assertTrue(late.is_err())
        self.assertLess(time.monotonic() - started_s, 0.09)
        request = BlockLookupRequest(keys=(1, 2, 3))
        reply = self.client.request(address, request, timeout_s=TIMEOUT_S).unwrap()
        self.assertEqual(reply.holders[0].depth, 3)

    def test_closed_idle_connection_is_replaced(self):
        address = self.start()
        self.client.warm(address, timeout_s=TIMEOUT_S)
        connection = self.client._idle_by_address[address][0]
        connection._socket.shutdown(socket.SHUT_RDWR)
        request = BlockLookupRequest(keys=(1,))
        self.assertTrue(
            self.client.request(address, request, timeout_s=TIMEOUT_S).is_ok()
        )

    def test_refused_connection_means_not_run(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = PeerAddress(host="127.0.0.1", port=free.getsockname()[1])
        result = self.client.request(address, NodeListRequest(), timeout_s=TIMEOUT_S)
        error = result.unwrap_err()
        self.assertEqual((error.step, error.outcome), ("connect", Outcome.NOT_RUN))

    def test_requests_share_one_encoded_snapshot(self):
        builds = []

        def build():
            builds.append(1)
            return SnapshotReply(configuration_revision=4, configuration=b"set")

        cache = SnapshotCache.start(build=build, clock_s=lambda: 0.0)
        self.addCleanup(cache.stop)
        self.server.register_handler(SnapshotRequest, cache.ask)
        address = self.start()
        for _ in range(10):
            result = self.client.request(
                address, SnapshotRequest(), timeout_s=TIMEOUT_S
            )
            self.assertEqual(result.unwrap().configuration, b"set")
        self.assertEqual(len(builds), 1)
