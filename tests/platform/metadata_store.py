"""Fake of the platform's metadata store, in the process of the test."""

from __future__ import annotations

import base64
import json
import struct
import threading
import time
from collections import defaultdict
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

import attrs

__all__ = ["MetadataStore"]

POLL_INTERVAL_S = 0.005


@attrs.define(kw_only=True)
class _Topic:
    records: list[bytes] = attrs.Factory(list)
    first_retained: int = 0
    """Offset of the oldest record that is still kept."""


@attrs.define(kw_only=True)
class StorePort:
    """A port of the store."""

    address: str = ""
    is_silent: bool = False
    """Whether calls at this port get no answer."""


class MetadataStore:
    """A metadata store that keeps topics in memory, with fault injection."""

    def __init__(self):
        self._topics_by_name: dict[str, _Topic] = defaultdict(_Topic)
        self._lock = threading.Lock()
        self.fault = ""
        """Current fault: ``"busy"`` refuses calls, ``"silent"`` blocks them, ``"lost"``
        runs them but closes the connection without a response; empty: none."""

        self.calls: list[str] = []
        self.era_header: str | None = None
        """Value of the header ``Store-Era`` in all answers, None for no header."""

        self._servers: list[ThreadingHTTPServer] = []
        self.address = self.listen().address

    def listen(self) -> StorePort:
        """Listen at a further port, whose callers can be cut off alone."""
        store = self
        port = StorePort()

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):  # noqa: N802
                store.answer(self, b"", port)

            def do_POST(self):  # noqa: N802
                length = int(self.headers.get("Content-Length", 0))
                store.answer(self, self.rfile.read(length), port)

            def log_message(self, *_):
                """Log nothing, to keep the output of the tests clean."""

        server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        server.daemon_threads = True
        self._servers.append(server)
        port.address = f"127.0.0.1:{server.server_port}"
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return port

    def stop(self) -> None:
        """Close the ports."""
        for server in self._servers:
            server.shutdown()
            server.server_close()

    def put(self, topic: str, key: str, value: object | None) -> int:
        """Append a record of a key and return its offset.

        Args:
            topic: Name of a keyed topic.
            key: The key.
            value: JSON value, raw bytes, or None to remove the key.
        """
        if value is None:
            content = b""
        else:
            content = value if isinstance(value, bytes) else json.dumps(value).encode()
        raw = bytes([len(key.encode())]) + key.encode() + content
        return self.append(topic, [raw])

    def append(self, topic: str, records: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        with self._lock:
            stored = self._topics_by_name[topic].records
            stored += records
            return len(stored) - len(records)

    def trim(self, topic: str) -> None:
        """Drop all records of a topic and keep its offsets."""
        with self._lock:
            trimmed = self._topics_by_name[topic]
            trimmed.first_retained = len(trimmed.records)

    def copy(self) -> dict[str, list[bytes]]:
        """Return a copy of all records, from which `return_from` restores them."""
        with self._lock:
            return {
                name: list(topic.records)
                for name, topic in self._topics_by_name.items()
            }

    def return_from(self, copy: dict[str, list[bytes]]) -> None:
        """Lose what was written since a copy was made, and begin the next era.

        Offsets are given out again, and reads from later ones get status 410.
        """
        with self._lock:
            self._topics_by_name.clear()
            for name, records in copy.items():
                self._topics_by_name[name].records = list(records)
            self.era_header = str(int(self.era_header or 0) + 1)

    def answer(
        self, handler: BaseHTTPRequestHandler, body: bytes, port: StorePort
    ) -> None:
        """Respond to a call."""
        url = urlsplit(handler.path)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        self.calls.append(f"{handler.command} {url.path}")
        if self.fault == "busy":
            self._send(handler, 503, b"")
            return
        while self.fault == "silent" or port.is_silent:
            time.sleep(POLL_INTERVAL_S)
        call = getattr(self, "call_" + url.path.strip("/").replace("-", "_"), None)
        status, content = call(query, body) if call else (404, b"")
        if self.fault == "lost":
            handler.close_connection = True
            return
        self._send(handler, status, content)

    def call_log_newest(self, query: dict, _body: bytes) -> tuple[int, bytes]:
        """Return the newest record of each key."""
        with self._lock:
            records = list(self._topics_by_name[query["Topic"]].records)
        newest = {}
        for offset, raw in enumerate(records):
            key, value = raw[1 : 1 + raw[0]].decode("latin-1"), raw[1 + raw[0] :]
            newest[key] = (offset, value)
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        page = {"items": items, "Truncated": False, "End": len(records)}
        return 200, json.dumps(page).encode()

    def call_log_read(self, query: dict, _body: bytes) -> tuple[int, bytes]:
        """Return the raw records from an offset on, by long polling."""
        start = int(query["From"])
        deadline_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            with self._lock:
                topic = self._topics_by_name[query["Topic"]]
                records = topic.records[start:]
                end, first_retained = len(topic.records), topic.first_retained
            is_ahead = self.era_header is not None and start > end
            if start < first_retained or is_ahead:
                return 410, json.dumps({"First": first_retained}).encode()
            if records or time.monotonic() >= deadline_s or self.fault:
                break
            time.sleep(POLL_INTERVAL_S)
        framed = b"".join(struct.pack(">I", len(raw)) + raw for raw in records)
        return 200, struct.pack(">QQ", end, first_retained) + framed

    def call_log_append(self, query: dict, body: bytes) -> tuple[int, bytes]:
        """Append records. Fail if ``At`` is given and is not the end of the topic."""
        records = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        with self._lock:
            stored = self._topics_by_name[query["Topic"]].records
            if "At" in query and int(query["At"]) != len(stored):
                return 412, json.dumps({"End": len(stored)}).encode()
            offset = len(stored)
            stored += records
        return 200, json.dumps(
            {"Offset": offset, "End": offset + len(records)}
        ).encode()

    def _send(self, handler: BaseHTTPRequestHandler, status: int, body: bytes) -> None:
        try:
            handler.send_response(status)
            handler.send_header("Content-Length", str(len(body)))
            if self.era_header is not None:
                handler.send_header("Store-Era", self.era_header)
            handler.end_headers()
            handler.wfile.write(body)
        except OSError:
            handler.close_connection = True
