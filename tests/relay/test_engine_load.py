"""Tests of the outstanding work of an engine."""

from __future__ import annotations

import unittest

from crocuswick.relay.engine_load import (
    DEFAULT_PREFILL_TOKENS_PER_MS,
    MAX_REQUEST_AGE_S,
    EngineLoad,
)


def sent(load, request_id, tokens, priority=1, now_s=0.0):
    load.record_sent(
        request_id,
        prefill_tokens=tokens,
        kv_tokens=tokens,
        priority=priority,
        now_s=now_s,
    )


class EngineLoadTests(unittest.TestCase):
    def test_long_prompts_do_not_delay_those_of_higher_priority(self):
        """Short prompts of higher priority go ahead of queued large ones."""
        load = EngineLoad()
        for number in range(4):
            sent(load, f"long{number}", 10_000, priority=1)
        self.assertEqual(load.wait_ms(1), 40_000 / DEFAULT_PREFILL_TOKENS_PER_MS)
        # The prompt that is being computed still goes first.
        self.assertEqual(load.wait_ms(0), 10_000 / DEFAULT_PREFILL_TOKENS_PER_MS)

    def test_an_engine_without_long_prompts_begins_at_once(self):
        load = EngineLoad()
        sent(load, "long", 10_000, priority=1)
        load.record_first_event("long", 0.2)
        self.assertEqual(load.wait_ms(0), 0.0)

    def test_a_prompt_that_was_computed_is_no_longer_waited_for(self):
        load = EngineLoad()
        sent(load, "a", 10_000)
        load.record_first_event("a", 0.3)
        load.record_first_event("a", 0.4)
        self.assertEqual((load.prefill_tokens, load.requests), (0, 1))
        load.record_ended("a")
        self.assertEqual((load.kv_tokens, load.requests), (0, 0))

    def test_an_end_without_a_first_event_removes_the_work(self):
        load = EngineLoad()
        sent(load, "a", 10_000)
        load.record_ended("a")
        load.record_ended("a")
        self.assertEqual((load.prefill_tokens, load.kv_tokens), (0, 0))

    def test_the_rate_of_a_slow_engine_is_measured(self):
        """The measured rate replaces the default."""
        load = EngineLoad()
        for number in range(60):
            sent(load, f"r{number}", 10_000, now_s=number)
            load.record_first_event(f"r{number}", number + 1.0)
            load.record_ended(f"r{number}")
        self.assertAlmostEqual(load.prefill_tokens_per_ms, 10.0, delta=1.0)

    def test_requests_without_an_end_message_expire(self):
        load = EngineLoad()
        sent(load, "lost", 10_000, now_s=0.0)
        sent(load, "new", 1_000, now_s=MAX_REQUEST_AGE_S + 1)
        self.assertEqual(load.prefill_tokens, 1_000)
