"""Tests that the OpenAI client works with only its base URL changed."""

from __future__ import annotations

import unittest

import openai

from tests.fakes.engine_text import expected_answer
from tests.fleet import MODEL, Fleet, FleetPlan, caller_key

TOKENS = 6


class OpenAIClientTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(plan=FleetPlan(nodes=1, engines=1)).__enter__()
        cls.addClassCleanup(cls.fleet.launcher.close)
        applied = cls.fleet.apply()
        assert applied.returncode == 0, applied.stderr
        cls.fleet.wait_ready()

    def client(self, key: str = "") -> openai.OpenAI:
        return openai.OpenAI(
            base_url=f"{self.fleet.nodes[0].url}/v1",
            api_key=key or caller_key("swanfold"),
            max_retries=0,
        )

    def test_completion(self):
        completion = self.client().completions.create(
            model=MODEL, prompt="Hello", max_tokens=TOKENS, temperature=0
        )
        self.assertEqual(completion.choices[0].text, expected_answer("Hello", TOKENS))
        self.assertEqual(completion.usage.completion_tokens, TOKENS)

    def test_streamed_completion(self):
        chunks = self.client().completions.create(
            model=MODEL, prompt="Hello", max_tokens=TOKENS, stream=True
        )
        text = "".join(chunk.choices[0].text for chunk in chunks)
        self.assertEqual(text, expected_answer("Hello", TOKENS))

    def test_chat(self):
        messages = [{"role": "user", "content": "Hello"}]
        client = self.client().chat.completions
        whole = client.create(model=MODEL, messages=messages, max_tokens=TOKENS)
        streamed = client.create(
            model=MODEL, messages=messages, max_tokens=TOKENS, stream=True
        )
        text = "".join(chunk.choices[0].delta.content for chunk in streamed)
        self.assertEqual(text, whole.choices[0].message.content)

    def test_models(self):
        self.assertEqual([model.id for model in self.client().models.list()], [MODEL])

    def test_errors_map_to_the_exceptions_of_the_client(self):
        with self.assertRaises(openai.AuthenticationError):
            self.client("wrong").models.list()
        with self.assertRaises(openai.NotFoundError):
            self.client().completions.create(model="other", prompt="x")
        with self.assertRaises(openai.BadRequestError) as caught:
            self.client().completions.create(model=MODEL, prompt="x", max_tokens=0)
        self.assertEqual(caught.exception.param, "max_tokens")
