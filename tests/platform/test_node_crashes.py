"""Tests of requests that crash each replica that begins to run them."""

from __future__ import annotations

import unittest

from tests.platform.deployment import Deployment, request
from tests.platform.scripted_replica import (
    ReceivedRequest,
    ScriptedReplica,
    event,
    plain_answer,
    stream,
    stream_head,
)

REPLICA_COUNT = 5
MAX_CRASHES = 2
POISON = b"poison"

ENGINE_COUNT = 12
MAX_SEGMENT_CRASHES = 5
"""Crashes by different requests with one prompt segment in common."""

SHARED, CRASHING = "5a", "c4"
"""Prompt segments: one that all requests share, and one that crashes engines."""


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


class NodeSegmentCrashTests(unittest.TestCase):
    """Engines crash under requests that have one prompt segment in common."""

    def setUp(self):
        self.deployment = Deployment()
        self.addCleanup(self.deployment.stop)
        for number in range(3, ENGINE_COUNT + 1):
            name = f"engine-{number}"
            self.deployment.replicas_by_id[name] = ScriptedReplica(name)
            self.deployment.register(name)
        self.deployment.script("engine", self.answer_or_crash)
        self.crashed = []
        self.events_before_crash = 0
        self.deployment.node.start()

    def answer_or_crash(self, received: ReceivedRequest):
        """Stream an answer, or crash if the prompt has the crashing segment."""
        if f"{CRASHING}:" not in received.headers["x-prompt-prefix"]:
            stream(1, 3)(received)
            return
        replica_id = received.headers["x-expect-replica"]
        self.crashed.append(replica_id)
        received.send(stream_head(received))
        for number in range(1, self.events_before_crash + 1):
            received.send(event(number))
        self.deployment.replicas_by_id[replica_id].stop()
        received.reset()

    def ask(self, number, *segments):
        """Send a request with these segments, a body and a last segment of its own."""
        prefix = [f"{segment}:100" for segment in (*segments, f"0e{number}")]
        return self.deployment.ask(
            request(
                f"/ask/{number}",
                method="POST",
                host="ai.example",
                body=b"question %d" % number,
                request_id=f"{number:016x}",
                headers={"X-Prompt-Prefix": ",".join(prefix)},
            )
        )

    def ask_again_and_again(self):
        """Send different requests with the crashing segment, and sound ones between."""
        sound = []
        for number in range(10):
            self.ask(2 * number, SHARED, CRASHING)
            sound.append(self.ask(2 * number + 1, SHARED, f"b{number}"))
        return sound

    def test_different_requests_with_a_crashing_segment_are_refused(self):
        """Guards against requests with one prompt segment in common that crash replica
        after replica, since no two of them are alike."""
        self.ask_again_and_again()
        self.assertLessEqual(len(self.crashed), MAX_SEGMENT_CRASHES)
        refused = self.ask(100, CRASHING)
        self.assertEqual(refused.split(b" ")[1], b"422")

    def test_a_segment_that_crashes_engines_after_some_events_is_refused(self):
        """Guards against crashes that count only before the first event of a stream."""
        self.events_before_crash = 2
        self.ask_again_and_again()
        self.assertLessEqual(len(self.crashed), MAX_SEGMENT_CRASHES)

    def test_sound_requests_that_share_the_other_segments_are_served(self):
        """Guards against the refusal of requests whose only fault is that they share
        their caller and their first segment with those that crash replicas."""
        for answer in self.ask_again_and_again():
            self.assertIn(b"data: piece 3", answer)
        self.assertIn(b"data: piece 3", self.ask(101, SHARED))
