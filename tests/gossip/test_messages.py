"""Tests of gossip messages."""

from __future__ import annotations

import unittest

import msgpack

from crocuswick.gossip.messages import (
    PromptPlaced,
    TopicRecords,
    decode_gossip,
    encode_gossip,
)

PLACED = PromptPlaced(
    request_id="r",
    incarnation="i@1",
    prefill_tokens=3,
    kv_tokens=4,
    priority=1,
    salt="s",
    tokens_by_part={"p": 2},
    is_saved=True,
)


class MessageTests(unittest.TestCase):
    def test_encoded_messages_are_decoded(self):
        records = TopicRecords(
            topic="t", start=1, end=3, records=[["k", 1, b"\xff"], ["l", 2, None]]
        )
        for original in (PLACED, records):
            packed = msgpack.packb(encode_gossip(original))
            self.assertEqual(
                decode_gossip(msgpack.unpackb(packed), "p").ok_value, original
            )

    def test_malformed_messages_give_an_error_with_their_sender(self):
        for value in (None, 5, [], ["placed", {}], ["other", {}], ["placed", 1]):
            with self.subTest(value=value):
                self.assertEqual(decode_gossip(value, "peer").err_value.peer, "peer")
