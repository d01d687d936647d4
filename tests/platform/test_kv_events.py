"""Tests of reading the cache contents of engines when a node starts."""

from __future__ import annotations

import unittest

from crocuswick.platform.kv_events import KvEventsClient
from tests.platform.deployment import Deployment, request
from tests.platform.scripted_replica import ScriptedReplica


class KvEventsClientTests(unittest.TestCase):
    def test_events_are_read_in_order(self):
        engine = ScriptedReplica("e")
        self.addCleanup(engine.stop)
        engine.kv_events = [
            [1, "+", "s", "aa", 700, "m"],
            [2, "-", "s", "aa", 0, "m"],
        ]
        events = KvEventsClient().read_newest("e", engine.address).ok_value
        self.assertEqual([event.is_held for event in events], [True, False])
        self.assertEqual((events[0].segment_id, events[0].tokens), ("aa", 700))

    def test_an_invalid_event_is_an_error_that_names_the_engine(self):
        engine = ScriptedReplica("e")
        self.addCleanup(engine.stop)
        for events in ([["no"]], [[1, "+", "s", "aa", "many", "m"]], None):
            engine.kv_events = events
            error = KvEventsClient().read_newest("e", engine.address).err_value
            self.assertEqual((error.step, error.peer), ("decode cache events", "e"))

    def test_an_unreachable_engine_is_an_error(self):
        engine = ScriptedReplica("e")
        engine.stop()
        error = KvEventsClient().read_newest("e", engine.address).err_value
        self.assertEqual(error.step, "cache events")


class WarmUpTests(unittest.TestCase):
    def test_a_started_node_uses_the_segments_that_engines_hold(self):
        """After a power loss of all nodes, engines still hold what they computed."""
        deployment = Deployment()
        self.addCleanup(deployment.stop)
        # An earlier request gives the cache salt under which segments are looked up.
        deployment.node.start()
        deployment.ask(request("/ask/1", host="ai.example"))
        salt = deployment.received("engine")[0].headers["x-cache-salt"]
        deployment.node.process.kill()
        deployment.node.process.wait(10)
        deployment.reset_scripts()
        engine = deployment.replicas_by_id["engine-2"]
        engine.kv_events = [[1, "+", salt, "aa", 700, "m"]]
        deployment.node.start()
        warm_up_log = '"cache": "engine-2", "events": 1'
        deployment.wait_until(lambda: warm_up_log in deployment.node.output.read_text())
        for number in range(6):
            deployment.ask(request(f"/ask/{number}", host="ai.example"))
        self.assertGreater(len(engine.requests), 0)
        # After its first request has fetched the segment, the other engine holds it.
        for received in deployment.replicas_by_id["engine-1"].requests[:1]:
            self.assertEqual(received.headers.get("x-kv-fetch-from"), engine.address)
