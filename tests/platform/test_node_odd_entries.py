"""Tests of a node that reads entries of other writers among those of the replicas."""

from __future__ import annotations

import json
import time
import unittest

from tests.platform.deployment import OPERATIONS, REPLICAS, Deployment, request
from tests.platform.scripted_replica import event, plain_answer, stream_head
from tests.platform.wire import REPLICA

DEPTH = 100_000
HUGE = 10**40
DESK = {**REPLICA, "Service": "desk", "Address": "127.0.0.1:9", "Models": []}
ODD_ENTRIES = (
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    json.dumps(DESK).encode()[:-1]
    + b', "Models": '
    + b"[" * DEPTH
    + b"]" * DEPTH
    + b"}",
    json.dumps(DESK).encode()[:-1] + b', "Sequence": ' + b"9" * 5_000 + b"}",
    json.dumps(DESK).encode()[:-1] + b', "Sequence": 1e999}',
    json.dumps(DESK).encode()[:-1] + b', "Slots": NaN}',
    b"\xff\xfe\x00",
    b"null",
    *(
        json.dumps({**DESK, **changes}).encode()
        for changes in (
            {"Sequence": HUGE},
            {"Sequence": -HUGE},
            {"Slots": HUGE},
            {"Slots": -1},
            {"born": HUGE},
            {"born": -HUGE},
            {"ColdLeftMs": HUGE},
            {"Address": "127.0.0.1:65536"},
            {"Address": "127.0.0.1:0"},
            {"Address": f"127.0.0.1:{HUGE}"},
            {"Address": "127.0.0.1:٣"},
            {"Address": "127.0.0.1\r\nX: y:80"},
            {"Address": "no host:80"},
            {"Address": "\ud800:80"},
            {"Models": [{"Name": "m", "Version": HUGE}]},
            {"Models": {"Name": "m"}},
            {"Models": 7},
            {"State": ["ready"]},
            {"Zone": "z" * 100_000},
        )
    ),
)
LOOKUPS = 30


def odd_reports(received) -> None:
    """Answer calls other than requests with odd content."""
    if received.target.startswith("/report"):
        received.send(plain_answer(received, ODD_ENTRIES[0]))
    elif received.target.startswith("/order"):
        received.send(plain_answer(received, status="202 Accepted"))
    else:
        received.send(stream_head(received) + event(1) + b"0\r\n\r\n")


class NodeOddEntriesTests(unittest.TestCase):
    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        store = self.deployment.store
        for number, value in enumerate(ODD_ENTRIES):
            store.put(REPLICAS, f"odd-{number}", value)
            store.put(OPERATIONS, f"version/odd-{number}", value)
        self.deployment.node.start()

    def ask(self, path):
        return self.deployment.ask(request(path))[9:12]

    def assert_sound(self):
        node = self.deployment.node
        self.assertIsNone(node.process.poll())
        self.assertNotIn("Traceback", node.log(), node.log()[-3_000:])

    def test_odd_entries_name_no_replica_and_hide_none(self):
        """Guards against a node that ends, fails requests, or stops following the list
        after an entry that is very deep, has a number too large or a port out of range."""
        statuses = {self.ask(f"/lookup/{number}") for number in range(LOOKUPS)}
        self.assertEqual(statuses, {b"200"})
        self.deployment.store.put(REPLICAS, "desk-1", None)
        time.sleep(0.8)
        self.deployment.reset_scripts()
        statuses = {self.ask(f"/lookup/{number}") for number in range(LOOKUPS)}
        self.assertEqual(statuses, {b"200"})
        received = self.deployment.received("desk")
        used = {each.headers["x-expect-replica"] for each in received}
        self.assertEqual(used, {"desk-2"})
        self.assert_sound()

    def test_odd_entries_that_come_later_change_nothing(self):
        """Guards against the same entries when the node follows the list."""
        for number, value in enumerate(ODD_ENTRIES):
            self.deployment.store.put(REPLICAS, f"late-{number}", value)
        time.sleep(0.8)
        statuses = {self.ask(f"/lookup/{number}") for number in range(LOOKUPS)}
        self.assertEqual(statuses, {b"200"})
        self.assert_sound()

    def test_odd_reports_of_a_replica_do_not_stop_rollouts(self):
        """Guards against a thread that ends by an error in what a replica reports."""
        self.deployment.script("engine", odd_reports)
        target = {"Model": "m", "Version": 4}
        self.deployment.store.put(OPERATIONS, "version/m", target)
        self.deployment.wait_until(
            lambda: any(
                each.target.startswith("/report")
                for each in self.deployment.received("engine")
            )
        )
        time.sleep(0.5)
        self.assert_sound()


if __name__ == "__main__":
    unittest.main()
