"""Tests of the platform's VM list: reading, changes and turns."""

from __future__ import annotations

import json
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from hypothesis import given, settings
from hypothesis import strategies as st

from crocuswick.nodes import EndpointSignalKind, PlatformState
from crocuswick.time_line import TimeLine
from crocuswick.vm_list import (
    Vm,
    VmKind,
    VmListClient,
    VmListing,
    VmListPoller,
    entry_nodes,
    leaving_signals,
)
from crocuswick.vm_list.changes import changed_vms
from crocuswick.vm_list.turn import seconds_until_turn


def vm(
    vm_id="v1", *, kind=VmKind.ENDPOINT, state=PlatformState.LIVE, address="10.0.0.1"
):
    """Return a VM for a list."""
    return Vm(id=vm_id, zone="a", address=address, kind=kind, state=state)


def listing(*vms, revision=1):
    """Return a VM list."""
    return VmListing(revision=revision, vms=vms)


class StubList:
    """VM list server whose responses a test sets."""

    def __init__(self):
        self.status = 200
        self.body = b""
        stub = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                self.send_response(stub.status)
                self.send_header("Content-Length", str(len(stub.body)))
                self.end_headers()
                self.wfile.write(stub.body)

            def log_message(self, *args):
                return

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.01,), daemon=True
        )
        self._thread.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()


class ChangeTests(unittest.TestCase):
    def test_leaving_and_gone_vms_are_signalled_and_live_ones_are_not(self):
        before = listing(vm("v1"), vm("v2"), vm("v3"))
        now = listing(
            vm("v1", state=PlatformState.LEAVING),
            vm("v2", state=PlatformState.GONE),
            vm("v3"),
            vm("v4"),
            vm("v5", state=PlatformState.GONE),
        )
        signals = leaving_signals(changed_vms(before, now))
        self.assertEqual([signal.endpoint_id for signal in signals], ["v1", "v2"])
        self.assertEqual({s.kind for s in signals}, {EndpointSignalKind.LEAVING})

    def test_first_list_signals_leaving_vms(self):
        now = listing(vm("v1", state=PlatformState.LEAVING), vm("v2"))
        signals = leaving_signals(changed_vms(None, now))
        self.assertEqual([signal.endpoint_id for signal in signals], ["v1"])

    def test_entry_vms_are_nodes(self):
        nodes = entry_nodes(
            [
                vm("e1", kind=VmKind.ENTRY, address="10.0.0.1:700"),
                vm("e2", kind=VmKind.ENTRY),
                vm("v1"),
            ]
        )
        ports = [(node.node_id, node.host, node.peer_port) for node in nodes]
        self.assertEqual(ports, [("e1", "10.0.0.1", 700), ("e2", "10.0.0.1", 0)])


class TurnTests(unittest.TestCase):
    @settings(max_examples=50, deadline=None)
    @given(count=st.integers(1, 30), clock_s=st.floats(0, 1e9))
    def test_each_interval_has_one_reader(self, count, clock_s):
        ids = [f"n{number}" for number in range(count)]
        turns = sorted(
            seconds_until_turn(node_id, ids, interval_s=1.0, clock_s=clock_s)
            for node_id in ids
        )
        self.assertGreater(turns[0], 0)
        self.assertLessEqual(turns[-1], count)
        gaps = [after - turn for turn, after in zip(turns, turns[1:], strict=False)]
        self.assertTrue(all(abs(gap - 1.0) < 1e-3 for gap in gaps), gaps)


class PollerTests(unittest.TestCase):
    def setUp(self):
        self.stub = StubList()
        self.addCleanup(self.stub.stop)
        self.seen = []
        self.time_line = TimeLine(node_id="n1")
        client = VmListClient(address=self.stub.address)
        self.addCleanup(client.close)
        self.poller = VmListPoller(
            node_id="n1",
            client=client,
            interval_s=1.0,
            live_node_ids=lambda: ["n1"],
            on_list=lambda now, changes: self.seen.append(changes),
            time_line=self.time_line,
        )

    def set_list(self, state, *, revision):
        """Set a list with one endpoint VM in a state."""
        self.stub.status = 200
        listed = {"id": "v1", "zone": "a", "address": "10.0.0.1", "kind": "endpoint"}
        body = {"revision": revision, "vms": [{**listed, "state": state}]}
        self.stub.body = json.dumps(body).encode()

    def test_changes_are_reported_once_and_outages_report_none(self):
        self.set_list("live", revision=1)
        self.poller.poll()
        self.poller.poll()
        self.stub.status = 503
        self.poller.poll()
        self.poller.poll()
        self.set_list("leaving", revision=2)
        self.poller.poll()
        states = [[change.vm.state for change in changes] for changes in self.seen]
        self.assertEqual(states, [["live"], ["leaving"]])
        kinds = [event.kind for event in self.time_line.since(0)]
        expected = ["vm_list_reachable", "vm_live", "vm_list_unreachable"]
        self.assertEqual(kinds, [*expected, "vm_list_reachable", "vm_leaving"])

    def test_invalid_responses_report_no_list(self):
        for body in (b"", b"[]", b'{"revision": 1}', b'{"revision": 1, "vms": [3]}'):
            self.stub.body = body
            self.poller.poll()
        self.assertEqual(self.seen, [])
