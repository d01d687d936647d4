"""Tests of the formats in which completions are rendered."""

from __future__ import annotations

import json
import unittest

from crocuswick.callers._completion_format import CompletionFormat
from crocuswick.callers.completion import Delivery
from crocuswick.callers.completion_request import Dialect


def delivery(text: str, finish_reason: str | None = None) -> Delivery:
    return Delivery(
        text=text,
        finish_reason=finish_reason,
        resume_token="token",
        endpoint_id="e",
        prompt_tokens=3,
        cached_tokens=1,
        completion_tokens=2,
    )


def decode_event(event: bytes) -> dict:
    head, data, end = event.decode().split("\n", 2)
    assert (head, end) == ("id: token", "\n"), event
    return json.loads(data.removeprefix("data: "))


class CompletionFormatTests(unittest.TestCase):
    def events(self, dialect: str, *deliveries: Delivery) -> list[dict]:
        completion_format = CompletionFormat(
            request_id="r", dialect=dialect, model='a "" model', created_s=7
        )
        return [decode_event(completion_format.event(each)) for each in deliveries]

    def test_every_text_survives_encoding(self):
        texts = ["a", '""', 'say "hi"\n', "é \U0001f404", "\ud83d", "", "\\"]
        for dialect in (Dialect.TEXT, Dialect.CHAT):
            events = self.events(dialect, *map(delivery, texts))
            choices = [event["choices"][0] for event in events]
            if dialect == Dialect.CHAT:
                got = [choice["delta"]["content"] for choice in choices]
            else:
                got = [choice["text"] for choice in choices]
            self.assertEqual(got, texts)

    def test_first_and_last_event_differ_from_the_others(self):
        first, middle, last = self.events(
            Dialect.CHAT, delivery("a"), delivery("b"), delivery("c", "stop")
        )
        self.assertEqual(first["choices"][0]["delta"]["role"], "assistant")
        self.assertEqual(
            middle,
            {
                "id": "chatcmpl-r",
                "created": 7,
                "model": 'a "" model',
                "object": "chat.completion.chunk",
                "choices": [
                    {"index": 0, "finish_reason": None, "delta": {"content": "b"}}
                ],
            },
        )
        self.assertEqual(last["choices"][0]["finish_reason"], "stop")
        self.assertEqual(last["usage"]["total_tokens"], 5)
