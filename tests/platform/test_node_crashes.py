"""Tests of requests that crash each replica that begins to run them."""

from __future__ import annotations

import unittest

from tests.platform.deployment import Deployment, request
from tests.platform.scripted_replica import (
    ReceivedRequest,
    ScriptedReplica,
    plain_answer,
    stream,
    stream_head,
)

REPLICA_COUNT = 5
MAX_CRASHES = 2
POISON = b"poison"


class NodeCrashTests(unittest.TestCase):
    """The replicas come back under other ids, long after the node could try them."""

    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        for kind in ("desk", "engine"):
            for number in range(3, REPLICA_COUNT + 1):
                name = f"{kind}-{number}"
                self.deployment.replicas_by_id[name] = ScriptedReplica(name)
                self.deployment.register(name)
        self.crashed = []
        self.deployment.node.start()

    def crash(self, received: ReceivedRequest, head: bytes = b""):
        """Let a replica crash if the request is the harmful one."""
        if received.body != POISON:
            return False
        replica_id = received.headers["x-expect-replica"]
        self.crashed.append(replica_id)
        received.send(head)
        self.deployment.replicas_by_id[replica_id].stop()
        received.reset()
        return True

    def ask_again_and_again(self, path, host):
        for number in range(4):
            self.deployment.ask(
                request(
                    path,
                    method="POST",
                    host=host,
                    body=POISON,
                    request_id=f"aaaa{number}",
                )
            )

    def test_a_call_that_crashes_replicas_is_refused_after_the_second(self):
        """Guards against a request that comes again and crashes replica after replica,
        as each is back, or its entry gone, only seconds later."""

        def script(received):
            if not self.crash(received):
                received.send(plain_answer(received))

        for path in ("/lookup/1", "/book/1"):
            with self.subTest(path=path):
                self.crashed.clear()
                self.deployment.script("desk", script)
                self.ask_again_and_again(path, "desk.example")
                self.assertLessEqual(len(self.crashed), MAX_CRASHES)
        other = self.deployment.ask(request("/lookup/2"))
        self.assertEqual(other.split(b" ")[1], b"200")

    def test_a_stream_that_crashes_engines_before_its_first_event_is_refused(self):
        """Guards against crashes that count only before the head of the answer."""

        def script(received):
            if not self.crash(received, stream_head(received)):
                stream(1, 3)(received)

        self.deployment.script("engine", script)
        self.ask_again_and_again("/digest/1", "ai.example")
        self.assertEqual(len(self.crashed), MAX_CRASHES)
        other = self.deployment.ask(request("/digest/2", host="ai.example"))
        self.assertIn(b"data: piece 3", other)
