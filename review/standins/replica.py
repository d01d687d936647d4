"""Stand-in of a replica: a process of its own, which registers itself in the store.

It follows the users' pages: it answers with the attempt's id and a seal, sends a request
for another replica away with 421, writes its entry about every 1.2 s, and drops a request
whose channel closes. A model replica also answers ``/report``, ``/order`` and
``/kv-events`` and streams events. What it runs is written to a file, a line each.
"""

from __future__ import annotations

import argparse
import json
import select
import signal
import socket
import struct
import threading
import time
import urllib.parse
import urllib.request
from collections import OrderedDict
from pathlib import Path

HEARTBEAT_S = 1.2
LOAD_S = 0.9
"""Time in which a model replica takes new weights."""

REPORT_INTERVAL_S = 0.05
EVENTS = 4
WRONG_BYTES = bytes(range(0xE0, 0xF8))
"""As many bytes as the line of the head that they take the place of."""


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--work-ms", type=int, default=90)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--model", default="")
    parser.add_argument("--version", type=int, default=1)
    parser.add_argument("--spoil-from", type=float, default=0.0)
    parser.add_argument("--spoil-for", type=float, default=0.0)
    parser.add_argument("--spoil-each", type=int, default=0)
    return parser.parse_args()


class Replica:
    """One replica, with a thread for each channel."""

    def __init__(self, arguments: argparse.Namespace):
        self.arguments = arguments
        self.address = f"127.0.0.1:{arguments.port}"
        self.born = int(time.time() * 1000)
        self.number = 0
        self.version = arguments.version
        self.orders = 0
        self.is_busy = False
        self.running = 0
        self.leaves = threading.Event()
        """Set when the replica stops writing its entry; it goes on serving."""

        self.answers = 0
        """Answers sent while some are to be spoiled."""

        self.lock = threading.Lock()
        self.cached: OrderedDict[tuple[str, str], str] = OrderedDict()
        """Tenant that made each cached part, by cache salt and id of the part."""

        self.log = Path(arguments.log)

    def write(self, **fields: object) -> None:
        """Write a line to the log."""
        line = {"t": time.time(), "replica": self.arguments.id, **fields}
        with self.lock, self.log.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    # The registry entry.

    def heartbeat(self) -> None:
        """Write the entry again and again, until the replica leaves."""
        while not self.leaves.is_set():
            self.number += 1
            self.register()
            self.leaves.wait(HEARTBEAT_S)

    def register(self) -> None:
        """Append the entry to the store."""
        arguments = self.arguments
        entry = {
            "Service": arguments.service,
            "Address": self.address,
            "Zone": arguments.zone,
            "Version": "v1",
            "Slots": arguments.slots,
            "State": "ready",
            "ColdLeftMs": 0,
            "Stage": "colocated",
            "Models": self.models(),
            "Sequence": self.number,
            "born": self.born,
        }
        key = arguments.id.encode()
        raw = bytes([len(key)]) + key + json.dumps(entry).encode()
        query = urllib.parse.urlencode({"Topic": "keyed.servers", "part": 0})
        call = urllib.request.Request(
            f"http://{arguments.store}/log-append?{query}",
            data=struct.pack(">I", len(raw)) + raw,
            method="POST",
        )
        try:
            urllib.request.urlopen(call, timeout=1).read()
        except OSError as error:
            self.write(event="not registered", error=str(error))

    def models(self) -> list[dict]:
        """Return the models as in entries and reports."""
        if not self.arguments.model:
            return []
        return [{"Name": self.arguments.model, "Version": self.version, "Adapters": []}]

    # Channels.

    def serve(self) -> None:
        """Accept channels until the process ends."""
        listener = socket.create_server(("127.0.0.1", self.arguments.port), backlog=512)
        threading.Thread(target=self.heartbeat, daemon=True).start()
        signal.signal(signal.SIGUSR1, lambda *_: self.leaves.set())
        while True:
            channel, _ = listener.accept()
            threading.Thread(
                target=self.serve_channel, args=(channel,), daemon=True
            ).start()

    def serve_channel(self, channel: socket.socket) -> None:
        """Answer the one request of a channel."""
        try:
            with channel:
                self.answer(channel, *read_request(channel))
        except (OSError, ValueError):
            return

    def answer(
        self, channel: socket.socket, target: str, headers: dict, body: bytes
    ) -> None:
        """Answer a request."""
        if headers.get("x-expect-replica", self.arguments.id) != self.arguments.id:
            send(channel, "421 Misdirected Request", self.head(headers), b"")
        elif target == "/report":
            send(channel, "200 OK", [], json.dumps(self.report()).encode())
        elif target == "/order":
            status = self.order(json.loads(body))
            send(channel, status, [], b"")
        elif target.startswith("/kv-events"):
            events = {"BootEpoch": 1, "NextToken": 1, "HasGap": False, "Events": []}
            send(channel, "200 OK", [], json.dumps(events).encode())
        elif "x-attempt-id" not in headers:
            not_run = [("X-Not-Executed", "1")]
            send(channel, "400 Bad Request", not_run, b"")
        else:
            self.run(channel, target, headers)

    def head(self, headers: dict) -> list[tuple[str, str]]:
        """Return the headers that identify attempt and replica."""
        return [
            ("X-Attempt-Id", headers.get("x-attempt-id", "")),
            ("X-Replica-Id", self.arguments.id),
        ]

    def run(self, channel: socket.socket, target: str, headers: dict) -> None:
        """Run a request, or reject it if the replica is full or has other weights."""
        expected = headers.get("x-expect-version")
        if expected is not None and int(expected) != self.version:
            send(channel, "421 Misdirected Request", self.head(headers), b"")
            return
        with self.lock:
            is_full = self.is_busy or self.running >= self.arguments.slots
            self.running += not is_full
        if is_full:
            not_run = [*self.head(headers), ("X-Not-Executed", "1")]
            send(channel, "503 Service Unavailable", not_run, b"")
            return
        try:
            self.run_admitted(channel, target, headers)
        finally:
            with self.lock:
                self.running -= 1

    def run_admitted(self, channel: socket.socket, target: str, headers: dict) -> None:
        """Run a request that has a slot."""
        shared = self.shared_parts(headers)
        self.write(
            event="run",
            id=headers["x-attempt-id"],
            target=target,
            tenant=headers.get("x-tenant", ""),
            salt=headers.get("x-cache-salt", ""),
            version=self.version,
            shared=shared,
        )
        if is_closed_within(channel, self.arguments.work_ms / 1000):
            self.write(event="dropped", id=headers["x-attempt-id"])
            return
        head = [*self.head(headers), ("X-Replica-Seal", "seal")]
        if not self.arguments.model:
            body = f"{target} at {self.arguments.id}".encode()
            send_chunked(channel, head, body, spoils=self.spoils(headers))
            return
        head += [
            ("Content-Type", "text/event-stream"),
            ("X-Weight-Versions", str(self.version)),
        ]
        events = b"".join(
            b"id: %d\ndata: piece %d\n\n" % (number, number)
            for number in range(1, EVENTS + 1)
        )
        send(channel, "200 OK", head, events)

    def spoils(self, headers: dict) -> bool:
        """Whether to put wrong bytes into the head of this answer."""
        arguments = self.arguments
        since_s = time.time() - arguments.spoil_from
        if not arguments.spoil_each or not 0 <= since_s < arguments.spoil_for:
            return False
        with self.lock:
            self.answers += 1
            is_spoiled = self.answers % arguments.spoil_each == 0
        if is_spoiled:
            self.write(event="spoiled", id=headers["x-attempt-id"])
        return is_spoiled

    def shared_parts(self, headers: dict) -> list[list[str]]:
        """Return the parts that were found cached, each with the tenant that made it.

        Parts are found only under the same salt, and only if all parts before them are
        found. The others are read and cached.
        """
        salt, tenant = headers.get("x-cache-salt", ""), headers.get("x-tenant", "")
        found = []
        is_found = True
        for entry in filter(None, headers.get("x-prompt-prefix", "").split(",")):
            key = (salt, entry.strip().partition(":")[0])
            is_found = is_found and key in self.cached
            if is_found:
                found.append([key[1], self.cached[key]])
            else:
                self.cached[key] = tenant
        return found

    # Orders.

    def report(self) -> dict:
        """Return the content of a report."""
        return {
            "Stage": "colocated",
            "Models": self.models(),
            "Busy": self.is_busy,
            "Sequence": self.orders,
            "Queued": 0,
            "Running": self.running,
            "KvUsed": 0,
            "KvTotal": 90_000,
            "Handles": 0,
        }

    def order(self, order: dict) -> str:
        """Accept or reject an order; return the status of the answer."""
        self.write(
            event="order",
            holder=order.get("Holder"),
            fence=order.get("Fence"),
            version=order.get("Version"),
        )
        if order.get("Op") != "Version" or "Holder" not in order:
            return "400 Bad Request"
        with self.lock:
            if self.version == order["Version"]:
                return "200 OK"
            if self.is_busy or order.get("Expected", self.orders) != self.orders:
                return "409 Conflict"
            self.orders += 1
            self.is_busy = True
        threading.Thread(
            target=self.load, args=(order["Version"],), daemon=True
        ).start()
        return "202 Accepted"

    def load(self, version: int) -> None:
        """Finish the runs, then take new weights, which discards the cache."""
        while self.running:
            time.sleep(REPORT_INTERVAL_S)
        time.sleep(LOAD_S)
        self.version = version
        self.cached.clear()
        self.is_busy = False
        self.write(event="loaded", version=version)


def read_request(channel: socket.socket) -> tuple[str, dict, bytes]:
    """Return target, headers by lower-case name and body."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = channel.recv(65_536)
        if not piece:
            raise ValueError("closed before the request")
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    while len(body) < int(headers.get("content-length", 0)):
        piece = channel.recv(65_536)
        if not piece:
            raise ValueError("closed before the end of the body")
        body += piece
    return lines[0].split(" ")[1], headers, body


def send(
    channel: socket.socket, status: str, headers: list[tuple[str, str]], body: bytes
) -> None:
    """Send a whole answer."""
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers)]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    channel.sendall("\r\n".join(lines).encode() + body)


def send_chunked(
    channel: socket.socket,
    headers: list[tuple[str, str]],
    body: bytes,
    *,
    spoils: bool,
) -> None:
    """Send an answer in two chunks; if it is spoiled, one line of its head is wrong."""
    lines = [
        b"HTTP/1.1 200 OK",
        *(f"{name}: {value}".encode() for name, value in headers),
    ]
    lines.append(WRONG_BYTES if spoils else b"Content-Type: text/plain")
    lines += [b"Transfer-Encoding: chunked", b"Connection: close", b"", b""]
    half = len(body) // 2
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (len(piece), piece) for piece in (body[:half], body[half:])
    )
    channel.sendall(b"\r\n".join(lines) + chunks + b"0\r\n\r\n")


def is_closed_within(channel: socket.socket, duration_s: float) -> bool:
    """Wait, and return early with True if the other side closes the channel."""
    readable, _, _ = select.select([channel], [], [], duration_s)
    return bool(readable) and channel.recv(1) == b""


if __name__ == "__main__":
    Replica(parse_arguments()).serve()
