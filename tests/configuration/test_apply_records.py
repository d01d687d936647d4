"""Tests for applying the records of the configuration stream."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from crocuswick.configuration import ObjectName, VerdictKind
from crocuswick.configuration.apply_records import (
    RECOVERY_WINDOW_MS,
    adopt_state,
    apply_record,
    apply_records,
    snapshot_record,
    state_after_gap,
)
from crocuswick.configuration.state import EMPTY_STATE, decode_state, encode_state
from crocuswick.configuration.submission import Submission, submission_to_record
from crocuswick.platform_log import LogRecord
from tests.configuration.sets import organisation, small_objects


def submission(submission_id, base_revision, *, put=(), removed=()):
    return submission_to_record(
        Submission(
            submission_id=submission_id,
            base_revision=base_revision,
            put=tuple(put),
            removed=tuple(removed),
        )
    )


def as_records(values, *, first_offset=0, time_ms=0):
    return [
        LogRecord(offset=offset, time_ms=time_ms, value=value)
        for offset, value in enumerate(values, start=first_offset)
    ]


def apply_values(values):
    return apply_records(EMPTY_STATE, as_records(values))


@st.composite
def streams(draw):
    """Draw conflicting, repeated, faulty and malformed submissions and snapshots."""
    values = []
    state = EMPTY_STATE
    for _ in range(draw(st.integers(1, 25))):
        number = draw(st.integers(0, 12))
        lag = draw(st.integers(0, 2))
        base = max(0, state.configuration.revision - lag)
        choices = (
            submission(f"s{number}-{base}", base, put=[organisation(number)]),
            submission(f"s{number}", base, put=[organisation(number)]),
            submission(
                f"r{number}",
                base,
                removed=[ObjectName(kind="organisation", id=f"org-{number}")],
            ),
            submission(f"f{number}", base, put=[{"kind": "key", "id": "bad"}]),
            {"submission_id": 4},
            "noise",
            snapshot_record(state),
        )
        value = draw(st.sampled_from(choices))
        values.append(value)
        record = LogRecord(offset=len(values) - 1, time_ms=0, value=value)
        state = apply_record(state, record)
    return values


class SubmissionTests(unittest.TestCase):
    def test_one_of_two_conflicting_submissions_wins(self):
        state = apply_values(
            [
                submission("a", 0, put=[organisation(1)]),
                submission("b", 0, put=[organisation(2)]),
            ]
        )
        verdicts = state.verdicts_by_submission_id
        self.assertIs(verdicts["a"].kind, VerdictKind.ACCEPTED)
        self.assertIs(verdicts["b"].kind, VerdictKind.CONFLICT)
        self.assertEqual(verdicts["b"].lost_to, "a")
        self.assertEqual(list(state.configuration.organisations_by_id), ["org-1"])

    def test_removing_a_referenced_object_is_faulty(self):
        state = apply_values(
            [
                submission("a", 0, put=small_objects()),
                submission(
                    "b", 1, removed=[ObjectName(kind="organisation", id="org-1")]
                ),
            ]
        )
        verdict = state.verdicts_by_submission_id["b"]
        self.assertIs(verdict.kind, VerdictKind.FAULTY)
        self.assertEqual(
            {(fault.object, fault.field) for fault in verdict.faults},
            {("limit limit-1", "organisation"), ("key key-1", "organisation")},
        )
        self.assertEqual(state.configuration.revision, 1)

    @given(streams())
    def test_each_base_has_at_most_one_accepted_submission(self, values):
        """Revisions increase by at most one per record and never decrease."""
        state = EMPTY_STATE
        accepted = Counter()
        for record in as_records(values):
            before, state = state, apply_record(state, record)
            increase = state.configuration.revision - before.configuration.revision
            self.assertIn(increase, (0, 1))
            if increase:
                accepted[before.configuration.revision] += 1
                self.assertEqual(record.value["base_revision"] + 1, accepted.total())
            else:
                self.assertEqual(state.configuration, before.configuration)
        self.assertTrue(all(count == 1 for count in accepted.values()))

    @given(streams(), st.data())
    def test_state_does_not_depend_on_page_boundaries_or_repeats(self, values, data):
        records = as_records(values)
        state = EMPTY_STATE
        position = 0
        while position < len(records):
            start = data.draw(st.integers(0, position))
            position = data.draw(st.integers(position + 1, len(records)))
            state = apply_records(state, records[start:position])
        self.assertEqual(state, apply_records(EMPTY_STATE, records))


class StartTests(unittest.TestCase):
    @given(streams(), st.data())
    def test_decoded_peer_state_is_adopted_only_if_newer(self, values, data):
        records = as_records(values)
        states = [EMPTY_STATE]
        for record in records:
            states.append(apply_record(states[-1], record))
        own = data.draw(st.sampled_from(states))
        received = decode_state(encode_state(data.draw(st.sampled_from(states))))
        adopted = adopt_state(own, received.unwrap())
        newest = max(own, received.unwrap(), key=lambda state: state.next_offset)
        self.assertEqual(adopted, newest)
        self.assertEqual(apply_records(adopted, records), states[-1])

    @given(streams(), st.data())
    def test_node_that_starts_at_retained_records_agrees(self, values, data):
        """A later snapshot closes the gap, whichever records are retained."""
        records = as_records(values)
        whole = apply_records(EMPTY_STATE, records)
        first = data.draw(st.integers(0, len(records)))
        taken_at = data.draw(st.integers(first, len(records)))
        snapshot = snapshot_record(apply_records(EMPTY_STATE, records[:taken_at]))
        records += as_records([snapshot], first_offset=len(records))
        late = apply_records(state_after_gap(EMPTY_STATE, first), records[first:])
        self.assertTrue(late.is_complete)
        self.assertEqual(late.configuration, whole.configuration)
        self.assertEqual(
            late.verdicts_by_submission_id, whole.verdicts_by_submission_id
        )

    def test_snapshot_from_before_the_retained_records_leaves_a_gap(self):
        early = apply_values([submission("a", 0, put=[organisation(1)])])
        gap = state_after_gap(EMPTY_STATE, 5)
        late = apply_records(gap, as_records([snapshot_record(early)], first_offset=5))
        self.assertFalse(late.is_complete)
        self.assertEqual(late.configuration, early.configuration)


class RecoveryTests(unittest.TestCase):
    def test_highest_revision_wins_and_submissions_wait(self):
        first = apply_values([submission("a", 0, put=[organisation(1)])])
        second = apply_record(
            first,
            LogRecord(
                offset=1, time_ms=0, value=submission("b", 1, put=[organisation(2)])
            ),
        )
        late = RECOVERY_WINDOW_MS + 100
        history = [
            (0, snapshot_record(first, is_recovery=True)),
            (10, submission("early", 1, put=[organisation(3)])),
            (20, snapshot_record(second, is_recovery=True)),
            (30, snapshot_record(first, is_recovery=True)),
            (late, submission("c", 2, put=[organisation(4)])),
            (late + 1, snapshot_record(second, is_recovery=True)),
        ]
        records = [
            LogRecord(offset=10 + index, time_ms=time_ms, value=value)
            for index, (time_ms, value) in enumerate(history)
        ]
        results = [
            apply_records(state_after_gap(known, 10), records)
            for known in (EMPTY_STATE, first, second)
        ]
        for state in results:
            self.assertTrue(state.is_complete)
            self.assertEqual(state.configuration, results[0].configuration)
        self.assertEqual(
            sorted(results[0].configuration.organisations_by_id),
            ["org-1", "org-2", "org-4"],
        )


if __name__ == "__main__":
    unittest.main()
