"""Tests of the compression of topic records."""

from __future__ import annotations

import json
import random
import unittest
import zlib

import attrs

from crocuswick.gossip.messages import CompressedRecords, TopicRecords
from crocuswick.gossip.record_compression import (
    MAX_DECOMPRESSED_BYTES,
    compress_records,
    decompress_records,
)

ROUTES = 1_800
LINK_BYTES_PER_S = 5_000_000 / 8
MAX_GAP_S = 0.4
"""Longest allowed gap between the events of a stream."""

COPIES = 4
"""Copies that a node of a zone with up to 16 nodes sends."""


def configuration() -> TopicRecords:
    chosen = random.Random(7)
    routes = [
        {
            "Name": f"r-{chosen.getrandbits(32):x}",
            "Host": f"host{chosen.randrange(9)}.example",
            "PathPrefix": f"/p{chosen.getrandbits(24):x}/",
            "Kind": "idempotent",
            "Service": f"service-{chosen.randrange(3)}",
            "TimeoutMs": 2_000,
            "TargetLatencyMs": 400,
            "MaxAttempts": 2,
            "Priority": 2,
            "Public": False,
        }
        for _ in range(ROUTES)
    ]
    content = json.dumps({"Version": 4, "Routes": routes}).encode()
    return TopicRecords(
        topic="t", start=3, end=8, records=[["config", 7, content], ["x", 5, None]]
    )


class RecordCompressionTests(unittest.TestCase):
    def test_a_configuration_of_many_routes_does_not_fill_a_small_link(self):
        """Guards against a configuration whose copies take a small VM's link longer
        than a stream may pause."""
        compressed = compress_records(configuration())
        self.assertLess(COPIES * len(compressed.data) / LINK_BYTES_PER_S, MAX_GAP_S)
        self.assertEqual(decompress_records(compressed, "p").ok_value, configuration())

    def test_small_records_are_sent_as_they_are(self):
        small = attrs.evolve(configuration(), records=[["k", 1, b"v"], ["l", 2, None]])
        self.assertIs(compress_records(small), small)

    def test_malformed_records_give_an_error_with_their_sender(self):
        compressed = compress_records(configuration())
        bomb = zlib.compress(b"0" * (MAX_DECOMPRESSED_BYTES + 1))
        for data in (b"", b"x", compressed.data[:-9], bomb, zlib.compress(b"\xc1")):
            malformed = CompressedRecords(topic="t", start=0, end=1, data=data)
            with self.subTest(data=data[:8]):
                error = decompress_records(malformed, "peer").err_value
                self.assertEqual(error.peer, "peer")
