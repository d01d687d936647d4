"""Tests of the time line of one node."""

from __future__ import annotations

import json
import threading
import unittest

from crocuswick.time_line import TimeLine, decode_event, encode_event


class TimeLineTests(unittest.TestCase):
    def test_event_interval_is_clock_plus_minus_error(self):
        line = TimeLine(node_id="n1", clock_error_ms=2, clock_ns=lambda: 10_000_000)
        line.record(kind="started")
        event = line.since(0)[0]
        self.assertEqual((event.earliest_us, event.latest_us), (8_000, 12_000))

    def test_only_the_latest_events_are_kept(self):
        line = TimeLine(node_id="n1", capacity=3)
        for _ in range(5):
            line.record(kind="tick")
        self.assertEqual([event.id.sequence for event in line.since(0)], [2, 3, 4])
        self.assertEqual([event.id.sequence for event in line.since(4)], [4])

    def test_concurrent_records_are_not_lost(self):
        line = TimeLine(node_id="n1")
        threads = [
            threading.Thread(
                target=lambda: [line.record(kind="tick") for _ in range(200)]
            )
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        sequences = [event.id.sequence for event in line.since(0)]
        self.assertEqual(sequences, list(range(800)))

    def test_encoded_event_round_trips_through_json(self):
        line = TimeLine(node_id="n1")
        cause = line.record(kind="order_sent", subject="engine-1")
        line.record(kind="order_taken", subject="engine-1", cause=cause, detail="ok")
        for event in line.since(0):
            encoded = json.loads(json.dumps(encode_event(event)))
            self.assertEqual(decode_event(encoded), event)
