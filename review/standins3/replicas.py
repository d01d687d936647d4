"""Stand-ins of replicas, as PROTOCOL.md tells them."""

from __future__ import annotations

import itertools
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.standins3.record import Record
    from review.standins3.store import Store

__all__ = ["Engine", "KvStore", "Replica", "Run"]

HEARTBEAT_S = 1.2
JSON = "application/json"
NO_EVENTS = {"BootEpoch": 1, "NextToken": 0, "HasGap": False, "Events": []}


class Run:
    """A request that a replica was handed."""

    def __init__(self, replica: Replica, handler: BaseHTTPRequestHandler, body: bytes):
        self.replica = replica
        self.handler = handler
        self.method = handler.command
        self.path = handler.path
        self.headers = {name.lower(): value for name, value in handler.headers.items()}
        self.body = body
        self.id = self.headers.get("x-attempt-id", "")

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a whole answer with the replica's receipt."""
        self.head(status, **{"Content-Length": str(len(body)), **headers})
        self.handler.wfile.write(body)

    def head(self, status: int, **headers: str) -> None:
        """Send the head of an answer with the replica's receipt."""
        self.handler.send_response(status)
        self.handler.send_header("X-Attempt-Id", self.id)
        self.handler.send_header("X-Replica-Seal", f"seal-{self.replica.id}")
        for name, value in headers.items():
            self.handler.send_header(name.replace("_", "-"), value)
        self.handler.end_headers()

    def chunk(self, data: bytes) -> None:
        """Send a chunk; an empty one ends the body."""
        self.handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))


class Replica:
    """A replica of a service, with its entry in the store.

    Args:
        replica_id: Its id.
        service: Its service.
        zone: Its zone.
        store: Where it registers itself.
        record: Where it notes what it runs.
        script: Answers a request that is accepted.
    """

    slots = 6

    def __init__(
        self,
        replica_id: str,
        *,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        script: Callable[[Run], None],
    ):
        self.id = replica_id
        self.service = service
        self.zone = zone
        self.record = record
        self.script = script
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self._store = store
        self._sequence = itertools.count(1)
        self._stopped = threading.Event()
        self.lost_entries: list[dict[str, Any]] | None = None
        """Entries whose writes got no answer, None while the store answers."""

        replica = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):  # noqa: N802 - named by the base class
                self._serve()

            do_POST = do_DELETE = do_GET  # noqa: N815

            def log_message(self, *_):
                """Log nothing."""

            def _serve(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                run = Run(replica, self, body)
                try:
                    replica.serve(run)
                except OSError:
                    self.close_connection = True

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                """Ignore nodes that leave."""
                record.add_failure(sys.exc_info()[1])

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.report()
        threading.Thread(target=self._beat, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        """Return the replica's entry."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Sequence": next(self._sequence),
            "born": self.born,
        }

    def report(self) -> None:
        """Write the entry."""
        self._store.put("keyed.servers", self.id, self.entry())

    def stop(self) -> None:
        """Close the port and report no more."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def serve(self, run: Run) -> None:
        """Answer a request or a call."""
        if run.headers.get("x-expect-replica", self.id) != self.id:
            run.answer(421, **{"X-Replica-Id": self.id})
            return
        if run.path.startswith("/health"):
            run.answer(200, **{"X-Replica-Id": self.id})
            return
        self.script(run)

    def _beat(self) -> None:
        while not self._stopped.wait(HEARTBEAT_S):
            if self.lost_entries is None:
                self.report()
            else:
                self.lost_entries.append(self.entry())


class KvStore:
    """The store of kept KV cache; what it keeps stays as it was first made."""

    def __init__(self, record: Record):
        self.cache: dict[tuple[str, str, str], dict[str, Any]] = {}

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):  # noqa: N802 - named by the base class
                body = json.dumps(NO_EVENTS).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                """Log nothing."""

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                """Ignore nodes that leave."""
                record.add_failure(sys.exc_info()[1])

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Close the port."""
        self._server.shutdown()
        self._server.server_close()


class Engine(Replica):
    """A model replica that caches the parts of prompts.

    Args:
        model: Name of its model.
        peers: Engines and stores by address, from and to which parts can be copied.
        load_s: Time in which it loads new weights.
        prefill_tokens_per_ms: Rate at which it reads prompts; 0 for no time.
        options: As for `Replica`.
    """

    slots = 64

    def __init__(
        self,
        *args: Any,
        model: str,
        peers: dict[str, Engine | KvStore],
        load_s: float = 0.9,
        prefill_tokens_per_ms: float = 0.0,
        **options: Any,
    ):
        self.model = model
        self.version = 1
        self.orders = 0
        self.is_busy = False
        self._load_s = load_s
        self._prefill_tokens_per_ms = prefill_tokens_per_ms
        self.cache: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._peers = peers
        self.lock = threading.Lock()
        super().__init__(*args, **options)
        peers[self.address] = self

    def entry(self) -> dict[str, Any]:
        """Return the replica's entry."""
        return {**super().entry(), "Stage": "colocated", "Models": self._models()}

    def serve(self, run: Run) -> None:
        """Answer a request or a call."""
        if run.path == "/report":
            self._report(run)
        elif run.path.startswith("/kv-events"):
            run.answer(200, json.dumps(NO_EVENTS).encode(), Content_Type=JSON)
        elif run.path == "/order":
            self._order(run)
        elif self.is_busy:
            run.answer(503, **{"X-Not-Executed": "1", "X-Replica-Id": self.id})
        elif run.headers.get("x-expect-version", str(self.version)) != str(
            self.version
        ):
            run.answer(421, **{"X-Replica-Id": self.id})
        else:
            super().serve(run)

    def parts(self, run: Run) -> list[tuple[str, int]]:
        """Return the ids and tokens of a prompt's parts."""
        entries = run.headers.get("x-prompt-prefix", "").split(",")
        pairs = [entry.strip().partition(":") for entry in entries if entry.strip()]
        return [(name, int(tokens)) for name, _, tokens in pairs]

    def use_cache(self, run: Run, tenant: str) -> list[dict[str, Any]]:
        """Read a prompt: use the cached parts, make the others.

        Returns:
            The cached parts that were used, as they were made.
        """
        salt = run.headers.get("x-cache-salt", "")
        parts = self.parts(run)
        keys = [(salt, self.model, part) for part, _ in parts]
        source = self._peers.get(run.headers.get("x-kv-fetch-from", ""))
        target = self._peers.get(run.headers.get("x-kv-store-to", ""))
        used = []
        with self.lock:
            for key in keys:
                made = self.cache.get(key)
                if made is None and source is not None and source is not self:
                    made = source.cache.get(key)
                    if made is not None:
                        self.cache[key] = made
                if made is None:
                    break
                used.append(made)
        if self._prefill_tokens_per_ms:
            tokens = sum(count for _, count in parts[len(used) :])
            time.sleep(tokens / self._prefill_tokens_per_ms / 1000)
        with self.lock:
            for key in keys[len(used) :]:
                self.cache[key] = {
                    "by": tenant,
                    "request": run.id,
                    "part": key[2],
                    "version": self.version,
                }
            if target is not None:
                for key in keys[:-1]:
                    target.cache.setdefault(key, self.cache[key])
        return used

    def stream(self, run: Run, events: int) -> None:
        """Answer with a whole stream."""
        run.head(
            200,
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
            X_Weight_Versions=str(self.version),
        )
        first = int(run.headers.get("last-event-id", -1)) + 1
        for number in range(first, events):
            run.chunk(b"id: %d\ndata: piece %d\n\n" % (number, number))
            time.sleep(0.005)
        run.chunk(b"")

    def _order(self, run: Run) -> None:
        """Accept an order to load a version of the weights; runs finish first."""
        order = json.loads(run.body)
        if run.headers.get("x-expect-replica", self.id) != self.id:
            run.answer(421, **{"X-Replica-Id": self.id})
            return
        with self.lock:
            if order["Version"] <= self.version:
                status = 200
            elif self.is_busy or order.get("Expected", self.orders) != self.orders:
                status = 409
            else:
                status = 202
                self.is_busy = True
                self.orders += 1
                threading.Thread(target=self._load, args=(order["Version"],)).start()
        self.record.add(f"engine {self.id}: order {order}, answers {status}")
        run.answer(status)

    def _load(self, version: int) -> None:
        time.sleep(self._load_s)
        with self.lock:
            self.version = version
            self.cache.clear()
            self.is_busy = False
        self.record.add(f"engine {self.id}: serves version {version}")

    def _models(self) -> list[dict[str, Any]]:
        return [{"Name": self.model, "Version": self.version, "Adapters": []}]

    def _report(self, run: Run) -> None:
        report = {
            "Stage": "colocated",
            "Models": self._models(),
            "Busy": self.is_busy,
            "Sequence": self.orders,
            "Queued": 0,
            "Running": 0,
            "KvUsed": 0,
            "KvTotal": 146_851,
            "Handles": 0,
        }
        run.answer(200, json.dumps(report).encode(), Content_Type=JSON)
