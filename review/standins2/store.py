"""Stand-in of the platform's metadata store: a log, with one fault that a case arms."""

from __future__ import annotations

import base64
import json
import socket
import struct
import threading
import time
from collections import defaultdict
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

__all__ = ["Store", "reset"]

POLL_S = 0.004
"""Interval at which a waiting read looks for records; a call takes 4 ms."""


def reset(connection: socket.socket) -> None:
    """Reset a connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Store:
    """Keeps topics in memory.

    Args:
        record: Called with a line for each conditional append.
    """

    def __init__(self, record):
        self._record = record
        self._records_by_topic: dict[str, list[bytes]] = defaultdict(list)
        self._lock = threading.Lock()
        self._loses_answer = None
        """Decides whether the answer to a conditional append is lost."""

        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):  # noqa: N802
                store._answer(self, b"")

            def do_POST(self):  # noqa: N802
                length = int(self.headers.get("Content-Length", 0))
                store._answer(self, self.rfile.read(length))

            def log_message(self, *_):
                """Log nothing."""

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Close the port."""
        self._server.shutdown()
        self._server.server_close()

    def lose_next_answer(self, decides) -> None:
        """Run the next conditional append for which ``decides`` and lose its answer.

        Args:
            decides: Called with the topic and the record.
        """
        self._loses_answer = decides

    def put(self, topic: str, key: str, value: object) -> None:
        """Append the record of a key."""
        content = b"" if value is None else json.dumps(value).encode()
        with self._lock:
            self._records_by_topic[topic].append(
                bytes([len(key)]) + key.encode() + content
            )

    def _answer(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        url = urlsplit(handler.path)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        calls = {
            "/log-newest": self._newest,
            "/log-read": self._read,
            "/log-append": self._append,
        }
        try:
            if url.path not in calls:
                self._send(handler, 404, b"")
                return
            answer = calls[url.path](query, body)
            if answer is None:
                # The call was carried out. Its channel is reset before the answer.
                handler.close_connection = True
                reset(handler.connection)
                return
            self._send(handler, *answer)
        except OSError:
            handler.close_connection = True

    def _send(self, handler, status: int, body: bytes) -> None:
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def _newest(self, query: dict, _body: bytes) -> tuple[int, bytes]:
        with self._lock:
            records = list(self._records_by_topic[query["Topic"]])
        newest = {}
        for offset, raw in enumerate(records):
            key, value = raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]
            newest[key] = (offset, value)
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        page = {"items": items, "Truncated": False, "End": len(records)}
        return 200, json.dumps(page).encode()

    def _read(self, query: dict, _body: bytes) -> tuple[int, bytes]:
        start = int(query["From"])
        until_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            with self._lock:
                topic = self._records_by_topic[query["Topic"]]
                records, end = topic[start:], len(topic)
            if records or time.monotonic() >= until_s:
                break
            time.sleep(POLL_S)
        framed = b"".join(struct.pack(">I", len(raw)) + raw for raw in records)
        return 200, struct.pack(">QQ", end, 0) + framed

    def _append(self, query: dict, body: bytes) -> tuple[int, bytes] | None:
        time.sleep(POLL_S)
        (length,) = struct.unpack_from(">I", body, 0)
        raw = body[4 : 4 + length]
        topic = query["Topic"]
        with self._lock:
            stored = self._records_by_topic[topic]
            is_conditional = "At" in query
            if is_conditional and int(query["At"]) != len(stored):
                return 412, json.dumps({"End": len(stored)}).encode()
            offset = len(stored)
            stored.append(raw)
        is_lost = is_conditional and self._is_lost(topic, raw)
        if is_conditional:
            lost = ", its answer is lost: the channel is reset" if is_lost else ""
            self._record(f"store: {topic} offset {offset}: {raw.decode()}{lost}")
        if is_lost:
            return None
        return 200, json.dumps({"Offset": offset, "End": offset + 1}).encode()

    def _is_lost(self, topic: str, raw: bytes) -> bool:
        decides = self._loses_answer
        if decides is None or not decides(topic, raw):
            return False
        self._loses_answer = None
        return True
