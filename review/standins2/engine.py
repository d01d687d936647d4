"""Stand-in of a model replica: streams, reports and orders to load weights."""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

__all__ = ["Engine"]

LOAD_S = 0.9
"""New weights take a replica 0.9 s."""

EVENT_INTERVAL_S = 0.2
"""Usual pause between the events of a stream; the route allows 400 ms."""


class Engine:
    """A replica that finishes its runs before it carries out an order (`queue`).

    Args:
        replica_id: Its id.
        record: Called with a line for each order and each run.
        version: Version of its weights.
        events: Number of events of each stream.
        interval_s: Pause between them.
        is_quiet: Whether runs are left out of the record.
    """

    def __init__(
        self,
        replica_id: str,
        record,
        *,
        version: int,
        events: int,
        interval_s: float = EVENT_INTERVAL_S,
        is_quiet: bool = False,
    ):
        self.id = replica_id
        self.version = version
        self.orders: list[tuple[float, str, int]] = []
        """Monotonic time of arrival, holder and fencing token of each order."""

        self.spoils = None
        """Decides by the id of a request whether one byte of its answer is wrong: the
        number of the weights."""

        self.runs = 0
        self.ran: set[str] = set()
        """Ids of the requests that it has begun."""

        self.parts: dict[tuple[str, str], tuple[str, str, int]] = {}
        """Cached parts by salt and id: request, tenant and version that made them."""

        self.uses: list[tuple[float, str, str, tuple[str, str, int], int]] = []
        """Uses of cached parts: time, request, tenant, what made the part, version."""

        self._record = record
        self._events = events
        self._interval_s = interval_s
        self._is_quiet = is_quiet
        self._lock = threading.Lock()
        self.running = 0
        self._accepted = 0
        self._is_busy = False
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):  # noqa: N802
                engine._get(self)

            def do_POST(self):  # noqa: N802
                length = int(self.headers.get("Content-Length", 0))
                engine._post(self, self.rfile.read(length))

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

    def entry(self, number: int, born: int) -> dict:
        """Return its entry in the store.

        Args:
            number: Number of the heartbeat.
            born: Unix millisecond of its start.
        """
        return {
            "Service": "engines",
            "Address": self.address,
            "Zone": "a",
            "Version": "v1",
            "Slots": 64,
            "State": "ready",
            "ColdLeftMs": 0,
            "Stage": "colocated",
            "Models": [{"Name": "m", "Version": self.version, "Adapters": []}],
            "Sequence": number,
            "born": born,
        }

    def _is_other(self, handler) -> bool:
        if handler.headers.get("X-Expect-Replica", self.id) == self.id:
            return False
        self._send(handler, 421, {})
        return True

    def _send(self, handler, status: int, value: dict, **headers: str) -> None:
        body = json.dumps(value).encode()
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(body)))
        handler.send_header("X-Replica-Id", self.id)
        for name, text in headers.items():
            handler.send_header(name.replace("_", "-"), text)
        handler.end_headers()
        handler.wfile.write(body)

    def _get(self, handler) -> None:
        if self._is_other(handler):
            return
        if handler.path.startswith("/report"):
            self._send(handler, 200, self._report())
        elif handler.path.startswith("/kv-events"):
            time.sleep(min(1.0, int(handler.headers.get("Wait-Ms", 0)) / 1000))
            events = {"BootEpoch": 1, "NextToken": 0, "HasGap": False, "Events": []}
            self._send(handler, 200, events)
        elif handler.path.startswith("/kv-list"):
            self._send(handler, 200, {"BootEpoch": 1, "NextToken": 0, "Held": []})
        else:
            self._send(handler, 200, {})

    def _report(self) -> dict:
        with self._lock:
            return {
                "Stage": "colocated",
                "Models": [{"Name": "m", "Version": self.version, "Adapters": []}],
                "Busy": self._is_busy,
                "Sequence": self._accepted,
                "Queued": 0,
                "Running": self.running,
                "KvUsed": 0,
                "KvTotal": 146_851,
                "Handles": 0,
            }

    def _post(self, handler, body: bytes) -> None:
        if self._is_other(handler):
            return
        if handler.path == "/order":
            self._send(handler, self._order(json.loads(body)), {})
        else:
            self._stream(handler)

    def _order(self, order: dict) -> int:
        with self._lock:
            self.orders.append((time.monotonic(), order["Holder"], order["Fence"]))
            if order["Version"] <= self.version:
                status = 200
            elif self._is_busy or order.get("Expected", 0) != self._accepted:
                status = 409
            else:
                status = 202
                self._accepted += 1
                self._is_busy = True
                threading.Thread(
                    target=self._load, args=(order["Version"],), daemon=True
                ).start()
        self._record(
            f"{self.id}: order of {order['Holder']}, fence {order['Fence']}, "
            f"version {order['Version']}, {self.running} running: {status}"
        )
        return status

    def _load(self, version: int) -> None:
        while self.running:
            time.sleep(0.01)
        time.sleep(LOAD_S)
        with self._lock:
            self.version = version
            self.parts.clear()
            self._is_busy = False
        self._record(f"{self.id}: has loaded version {version}")

    def _stream(self, handler) -> None:
        request_id = handler.headers.get("X-Attempt-Id", "")
        expected = handler.headers.get("X-Expect-Version")
        with self._lock:
            if expected is not None and int(expected) != self.version:
                status = 421
            elif self._is_busy:
                status = 503
            else:
                status = 200
                self.running += 1
        if status != 200:
            self._send(handler, status, {}, X_Not_Executed="1")
            return
        self.runs += 1
        self.ran.add(request_id)
        self._read_prompt(handler, request_id)
        try:
            self._send_events(handler, request_id)
        except OSError:
            handler.close_connection = True
        finally:
            with self._lock:
                self.running -= 1

    def _read_prompt(self, handler, request_id: str) -> None:
        """Use the cached parts at the begin of the prompt, and cache all of them."""
        salt = handler.headers.get("X-Cache-Salt", "")
        tenant = handler.headers.get("X-Tenant", "")
        used = []
        with self._lock:
            is_cached = True
            for entry in handler.headers.get("X-Prompt-Prefix", "").split(","):
                key = (salt, entry.partition(":")[0])
                is_cached = is_cached and key in self.parts
                if is_cached:
                    maker = self.parts[key]
                    used.append((key[1], maker))
                    now_s = time.monotonic()
                    self.uses.append((now_s, request_id, tenant, maker, self.version))
                else:
                    self.parts[key] = (request_id, tenant, self.version)
        if not self._is_quiet:
            self._record(
                f"{self.id}: runs {request_id} of tenant {tenant} on version "
                f"{self.version}, salt {salt!r}, expected version "
                f"{handler.headers.get('X-Expect-Version')}, cached parts used: {used}"
            )

    def _send_events(self, handler, request_id: str) -> None:
        handler.send_response(200)
        handler.send_header("X-Attempt-Id", request_id)
        handler.send_header("X-Replica-Seal", f"seal.{request_id}")
        version = str(self.version)
        if self.spoils is not None and self.spoils(request_id):
            version = "9"
            self._record(
                f"trouble: {self.id}: one wrong byte in the answer to {request_id}: "
                f"X-Weight-Versions: {version} instead of {self.version}"
            )
        handler.send_header("X-Weight-Versions", version)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(1, self._events + 1):
            data = b"id: %d\ndata: piece %d\n\n" % (number, number)
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            time.sleep(self._interval_s)
        handler.wfile.write(b"0\r\n\r\n")
