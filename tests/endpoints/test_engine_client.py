"""Tests of an engine's stream against a scripted server."""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import threading
import time
import unittest

from crocuswick.endpoints import CompletionOrder, EngineClient
from crocuswick.outcome import Outcome

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PLAIN_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
PROGRESS_TIMEOUT_S = 0.3
ORDER = CompletionOrder(
    request_id="r",
    model="m",
    weights_version="v1",
    prompt="P",
    max_tokens=2,
    priority=0,
    cache_salt="s",
)


def event(index: int) -> bytes:
    data = json.dumps({"request_id": "r", "index": index, "text": " é"})
    return chunk(f"id: {index}\ndata: {data}\n\n".encode())


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def read_request(connection: socket.socket) -> None:
    """Read a whole request; closing with unread bytes would reset the connection."""
    with connection.makefile("rb") as reader:
        reader.readline()
        headers = http.client.parse_headers(reader)
        reader.read(int(headers["Content-Length"]))


class EngineStreamTests(unittest.TestCase):
    def open_stream(
        self,
        *parts: bytes,
        head: bytes = HEAD,
        pause_s: float = 0.0,
        hold: bool = False,
    ):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = "{}:{}".format(*listener.getsockname())
        released = threading.Event()
        self.addCleanup(released.set)

        def answer() -> None:
            connection, _ = listener.accept()
            # The client may close early.
            with connection, contextlib.suppress(OSError):
                read_request(connection)
                for part in (head, *parts):
                    connection.sendall(part)
                    time.sleep(pause_s)
                if hold:
                    released.wait(10)

        threading.Thread(target=answer, daemon=True).start()
        client = EngineClient(
            endpoint_id="e", address=address, progress_timeout_s=PROGRESS_TIMEOUT_S
        )
        stream = client.open(ORDER).ok_value
        self.addCleanup(stream.close)
        return stream

    def test_stream_that_goes_silent_is_noticed_within_the_timeout(self):
        stream = self.open_stream(event(0), hold=True)
        items = stream.events()
        self.assertEqual(next(items).ok_value.index, 0)
        began_s = time.monotonic()
        self.assertEqual(next(items).err_value.step, "silent")
        waited_s = time.monotonic() - began_s
        self.assertGreater(waited_s, PROGRESS_TIMEOUT_S * 0.9)
        self.assertLess(waited_s, PROGRESS_TIMEOUT_S + 1.0)

    def test_silence_in_the_middle_of_an_event_is_noticed(self):
        stream = self.open_stream(event(0)[:-9], hold=True)
        self.assertEqual(next(stream.events()).err_value.step, "silent")

    def test_stream_that_is_closed_early_is_not_whole(self):
        items = list(self.open_stream(event(0)).events())
        self.assertEqual(items[0].ok_value.text, " é")
        self.assertEqual(items[-1].err_value.step, "closed")

    def test_events_are_whole_however_the_bytes_are_cut(self):
        whole = chunk(b": accepted\n\n") + event(0) + event(1)
        done = chunk(b"data: [DONE]\n\n")
        raw = whole + done
        parts = [raw[at : at + 1] for at in range(len(raw))]
        for case in ([raw], parts):
            items = list(self.open_stream(*case).events())
            self.assertTrue(all(item.is_ok() for item in items), items)
            self.assertEqual([item.ok_value.index for item in items], [0, 1])

    def test_event_that_is_not_json_is_malformed(self):
        items = list(self.open_stream(chunk(b"data: {\n\n")).events())
        self.assertEqual(items[-1].err_value.step, "malformed")

    def test_slow_but_steady_stream_is_not_silent(self):
        parts = [event(index) for index in range(4)] + [chunk(b"data: [DONE]\n\n")]
        stream = self.open_stream(*parts, pause_s=PROGRESS_TIMEOUT_S / 2)
        self.assertTrue(all(item.is_ok() for item in stream.events()))

    def test_nothing_was_run_where_nothing_listens(self):
        closed = socket.create_server(("127.0.0.1", 0))
        address = "{}:{}".format(*closed.getsockname())
        closed.close()
        client = EngineClient(endpoint_id="e", address=address)
        self.assertIs(client.open(ORDER).err_value.outcome, Outcome.NOT_RUN)

    def test_a_refused_connection_is_no_silence(self):
        """A killed engine's port answers at once that nobody listens."""
        closed = socket.create_server(("127.0.0.1", 0))
        address = "{}:{}".format(*closed.getsockname())
        closed.close()
        client = EngineClient(endpoint_id="e", address=address)
        for error in (client.load().err_value, client.open(ORDER).err_value):
            self.assertFalse(error.timed_out, error)

    def test_an_engine_that_does_not_answer_in_time_is_silent(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = "{}:{}".format(*listener.getsockname())
        client = EngineClient(endpoint_id="e", address=address)
        self.assertTrue(client.load().err_value.timed_out)

    def test_stream_without_chunks_ends_with_its_connection(self):
        plain = b"".join(event(index).split(b"\r\n")[1] for index in range(2))
        body = plain + b"data: [DONE]\n\n"
        for cut, whole in ((body, True), (plain, False)):
            with self.subTest(whole=whole):
                items = list(self.open_stream(cut, head=PLAIN_HEAD).events())
                self.assertEqual([item.is_ok() for item in items[:2]], [True, True])
                self.assertEqual(len(items) == 2, whole)
