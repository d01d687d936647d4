"""Tests of authenticated resume tokens."""

from __future__ import annotations

import base64
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from crocuswick.resume_token import ResumePoint, ResumeTokens

POINT = ResumePoint(
    organisation="swanfold",
    pool="engines",
    endpoint_id="engine-1",
    incarnation="i1",
    engine_request_id="abc-0",
    index=4,
    delivered=9,
    model="survey",
)


class ResumeTokenTests(unittest.TestCase):
    def test_any_node_with_the_key_reads_the_token(self):
        token = ResumeTokens(keys=[b"shared"]).issue(POINT)
        self.assertEqual(ResumeTokens(keys=[b"shared"]).read(token).ok_value, POINT)

    def test_stream_issuer_issues_the_same_tokens(self):
        tokens = ResumeTokens(keys=[b"shared"])
        issuer = tokens.issuer_for(POINT)
        for index, delivered in ((0, 1), (4, 9), (127, 128), (70000, 1 << 33)):
            point = attrs.evolve(POINT, index=index, delivered=delivered)
            token = issuer.issue(index=index, delivered=delivered)
            self.assertEqual(token, tokens.issue(point))
        tokens.replace([b"next", b"shared"])
        self.assertEqual(issuer.issue(index=4, delivered=9), tokens.issue(POINT))

    def test_another_key_does_not_verify(self):
        token = ResumeTokens(keys=[b"shared"]).issue(POINT)
        self.assertTrue(ResumeTokens(keys=[b"other"]).read(token).is_err())

    def test_a_replaced_key_is_still_read_while_it_is_listed(self):
        token = ResumeTokens(keys=[b"old"]).issue(POINT)
        tokens = ResumeTokens(keys=[b"old"])
        tokens.replace([b"new", b"old"])
        self.assertEqual(tokens.read(token).ok_value, POINT)
        tokens.replace([b"new"])
        self.assertTrue(tokens.read(token).is_err())

    def test_a_changed_bit_in_any_byte_is_detected(self):
        tokens = ResumeTokens(keys=[b"shared"])
        raw = base64.urlsafe_b64decode(tokens.issue(POINT))
        for position in range(len(raw)):
            changed = bytearray(raw)
            changed[position] ^= 1
            token = base64.urlsafe_b64encode(bytes(changed)).decode()
            self.assertTrue(tokens.read(token).is_err(), position)

    @given(st.text(max_size=80))
    def test_any_text_is_refused_without_an_exception(self, text):
        self.assertTrue(ResumeTokens(keys=[b"shared"]).read(text).is_err())
