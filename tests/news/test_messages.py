"""Tests of messages between nodes."""

from __future__ import annotations

import unittest

import msgpack

from crocuswick.news.messages import (
    PromptPlaced,
    TopicRecords,
    decode_message,
    encode_message,
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
    def test_messages_are_read_back(self):
        records = TopicRecords(
            topic="t", start=1, end=3, records=[["k", 1, b"\xff"], ["l", 2, None]]
        )
        for news in (PLACED, records):
            packed = msgpack.packb(encode_message(news))
            self.assertEqual(
                decode_message(msgpack.unpackb(packed), "p").ok_value, news
            )

    def test_what_is_no_message_is_an_error_with_its_sender(self):
        for value in (None, 5, [], ["placed", {}], ["other", {}], ["placed", 1]):
            with self.subTest(value=value):
                self.assertEqual(decode_message(value, "peer").err_value.peer, "peer")
