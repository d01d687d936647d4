"""Tests of the order and request ids of stream events."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from crocuswick.stream_guard import EventVerdict, StreamGuard, TokenEvent


def event(index: int, request_id: str = "r") -> TokenEvent:
    return TokenEvent(request_id=request_id, index=index, text=f"t{index}")


class StreamGuardTests(unittest.TestCase):
    def test_repeated_foreign_and_missing_events_are_not_delivered(self):
        guard = StreamGuard(request_id="r")
        self.assertIs(guard.check(event(0)), EventVerdict.DELIVER)
        self.assertIs(guard.check(event(0)), EventVerdict.REPEATED)
        self.assertIs(guard.check(event(1, "other")), EventVerdict.FOREIGN)
        self.assertIs(guard.check(event(2)), EventVerdict.GAP)
        self.assertEqual(guard.next_index, 1)

    @given(
        st.lists(st.tuples(st.integers(0, 9), st.sampled_from(["r", "x"])), max_size=60)
    )
    def test_delivered_events_are_always_a_gapless_prefix(self, arrivals):
        guard = StreamGuard(request_id="r")
        delivered = [
            index
            for index, request_id in arrivals
            if guard.check(event(index, request_id)) is EventVerdict.DELIVER
        ]
        self.assertEqual(delivered, list(range(len(delivered))))
