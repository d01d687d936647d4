"""Stand-ins of replicas, as PROTOCOL.md tells them."""

from __future__ import annotations

import itertools
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.standins3.record import Record
    from review.standins3.store import Store

__all__ = ["Engine", "Replica", "Run"]

HEARTBEAT_S = 1.2


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
            self.report()


class Engine(Replica):
    """A model replica that caches the parts of prompts.

    Args:
        model: Name of its model.
        peers: Engines by address, from which parts can be fetched.
        options: As for `Replica`.
    """

    slots = 64

    def __init__(
        self, *args: Any, model: str, peers: dict[str, Engine], **options: Any
    ):
        self.model = model
        self.version = 1
        self.orders = 0
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
            found = {"BootEpoch": 1, "NextToken": 0, "HasGap": False, "Events": []}
            run.answer(200, json.dumps(found).encode(), Content_Type="application/json")
        elif run.path == "/order":
            run.answer(200)
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
        keys = [(salt, self.model, part) for part, _ in self.parts(run)]
        source = self._peers.get(run.headers.get("x-kv-fetch-from", ""))
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
            for key in keys[len(used) :]:
                self.cache[key] = {"by": tenant, "request": run.id, "part": key[2]}
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

    def _models(self) -> list[dict[str, Any]]:
        return [{"Name": self.model, "Version": self.version, "Adapters": []}]

    def _report(self, run: Run) -> None:
        report = {
            "Stage": "colocated",
            "Models": self._models(),
            "Busy": False,
            "Sequence": self.orders,
            "Queued": 0,
            "Running": 0,
            "KvUsed": 0,
            "KvTotal": 146_851,
            "Handles": 0,
        }
        run.answer(200, json.dumps(report).encode(), Content_Type="application/json")
