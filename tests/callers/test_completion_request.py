"""Tests of the validation of completion bodies."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from crocuswick.callers.completion_request import Dialect, parse_completion
from crocuswick.configuration import Configuration, ModelVersion, RoutingPolicy

CONFIGURATION = Configuration(
    revision=1,
    model_versions_by_id={
        "mv": ModelVersion(
            id="mv", model="m", weights_version="v1", max_context_tokens=1000
        )
    },
    routing_policies_by_id={
        "rp": RoutingPolicy(id="rp", model="survey", model_version="mv", pool="engines")
    },
)
GOOD = {"model": "survey", "prompt": "Hello", "max_tokens": 5}


def parse(body: Any, dialect: str = Dialect.TEXT, priority: str = "interactive"):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return parse_completion(
        body=raw,
        dialect=dialect,
        request_id="r",
        organisation="swanfold",
        priority_name=priority,
        configuration=CONFIGURATION,
    )


class CompletionRequestTests(unittest.TestCase):
    def test_good_body_is_resolved(self):
        request = parse(GOOD).ok_value
        self.assertEqual((request.engine_model, request.pool), ("m", "engines"))

    def test_each_bad_field_is_named(self):
        cases = {
            "body": b"{",
            "model": {**GOOD, "model": "other"},
            "prompt": {**GOOD, "prompt": ["a"]},
            "max_tokens": {**GOOD, "max_tokens": 0},
            "n": {**GOOD, "n": 2},
        }
        for field, body in cases.items():
            with self.subTest(field):
                refusal = parse(body).err_value
                self.assertEqual(refusal.field, field)
                self.assertIn(refusal.status, (400, 404))
                self.assertEqual(refusal.outcome, "not_run")

    def test_prompt_beyond_the_context_is_refused(self):
        refusal = parse({**GOOD, "prompt": "x" * 4000}).err_value
        self.assertEqual(refusal.field, "prompt")

    def test_unknown_priority_is_refused(self):
        self.assertEqual(parse(GOOD, priority="soon").err_value.field, "X-Priority")

    def test_prompt_of_a_longer_chat_starts_with_the_shorter_one(self):
        first = [{"role": "system", "content": "Be brief."}]
        longer = [*first, {"role": "user", "content": [{"text": "Hi"}]}]
        prompts = [
            parse(
                {"model": "survey", "messages": messages}, Dialect.CHAT
            ).ok_value.prompt.removesuffix("<|assistant|>\n")
            for messages in (first, longer)
        ]
        self.assertTrue(prompts[1].startswith(prompts[0]))

    def test_bad_message_is_named_by_its_index(self):
        messages = [{"role": "user", "content": "a"}, {"role": "king", "content": "b"}]
        refusal = parse({"model": "survey", "messages": messages}, Dialect.CHAT)
        self.assertEqual(refusal.err_value.field, "messages[1].role")

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["model", "prompt", "messages", "n", "role"]),
                    inner,
                    max_size=4,
                )
            ),
            max_leaves=8,
        )
    )
    def test_any_json_is_parsed_or_refused_without_an_exception(self, body):
        for dialect in (Dialect.TEXT, Dialect.CHAT):
            parse(body, dialect)
