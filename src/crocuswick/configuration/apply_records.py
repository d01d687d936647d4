"""Deterministic application of configuration records to a state.

Every node applies the same records in log order and gets the same state.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import attrs

from crocuswick.configuration.checks import check_revision
from crocuswick.configuration.model import Configuration
from crocuswick.configuration.state import (
    MAX_KEPT_VERDICTS,
    ConfigurationState,
    state_from_record,
    state_to_record,
)
from crocuswick.configuration.submission import (
    Submission,
    submission_from_record,
    unchanged_objects,
)
from crocuswick.configuration.verdict import Verdict, VerdictKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crocuswick.platform_log.records import LogRecord

__all__ = [
    "RECOVERY_WINDOW_MS",
    "adopt_state",
    "apply_record",
    "apply_records",
    "snapshot_record",
    "state_after_gap",
]

RECOVERY_WINDOW_MS = 10_000
"""Log time after a first recovery snapshot in which a later one can replace it.

A later snapshot replaces it if its revision is the same or higher.
"""


def snapshot_record(
    state: ConfigurationState, *, is_recovery: bool = False
) -> dict[str, Any]:
    """Return the log record of a snapshot.

    Args:
        state: The state to store.
        is_recovery: Whether the snapshot starts a new history because the records
            after this state were dropped before any node read them.
    """
    return {"snapshot": state_to_record(state), "is_recovery": is_recovery}


def apply_records(
    state: ConfigurationState, records: Iterable[LogRecord]
) -> ConfigurationState:
    """Apply several records in log order."""
    for record in records:
        state = apply_record(state, record)
    return state


def apply_record(state: ConfigurationState, record: LogRecord) -> ConfigurationState:
    """Apply one record.

    Args:
        state: The state before the record.
        record: The next record; one that was already applied changes nothing.

    Returns:
        The state after the record.
    """
    if record.offset < state.next_offset:
        return state
    state = attrs.evolve(state, next_offset=record.offset + 1)
    value = record.value
    if isinstance(value, dict) and "snapshot" in value:
        return _apply_snapshot(state, record)
    if not state.is_complete:
        return attrs.evolve(state, pending=(*state.pending, record))
    submission = submission_from_record(value)
    if submission is None:
        return state
    return _apply_submission(state, submission, record.time_ms)


def state_after_gap(
    state: ConfigurationState, first_retained: int
) -> ConfigurationState:
    """Return the state of a node after records were dropped before it read them.

    Args:
        state: The state before the gap.
        first_retained: Offset of the oldest retained record.
    """
    if first_retained <= state.next_offset:
        return state
    return attrs.evolve(
        state,
        next_offset=first_retained,
        is_complete=False,
        resumed_at=first_retained,
        pending=(),
    )


def adopt_state(
    state: ConfigurationState, other: ConfigurationState
) -> ConfigurationState:
    """Adopt another node's state if it is newer; never go back to an older revision.

    Args:
        state: This node's state.
        other: A complete state of another node.

    Returns:
        The newer of the two, with this node's pending records applied. If records
        between the two are missing, this node's state with the other's configuration
        and verdicts; it stays incomplete.
    """
    if other.configuration.revision < state.configuration.revision:
        return state
    if other.next_offset >= state.next_offset:
        return other if _is_ahead(other, state) else state
    if state.is_complete:
        return state
    if other.next_offset >= state.resumed_at:
        advanced = apply_records(other, state.pending)
        return attrs.evolve(advanced, next_offset=state.next_offset)
    # The records between the two states are lost. Use the newer revision, but keep
    # the state incomplete.
    return attrs.evolve(
        state,
        configuration=other.configuration,
        made_by=other.made_by,
        made_by_author=other.made_by_author,
        verdicts_by_submission_id=other.verdicts_by_submission_id,
    )


def _is_ahead(other: ConfigurationState, state: ConfigurationState) -> bool:
    return other.next_offset > state.next_offset or not state.is_complete


def _apply_snapshot(state: ConfigurationState, record: LogRecord) -> ConfigurationState:
    is_recovery = record.value.get("is_recovery") is True
    if state.is_complete and not is_recovery:
        return state
    decoded = state_from_record(record.value["snapshot"])
    if decoded.is_err():
        return state
    snapshot = decoded.unwrap()
    if is_recovery:
        return _apply_recovery(state, snapshot, record)
    return adopt_state(state, snapshot)


def _apply_recovery(
    state: ConfigurationState, snapshot: ConfigurationState, record: LogRecord
) -> ConfigurationState:
    is_in_window = record.time_ms < state.recovery_ends_ms
    if state.is_complete and not is_in_window:
        return state
    ends_ms = record.time_ms + RECOVERY_WINDOW_MS
    if state.is_complete:
        ends_ms = state.recovery_ends_ms
    if snapshot.configuration.revision < state.configuration.revision:
        return attrs.evolve(state, recovery_ends_ms=ends_ms)
    return attrs.evolve(
        snapshot, next_offset=record.offset + 1, recovery_ends_ms=ends_ms
    )


def _apply_submission(
    state: ConfigurationState, submission: Submission, time_ms: int
) -> ConfigurationState:
    if submission.submission_id in state.verdicts_by_submission_id:
        return state
    if time_ms < state.recovery_ends_ms:
        # No verdict is stored, so that the submission can be retried later.
        return state
    current = state.configuration
    if submission.base_revision != current.revision:
        return _with_verdict(state, _conflict_verdict(state, submission))
    if not (submission.put or submission.removed):
        return _with_verdict(state, _verdict(state, submission, VerdictKind.UNCHANGED))
    checked = check_revision(unchanged_objects(current, submission), submission.put)
    if checked.is_err():
        verdict = attrs.evolve(
            _verdict(state, submission, VerdictKind.FAULTY),
            faults=tuple(checked.unwrap_err()),
        )
        return _with_verdict(state, verdict)
    configuration = Configuration.from_objects(
        revision=current.revision + 1, objects=checked.unwrap()
    )
    state = attrs.evolve(
        state,
        configuration=configuration,
        made_by=submission.submission_id,
        made_by_author=submission.author,
    )
    return _with_verdict(state, _verdict(state, submission, VerdictKind.ACCEPTED))


def _verdict(
    state: ConfigurationState, submission: Submission, kind: VerdictKind
) -> Verdict:
    return Verdict(
        submission_id=submission.submission_id,
        kind=kind,
        revision=state.configuration.revision,
    )


def _conflict_verdict(state: ConfigurationState, submission: Submission) -> Verdict:
    return attrs.evolve(
        _verdict(state, submission, VerdictKind.CONFLICT),
        lost_to=state.made_by,
        lost_to_author=state.made_by_author,
    )


def _with_verdict(state: ConfigurationState, verdict: Verdict) -> ConfigurationState:
    verdicts = {
        **state.verdicts_by_submission_id,
        verdict.submission_id: verdict,
    }
    surplus = max(0, len(verdicts) - MAX_KEPT_VERDICTS)
    for submission_id in list(itertools.islice(verdicts, surplus)):
        del verdicts[submission_id]
    return attrs.evolve(state, verdicts_by_submission_id=verdicts)
