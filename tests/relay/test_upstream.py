"""Tests of the HTTP exchange with a replica."""

from __future__ import annotations

import threading
import unittest

import attrs

from crocuswick.outcome import Outcome
from crocuswick.relay.upstream import Upstream, UpstreamRequest
from tests.byte_server import ByteServer, End
from tests.platform.scripted_replica import ScriptedReplica

REQUEST = UpstreamRequest(
    method="GET", target="/x", headers=(("Host", "a.example"),), body=b""
)
LONG_BODY_BYTES = 16 * 1024 * 1024
"""More than the buffers of a connection hold."""


class UpstreamTests(unittest.TestCase):
    def setUp(self):
        self.replica = ScriptedReplica("r")
        self.addCleanup(self.replica.stop)
        self.upstream = Upstream(replica_id="r", address=self.replica.address)
        self.addCleanup(self.upstream.close)

    def test_an_answer_is_read_to_its_end(self):
        self.assertTrue(self.upstream.connect(1.0).is_ok())
        head = self.upstream.send(REQUEST, 1.0).ok_value
        self.assertEqual(head.status, 200)
        self.assertEqual(self.upstream.read(1.0).ok_value, b"ok")
        self.assertEqual(self.upstream.read(1.0).ok_value, b"")

    def test_an_answer_ends_at_its_last_chunk(self):
        """Guards against complete answers that are late, or fail, because trailers follow
        that have no end."""

        def script(received):
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            received.send(head + b"2\r\nok\r\n0\r\nX-Trailer: 1\r\n")
            received.is_closed_within(3.0)

        self.replica.script = script
        self.assertTrue(self.upstream.connect(1.0).is_ok())
        self.assertTrue(self.upstream.send(REQUEST, 1.0).is_ok())
        self.assertEqual(self.upstream.read(0.5).ok_value, b"ok")
        self.assertEqual(self.upstream.read(0.5).ok(), b"")

    def test_an_abort_before_the_handshake_prevents_the_request(self):
        """Guards against an abort that is lost: the caller disconnected before there
        was a socket, and the request was sent nevertheless."""
        self.upstream.abort()
        connected = self.upstream.connect(1.0)
        self.assertIs(connected.err_value.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.replica.requests, [])

    def test_a_refused_connection_is_reported_as_not_run(self):
        self.replica.stop()
        error = self.upstream.connect(1.0).err_value
        self.assertIs(error.outcome, Outcome.NOT_RUN)
        self.assertEqual(error.peer, "r")

    def test_an_abort_ends_a_read(self):
        self.replica.script = lambda each: each.is_closed_within(3.0)
        self.upstream.connect(1.0)
        self.upstream.abort()
        self.assertIs(
            self.upstream.send(REQUEST, 2.0).err_value.outcome, Outcome.UNKNOWN
        )

    def test_an_abort_does_not_complete_an_answer_without_length(self):
        """Guards against the half of an unframed answer that counts as a whole one,
        because a socket that was shut down reads like one that has ended."""

        def script(received):
            received.send(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            received.is_closed_within(3.0)

        self.replica.script = script
        self.upstream.connect(1.0)
        self.assertFalse(self.upstream.send(REQUEST, 1.0).ok_value.is_framed)
        self.assertEqual(self.upstream.read(1.0).ok_value, b"half")
        aborting = threading.Timer(0.1, self.upstream.abort)
        aborting.start()
        self.addCleanup(aborting.join)
        self.assertTrue(self.upstream.read(2.0).is_err())

    def test_a_reset_that_fails_a_write_does_not_complete_an_answer(self):
        """Guards against half an unframed answer that counts as a whole one: the reset is
        reported to the write of the request's body, and reads then end as if by FIN."""
        server = ByteServer()
        self.addCleanup(server.stop)
        server.answer, server.end = b"HTTP/1.1 200 OK\r\n\r\nhalf", End.RST
        server.reads_body = False
        upstream = Upstream(replica_id="r", address=server.address)
        self.addCleanup(upstream.close)
        request = attrs.evolve(REQUEST, method="POST", body=bytes(LONG_BODY_BYTES))
        upstream.connect(1.0)
        sent = upstream.send(request, 2.0)
        results = [sent]
        while results[-1].is_ok() and results[-1].ok_value != b"":
            results.append(upstream.read(1.0))
        self.assertTrue(results[-1].is_err(), results)
