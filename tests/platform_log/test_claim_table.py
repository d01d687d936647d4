"""Tests for the claim table."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from crocuswick.platform_log import ClaimTable, ClaimVerdictKind, LogRecord
from crocuswick.platform_log.claim_records import (
    ClaimAbandoned,
    ClaimCompleted,
    ClaimMade,
    claim_scope,
    encode_claim_record,
)

WINDOW_MS = 1_000
SCOPES = [claim_scope(organisation="o", service="s", key=key) for key in "ab"]


def claim(scope, name, fingerprint="f"):
    return ClaimMade(claim_id=scope + name, fingerprint=fingerprint)


def done(scope, name):
    return ClaimCompleted(claim_id=scope + name, status=201, headers={}, body_base64="")


def records_of(steps, *, first_offset=0):
    return [
        LogRecord(offset=offset, time_ms=time_ms, value=encode_claim_record(record))
        for offset, (time_ms, record) in enumerate(steps, start=first_offset)
    ]


def apply_records(records, table=None):
    table = ClaimTable(window_ms=WINDOW_MS) if table is None else table
    return [table.apply(record) for record in records]


@st.composite
def claim_histories(draw):
    """Draw claims, duplicates as after lost responses, completions and abandonments.

    A claim may also follow its own abandonment.
    """
    time_ms = 0
    steps = []
    for _ in range(draw(st.integers(1, 40))):
        time_ms += draw(st.integers(0, 300))
        scope = draw(st.sampled_from(SCOPES))
        name = str(draw(st.integers(0, 5)))
        kinds = (
            claim(scope, name),
            ClaimAbandoned(claim_id=scope + name),
            done(scope, name),
        )
        steps.append((time_ms, draw(st.sampled_from(kinds))))
    return records_of(steps)


class ClaimTableTests(unittest.TestCase):
    def test_first_claim_in_log_order_runs(self):
        scope = SCOPES[0]
        steps = [
            (0, claim(scope, "1")),
            (1, claim(scope, "2")),
            (2, claim(scope, "3", "other")),
            (3, done(scope, "1")),
            (4, claim(scope, "4")),
        ]
        kinds = ClaimVerdictKind
        self.assertEqual(
            apply_records(records_of(steps)),
            [
                kinds.FIRST,
                kinds.IN_PROGRESS_OR_UNKNOWN,
                kinds.MISMATCH,
                None,
                kinds.REPLAY,
            ],
        )

    def test_abandoned_claim_frees_the_key_even_if_it_arrives_later(self):
        scope = SCOPES[0]
        steps = [
            (0, ClaimAbandoned(claim_id=scope + "1")),
            (1, claim(scope, "1")),
            (2, claim(scope, "2")),
            (3, ClaimAbandoned(claim_id=scope + "2")),
            (4, claim(scope, "3")),
        ]
        self.assertEqual(
            apply_records(records_of(steps)),
            [None, None, ClaimVerdictKind.FIRST, None, ClaimVerdictKind.FIRST],
        )

    def test_key_is_free_again_after_the_window(self):
        scope = SCOPES[0]
        steps = [(0, claim(scope, "1")), (999, claim(scope, "2"))]
        steps.append((1000, claim(scope, "3")))
        self.assertEqual(
            apply_records(records_of(steps)),
            [
                ClaimVerdictKind.FIRST,
                ClaimVerdictKind.IN_PROGRESS_OR_UNKNOWN,
                ClaimVerdictKind.FIRST,
            ],
        )

    def test_claim_is_unproven_until_a_whole_window_is_read(self):
        table = ClaimTable(window_ms=WINDOW_MS)
        table.restart_at(7)
        steps = [(0, claim(SCOPES[0], "1")), (1000, claim(SCOPES[1], "1"))]
        self.assertEqual(
            apply_records(records_of(steps, first_offset=7), table),
            [ClaimVerdictKind.UNPROVEN, ClaimVerdictKind.FIRST],
        )

    def test_abandonment_expires_after_a_window_even_if_another_is_repeated(self):
        first, second = (SCOPES[0] + name for name in "12")
        steps = [
            (0, ClaimAbandoned(claim_id=first)),
            (0, ClaimAbandoned(claim_id=second)),
            (1, ClaimAbandoned(claim_id=first)),
            (WINDOW_MS, claim(SCOPES[0], "2")),
        ]
        self.assertIs(apply_records(records_of(steps))[-1], ClaimVerdictKind.FIRST)

    @given(claim_histories())
    def test_one_claim_at_a_time_holds_a_scope(self, records):
        table = ClaimTable(window_ms=WINDOW_MS)
        holders = {}
        for record in records:
            kind = table.apply(record)
            value = record.value
            scope, claim_id = value["claim_id"][:32], value["claim_id"]
            if kind is ClaimVerdictKind.FIRST:
                held_since = holders.get(scope)
                self.assertTrue(
                    held_since is None or record.time_ms - held_since[1] >= WINDOW_MS
                )
                holders[scope] = (claim_id, record.time_ms)
            is_abandoned = value["type"] == "abandoned"
            if is_abandoned and holders.get(scope, ("",))[0] == claim_id:
                entry = table.entry(scope)
                if entry is None or entry.claim_id != claim_id:
                    del holders[scope]

    @given(claim_histories(), st.data())
    def test_a_later_node_runs_only_claims_that_others_run(self, records, data):
        start = data.draw(st.integers(0, len(records) - 1))
        late = ClaimTable(window_ms=WINDOW_MS)
        late.restart_at(records[start].offset)
        whole = apply_records(records)
        partial = apply_records(records[start:], late)
        for expected, got in zip(whole[start:], partial, strict=True):
            if got is ClaimVerdictKind.FIRST:
                self.assertIs(expected, ClaimVerdictKind.FIRST)

    @given(claim_histories(), st.data())
    def test_pages_read_twice_change_nothing(self, records, data):
        again = data.draw(st.integers(0, len(records)))
        table = ClaimTable(window_ms=WINDOW_MS)
        once = apply_records(records, table)
        self.assertEqual(
            apply_records(records[again:], table), [None] * (len(records) - again)
        )
        self.assertEqual(once, apply_records(records))
