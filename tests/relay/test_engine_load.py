"""Tests of the expected work of an engine."""

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
    def test_long_prompts_do_not_hold_up_more_urgent_ones(self):
        """Large prompts in the queue: short, urgent ones go ahead of them."""
        load = EngineLoad()
        for number in range(4):
            sent(load, f"long{number}", 10_000, priority=1)
        self.assertEqual(load.wait_ms(1), 40_000 / DEFAULT_PREFILL_TOKENS_PER_MS)
        # The one that is being computed still goes first.
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

    def test_an_end_without_a_beginning_gives_the_work_back(self):
        load = EngineLoad()
        sent(load, "a", 10_000)
        load.record_ended("a")
        load.record_ended("a")
        self.assertEqual((load.prefill_tokens, load.kv_tokens), (0, 0))

    def test_a_slow_engine_is_found_out(self):
        """A slow replica: its measured rate takes the place of the first guess."""
        load = EngineLoad()
        for number in range(60):
            sent(load, f"r{number}", 10_000, now_s=number)
            load.record_first_event(f"r{number}", number + 1.0)
            load.record_ended(f"r{number}")
        self.assertAlmostEqual(load.prefill_tokens_per_ms, 10.0, delta=1.0)

    def test_requests_whose_end_was_never_told_are_dropped(self):
        load = EngineLoad()
        sent(load, "lost", 10_000, now_s=0.0)
        sent(load, "new", 1_000, now_s=MAX_REQUEST_AGE_S + 1)
        self.assertEqual(load.prefill_tokens, 1_000)
