"""Tests of requests that every replica turns away, as replicas do under overload."""

from __future__ import annotations

import time
import unittest

from tests.platform.deployment import Deployment, request
from tests.platform.scripted_replica import (
    ReceivedRequest,
    ScriptedReplica,
    plain_answer,
)

REPLICA_COUNT = 6
MAX_SENT = 3


def turn_away(received: ReceivedRequest) -> None:
    received.send(
        plain_answer(received, status="503 Full", extra_headers="X-Not-Executed: 1\r\n")
    )


class NodeRejectionTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment()
        cls.addClassCleanup(cls.deployment.stop)
        for kind in ("desk", "engine"):
            for number in range(3, REPLICA_COUNT + 1):
                name = f"{kind}-{number}"
                cls.deployment.replicas_by_id[name] = ScriptedReplica(name)
                cls.deployment.register(name)
        cls.deployment.node.start()

    def setUp(self):
        self.deployment.reset_scripts()
        time.sleep(0.3)

    def test_a_rejected_request_is_not_sent_to_every_replica(self):
        """Guards against requests that use up the retries of others: under overload the
        next replica is as full as the last one."""
        for path, host in (
            ("/lookup/1", "desk.example"),
            ("/book/1", "desk.example"),
            ("/digest/1", "ai.example"),
            ("/ask/1", "ai.example"),
        ):
            with self.subTest(path=path):
                self.setUp()
                self.deployment.script("", turn_away)
                answer = self.deployment.ask(request(path, host=host))
                self.assertEqual(answer.split(b" ")[1], b"503")
                self.assertIn(b"retry-after", answer.lower())
                sent = self.deployment.received()
                self.assertGreater(len(sent), 1)
                self.assertLessEqual(len(sent), MAX_SENT)
