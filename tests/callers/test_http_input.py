"""Tests of a node's HTTP server with malformed, slow and many connections."""

from __future__ import annotations

import http.client
import json
import socket
import time
import unittest

from crocuswick.callers import (
    CallersInterface,
    CompletionContext,
    callers_application,
)
from crocuswick.http_server import HttpServer
from crocuswick.metrics import Metrics
from crocuswick.resume_token import ResumeTokens
from crocuswick.time_line import TimeLine

REQUEST_TIMEOUT_S = 0.6
IDLE_TIMEOUT_S = 0.5
VALID_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CONNECTIONS = 40


def application(environ, start_response):
    """Echo the request body."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) or b"empty"
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


class HttpInputTests(unittest.TestCase):
    def setUp(self):
        self.server = HttpServer(
            host="127.0.0.1",
            port=0,
            application=application,
            threads=4,
            idle_timeout_s=IDLE_TIMEOUT_S,
            request_timeout_s=REQUEST_TIMEOUT_S,
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def connect(self) -> socket.socket:
        host, port = self.server.address.split(":")
        connection = socket.create_connection((host, int(port)), timeout=5)
        self.addCleanup(connection.close)
        return connection

    def read_response(self, connection: socket.socket):
        response = http.client.HTTPResponse(connection)
        response.begin()
        return response, response.read()

    def exchange(self, request: bytes):
        connection = self.connect()
        connection.sendall(request)
        return self.read_response(connection)

    def assert_healthy(self):
        self.assertEqual(self.exchange(VALID_REQUEST)[0].status, 200)

    def test_each_bad_head_is_refused_with_the_field_named(self):
        cases = {
            b"GET /\r\n\r\n": "request-line",
            b"get / HTTP/1.1\r\n\r\n": "request-line",
            b"GET / HTTP/9.9\r\n\r\n": "request-line",
            b"GET a HTTP/1.1\r\n\r\n": "request-line",
            b"GET /#f HTTP/1.1\r\n\r\n": "request-line",
            b"\x00\xff\r\n\r\n": "request-line",
            b"GET / HTTP/1.1\r\n\r\n": "Host",
            b"GET / HTTP/1.1\r\nno colon\r\n\r\n": "headers",
            b"GET / HTTP/1.1\r\nHost: a\r\nA: b\n\r\n": "headers",
            b"GET / HTTP/1.1\r\nHost: a\r\nA: "
            + b"x" * 100_000
            + b"\r\n\r\n": "headers",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ten\r\n\r\n": "Content-Length",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n": "Content-Length",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1_0\r\n\r\n": "Content-Length",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n": "Content-Length",
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n": "Transfer-Encoding",
        }
        for request, field in cases.items():
            with self.subTest(request[:60]):
                response, body = self.exchange(request)
                self.assertIn(response.status, range(400, 500))
                self.assertEqual(
                    response.getheader("Content-Type"), "application/problem+json"
                )
                problem = json.loads(body)
                self.assertEqual(problem["field"], field)
                self.assertEqual(problem["outcome"], "not_run")
                self.assert_healthy()

    def test_many_idle_connections_all_stay_open(self):
        connections = [self.connect() for _ in range(CONNECTIONS)]
        for connection in connections:
            connection.sendall(VALID_REQUEST)
            response, _ = self.read_response(connection)
            self.assertNotEqual(response.getheader("Connection"), "close")

    def assert_slow_sender_is_disconnected(self, head: bytes):
        connection = self.connect()
        connection.sendall(head)
        started_s = time.monotonic()
        with self.assertRaises(OSError):
            while time.monotonic() - started_s < 10 * REQUEST_TIMEOUT_S:
                connection.sendall(b"x")
                time.sleep(IDLE_TIMEOUT_S / 10)
        self.assertLess(time.monotonic() - started_s, 4 * REQUEST_TIMEOUT_S)
        self.assert_healthy()

    def test_connection_with_a_slow_head_is_closed(self):
        self.assert_slow_sender_is_disconnected(b"GET / HTTP/1.1\r\nHost: a\r\nA: ")

    def test_connection_with_a_slow_body_is_closed(self):
        self.assert_slow_sender_is_disconnected(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"
        )

    def test_memory_is_not_reserved_for_an_announced_body(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000000000\r\n\r\n"
        response, body = self.exchange(head + b"x")
        self.assertEqual(response.status, 408)
        self.assertEqual(json.loads(body)["field"], "request")
        self.assert_healthy()

    def test_pipelined_requests_are_answered_in_order(self):
        first = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na"
        second = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb"
        connection = self.connect()
        connection.sendall(first + second)
        received = b""
        while not received.endswith(b"\r\n\r\nb"):
            received += connection.recv(4096) or self.fail(received)
        self.assertLess(received.index(b"\r\n\r\na"), received.index(b"\r\n\r\nb"))

    def test_old_protocol_is_answered_and_closed(self):
        response, body = self.exchange(b"GET / HTTP/1.0\r\n\r\n")
        self.assertEqual((response.status, body), (200, b"empty"))


class StubConfiguration:
    """A configuration with one API key and no models or services."""

    revision = 1

    def organisation_id_for_key(self, secret: str) -> str | None:
        return "swanfold" if secret == "key" else None

    def policy_for_model(self, model: str) -> None:
        return None

    def service_for_prefix(self, prefix: str) -> None:
        return None


class CallersInputTests(unittest.TestCase):
    def setUp(self):
        context = CompletionContext(
            dispatcher=None,
            clients=None,
            resume_tokens=ResumeTokens(keys=[b"k"]),
            time_line=TimeLine(node_id="n"),
            metrics=Metrics(node_id="n"),
            served_version=lambda model: "v1",
        )
        interface = CallersInterface(
            completions=context,
            services=None,
            configuration=StubConfiguration,
            ready=lambda: True,
            max_body_bytes=4096,
        )
        self.server = HttpServer(
            host="127.0.0.1",
            port=0,
            application=callers_application(interface),
            threads=4,
            idle_timeout_s=IDLE_TIMEOUT_S,
            request_timeout_s=REQUEST_TIMEOUT_S,
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def exchange(self, path: bytes, headers: bytes, body: bytes, *, end: bool = False):
        host, port = self.server.address.split(":")
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            head = (
                b"POST "
                + path
                + b" HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n"
            )
            connection.sendall(head + headers + b"\r\n" + body)
            if end:
                connection.shutdown(socket.SHUT_WR)
            response = http.client.HTTPResponse(connection)
            response.begin()
            return response.status, json.loads(response.read())

    def test_each_bad_body_is_refused_with_the_field_named(self):
        chunked = b"Transfer-Encoding: chunked\r\n"
        cases = {
            "bad chunk size": (400, chunked, b"zz\r\n\r\n", False),
            "bad chunk end": (400, chunked, b"1\r\nabcd\r\n", False),
            "ends early": (400, b"Content-Length: 50\r\n", b"{}", True),
            "too slow": (408, b"Content-Length: 50\r\n", b"{}", False),
            "too large": (413, b"Content-Length: 5000\r\n", b"x" * 5000, False),
            "not JSON": (400, b"Content-Length: 1\r\n", b"{", False),
            "no body": (400, b"", b"", False),
        }
        for name, (status, headers, body, end) in cases.items():
            with self.subTest(name):
                actual_status, problem = self.exchange(
                    b"/v1/completions", headers, body, end=end
                )
                self.assertEqual((actual_status, problem["field"]), (status, "body"))
                self.assertEqual(problem["outcome"], "not_run")

    def test_malformed_and_unknown_paths_are_refused(self):
        for path in (b"/%zz", b"/%ff%fe", b"/%00", b"/a%2fb", b"/?%zz=%ff", b"//"):
            with self.subTest(path):
                status, problem = self.exchange(path, b"", b"")
                self.assertIn(status, (400, 404))
                self.assertEqual(problem["outcome"], "not_run")
