"""Tests of all clients with answers that are broken off or changed.

Each client makes one call and gets a whole answer in each form, which is broken off after
each byte and ended by FIN, RST or silence, and changed in each byte that frames it. The
result must be that of the whole answer or an error. What only a replica's seal could reveal
is left out, as in test_answer_faults.
"""

from __future__ import annotations

import base64
import json
import struct
import unittest
from typing import TYPE_CHECKING, Any

from crocuswick.endpoints import EngineClient, EngineCompletionRequest
from crocuswick.endpoints.order_client import OrderClient
from crocuswick.operators._admin_client import AdminClient
from crocuswick.platform.engine_orders import EngineOrdersClient
from crocuswick.platform.kv_events import KvEventsClient
from crocuswick.platform.store_client import StoreClient
from crocuswick.platform_log import LogClient
from crocuswick.records.store_era import StoreEra
from crocuswick.relay.replica import Replica, ReplicaState
from crocuswick.rollouts.engine_orders import WeightsOrder
from crocuswick.vm_list.client import VmListClient
from tests.answer_forms import (
    Form,
    changed_heads,
    event_stream,
    plain_forms,
    replaced_bytes,
)
from tests.byte_server import ByteServer, End

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from result import Result

ITEM = {"Key": "a", "Offset": 3, "Value": base64.b64encode(b"v").decode()}
RECORD = b"\x01av"
TAIL = struct.pack(">QQL", 4, 3, len(RECORD)) + RECORD
OTHER_BODIES = (
    b"[]",
    b"7",
    b"{}",
    b"null",
    b'"text"',
    b"[" * 100_000 + b"]" * 100_000,
    b"9" * 5_000,
    b"\xff\xfe",
    b'{"items": 7, "End": [], "Offset": {}, "Models": 7, "Events": 7, "keys": 7}',
    b'{"items": [[]], "End": 1e999, "Offset": 1e999, "Events": [[]], "keys": [[]]}',
)
SILENT_EVERY_BYTES = 60
"""Silence takes the whole timeout of a client, and is therefore tried at fewer places."""

SILENT_CLIENTS = ("report", "cache events", "vm list")
"""Clients with the shortest timeouts; all pools are one class."""

_calls_by_name: dict[str, tuple[bytes, Callable[[str], Result]]] = {}


def client(name: str, body: Any):
    """Register the call of a client.

    Args:
        name: Name for messages.
        body: Body of its whole answer, JSON unless it is bytes.
    """

    def register(call: Callable[[str], Result]) -> Callable[[str], Result]:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        _calls_by_name[name] = (data, call)
        return call

    return register


def replica(address: str) -> Replica:
    """Return a replica at an address."""
    return Replica(
        id="r",
        started_ms=1,
        service="engines",
        address=address,
        zone="a",
        state=ReplicaState.READY,
        slots=1,
        weights_by_model={},
        report_number=1,
    )


@client("listing", {"items": [ITEM], "Truncated": False, "End": 4})
def list_newest(address: str) -> Result:
    """List the newest records of the store."""
    return StoreClient(address=address, era=StoreEra()).list_newest("keyed.servers")


@client("tail", TAIL)
def read_tail(address: str) -> Result:
    """Read records of the store."""
    store = StoreClient(address=address, era=StoreEra())
    return store.read_tail("leases", start=3)


@client("append", {"Offset": 3, "End": 4})
def append(address: str) -> Result:
    """Append a record to the store."""
    return StoreClient(address=address, era=StoreEra()).append("leases", b"x")


REPORT = {
    "Models": [{"Name": "m", "Version": 3}],
    "Busy": False,
    "Sequence": 4,
    "Running": 1,
    "Queued": 0,
}


@client("report", REPORT)
def report(address: str) -> Result:
    """Read the report of an engine."""
    return EngineOrdersClient().report(replica(address))


@client("order", b"accepted")
def order(address: str) -> Result:
    """Send an order to an engine."""
    weights = WeightsOrder(
        model="m", version=4, holder="n", fencing_token=1, expected_orders=0
    )
    return EngineOrdersClient().order(replica(address), weights)


@client("cache events", {"Events": [[1, "+", "s", "a1", 800, "m"]]})
def cache_events(address: str) -> Result:
    """Read the events of a cache."""
    return KvEventsClient().read_newest("e", address)


@client("log append", {"first_offset": 3, "next_offset": 4})
def log_append(address: str) -> Result:
    """Append to the log of the product's own interface."""
    return LogClient(address=address, timeout_ms=1_000).append("s", [1])


@client("vm list", {"revision": 3, "vms": []})
def vm_list(address: str) -> Result:
    """Read the VM list."""
    return VmListClient(address=address, timeout_s=0.3).fetch()


ENGINE_STATE = {
    "incarnation": "i",
    "models": {"m": "v1"},
    "role": "both",
    "state": "ready",
    "highest_token": 3,
}


@client("engine state", ENGINE_STATE)
def engine_state(address: str) -> Result:
    """Read the state of an engine of the product's own interface."""
    return OrderClient(endpoint_id="e", address=address).state()


@client("snapshot", {"incarnation": "i", "next_seq": 3, "keys": ["a1", "b2"]})
def cache_snapshot(address: str) -> Result:
    """Read what an engine of the product's own interface has cached."""
    return EngineClient(endpoint_id="e", address=address).cache_snapshot()


@client("operators", {"nodes": ["n1", "n2"]})
def operators(address: str) -> Result:
    """Make a call of the operators' tool."""
    return AdminClient(node=address, secret="s").get("nodes")


def completion(address: str) -> list:
    """Return what a completion's stream yields at an engine of the own interface."""
    asked = EngineCompletionRequest(
        request_id="r",
        model="m",
        weights_version="v1",
        prompt="P",
        max_tokens=2,
        priority=0,
        cache_salt="s",
    )
    engine = EngineClient(endpoint_id="e", address=address, progress_timeout_s=0.2)
    opened = engine.open(asked)
    if opened.is_err():
        return [opened]
    events = list(opened.ok_value.events())
    opened.ok_value.close()
    return events


def token(index: int) -> bytes:
    """Return an event of a completion."""
    data = json.dumps({"request_id": "r", "index": index, "text": "x"})
    return f"id: {index}\ndata: {data}\n\n".encode()


STREAM = event_stream(token(0), token(1), b"data: [DONE]\n\n")


def broken_off(form: Form) -> Iterator[tuple[bytes, End]]:
    """Yield an answer broken off after each byte, unless its end can't be told."""
    for size_bytes in range(len(form.answer)):
        if form.is_framed or size_bytes < len(form.head):
            yield form.answer[:size_bytes], End.FIN
        yield form.answer[:size_bytes], End.RST


def changed(form: Form) -> Iterator[tuple[bytes, End]]:
    """Yield an answer with changes of what frames it."""
    for answer in replaced_bytes(form):
        yield answer, End.FIN
    for head in changed_heads(form):
        yield head + form.framed_body, End.FIN


class ClientAnswerFaultTests(unittest.TestCase):
    def setUp(self):
        self.server = ByteServer()
        self.addCleanup(self.server.stop)

    def result(self, name: str, answer: bytes, end: End) -> Result:
        self.server.answer, self.server.end = answer, end
        return _calls_by_name[name][1](self.server.address)

    def check_all(self, changes: Callable[[Form], Iterator[tuple[bytes, End]]]):
        for name, (body, _) in _calls_by_name.items():
            for form in plain_forms(body):
                whole = self.result(name, form.answer, End.FIN)
                self.assertTrue(whole.is_ok(), (name, form.name, whole))
                for answer, end in changes(form):
                    found = self.result(name, answer, end)
                    if found.is_ok() and found != whole:
                        self.fail(f"{name}, {end}: {answer!r} gave {found}")

    def test_a_call_whose_answer_breaks_off_fails(self):
        """Guards against a part of an answer that a client takes for the whole; sound
        answers of each form must pass."""
        self.check_all(broken_off)

    def test_a_call_whose_answer_is_spoiled_fails(self):
        """Guards against chunk marks or other bytes that a client takes for the body."""
        self.check_all(changed)

    def test_a_call_whose_answer_holds_something_else_raises_nothing(self):
        """Guards against a thread that ends by an error in a well-formed answer: other
        JSON, very deep JSON, numbers out of range."""
        for name in _calls_by_name:
            for body in OTHER_BODIES:
                form = plain_forms(body)[0]
                with self.subTest(name, body=body[:40]):
                    self.result(name, form.answer, End.FIN)

    def test_a_call_whose_answer_falls_silent_fails(self):
        """Guards against a part of an answer that a client takes for the whole."""
        for name in SILENT_CLIENTS:
            for form in plain_forms(_calls_by_name[name][0]):
                for size_bytes in range(0, len(form.answer), SILENT_EVERY_BYTES):
                    found = self.result(name, form.answer[:size_bytes], End.SILENCE)
                    self.assertTrue(found.is_err(), (name, form.name, size_bytes))

    def test_a_stream_of_the_own_interface_that_breaks_off_or_is_spoiled(self):
        """Guards against tokens that are lost, changed or repeated without a fault."""
        self.server.answer = STREAM.answer
        whole = completion(self.server.address)
        self.assertEqual([each.ok_value.index for each in whole], [0, 1])
        for answer, end in (*broken_off(STREAM), *changed(STREAM)):
            self.server.answer, self.server.end = answer, end
            found = completion(self.server.address)
            is_whole = found == whole
            if not is_whole and (not found or found[-1].is_ok()):
                self.fail(f"{end}: {answer!r} gave {found}")


if __name__ == "__main__":
    unittest.main()
