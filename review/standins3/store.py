"""Stand-in of the platform's store: a log with topics, as PROTOCOL.md tells it."""

from __future__ import annotations

import base64
import json
import struct
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from review.standins3.record import Record

__all__ = ["Store"]

WRITE_PROTECTED = ("keyed.op", "keyed.servers")


class Store:
    """Keeps all records of all topics in memory."""

    def __init__(self, record: Record):
        self.write_times_s: list[float] = []
        self._records_by_topic: dict[str, list[bytes]] = {}
        self._changed = threading.Condition(threading.RLock())
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):  # noqa: N802 - named by the base class
                self._answer(b"")

            def do_POST(self):  # noqa: N802
                length = int(self.headers.get("Content-Length", 0))
                self._answer(self.rfile.read(length))

            def log_message(self, *_):
                """Log nothing."""

            def _answer(self, body: bytes) -> None:
                status, content = store.call(self.path, body)
                self.send_response(status)
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                """Ignore callers that leave."""
                record.add_failure(sys.exc_info()[1])

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Write the newest record of a key, None to remove the key."""
        content = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self._append(topic, [bytes([len(name)]) + name + content])

    def stop(self) -> None:
        """Close the port."""
        self._server.shutdown()
        self._server.server_close()

    def call(self, target: str, body: bytes) -> tuple[int, bytes]:
        """Return the status and the body of an answer."""
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        if url.path == "/log-newest":
            return self._newest(query["Topic"])
        if url.path == "/log-read":
            return self._read(query)
        if url.path == "/log-append":
            return self._append_call(query, body)
        return 404, b""

    def _append(self, topic: str, records: list[bytes]) -> int:
        with self._changed:
            stored = self._records_by_topic.setdefault(topic, [])
            stored += records
            self.write_times_s += [time.monotonic()] * len(records)
            self._changed.notify_all()
            return len(stored) - len(records)

    def _newest(self, topic: str) -> tuple[int, bytes]:
        with self._changed:
            records = list(self._records_by_topic.get(topic, ()))
        newest = {}
        for offset, raw in enumerate(records):
            newest[raw[1 : 1 + raw[0]].decode()] = (offset, raw[1 + raw[0] :])
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        page = {"items": items, "Truncated": False, "End": len(records)}
        return 200, json.dumps(page).encode()

    def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        start = int(query["From"])
        ends_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        with self._changed:
            while True:
                stored = self._records_by_topic.get(query["Topic"], [])
                rest_s = ends_s - time.monotonic()
                if len(stored) > start or rest_s <= 0:
                    break
                self._changed.wait(rest_s)
            records, end = stored[start:], len(stored)
        framed = b"".join(struct.pack(">I", len(raw)) + raw for raw in records)
        return 200, struct.pack(">QQ", end, 0) + framed

    def _append_call(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        if query["Topic"] in WRITE_PROTECTED:
            return 403, b""
        records = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        with self._changed:
            end = len(self._records_by_topic.get(query["Topic"], ()))
            if "At" in query and int(query["At"]) != end:
                return 412, json.dumps({"End": end}).encode()
            offset = self._append(query["Topic"], records)
        answer = {"Offset": offset, "End": offset + len(records)}
        return 200, json.dumps(answer).encode()
