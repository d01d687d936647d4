"""Determines from the claims stream which claim of a scope may run its call."""

from __future__ import annotations

from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from crocuswick.platform_log.claim_records import (
    ClaimAbandoned,
    ClaimCompleted,
    ClaimEndedUnknown,
    ClaimMade,
    decode_claim_record,
    scope_of,
)

if TYPE_CHECKING:
    from crocuswick.platform_log.records import LogRecord

__all__ = ["ClaimEntry", "ClaimTable", "ClaimVerdictKind"]


class ClaimVerdictKind(StrEnum):
    """The possible verdicts on a claim."""

    FIRST = "first"
    """The claim is the first of its scope: run the call."""

    REPLAY = "replay"
    """An earlier call with the key got a response: replay that response."""

    IN_PROGRESS_OR_UNKNOWN = "in_progress_or_unknown"
    """An earlier call is running or its outcome is unknown: do not run."""

    MISMATCH = "mismatch"
    """The key was used for a different call: do not run."""

    UNPROVEN = "unproven"
    """The log no longer shows whether an earlier call ran: do not run."""


@attrs.define(kw_only=True, slots=True)
class ClaimEntry:
    """The claim that holds a scope."""

    claim_id: str
    """Id of the claim."""

    fingerprint: str
    """Digest of the call's content."""

    time_ms: int
    """Log time of the claim, or of the latest candidate if the holder is unknown."""

    response_offset: int | None = None
    """Offset of the recorded response, or None if there is none yet."""

    candidate_ids: set[str] | None = None
    """Claims of which any may hold the scope, or None if the holder is known.

    A node that has not read a whole window does not know whether the first claim
    that it reads is the holder or a repeat of one that the log has dropped. If it is
    a repeat, the next holder is the first claim after the end of the dropped one's
    window, which may be any later claim.
    """


class ClaimTable:
    """The claims in force after applying the stream up to an offset.

    A claim holds its scope for one window, measured by the log's clock. All nodes
    that have read at least one window of the stream give the same verdict on a claim.
    A node that has not read that much returns `ClaimVerdictKind.UNPROVEN`.
    """

    def __init__(self, *, window_ms: int):
        self._window_ms = window_ms
        self._entries_by_scope: dict[str, ClaimEntry] = {}
        self._expiry_queue: deque[tuple[int, str]] = deque()
        self._abandoned_ids: dict[str, int] = {}
        self._has_gap = False
        self._first_time_ms: int | None = None
        self.next_offset = 0

    def __len__(self) -> int:
        return len(self._entries_by_scope)

    def restart_at(self, offset: int) -> None:
        """Clear the table after a gap of unread records.

        Args:
            offset: Offset of the next record to apply.
        """
        self._entries_by_scope.clear()
        self._expiry_queue.clear()
        self._abandoned_ids.clear()
        self._has_gap = True
        self._first_time_ms = None
        self.next_offset = offset

    def apply(self, record: LogRecord) -> ClaimVerdictKind | None:
        """Apply the next record.

        Args:
            record: The record; one that was already applied changes nothing.

        Returns:
            The verdict if the record is a claim, else None.
        """
        if record.offset < self.next_offset:
            return None
        self.next_offset = record.offset + 1
        if self._first_time_ms is None:
            self._first_time_ms = record.time_ms
        self._drop_expired(record.time_ms)
        match decode_claim_record(record.value):
            case ClaimMade() as claim:
                return self._apply_claim(claim, record.time_ms)
            case ClaimCompleted(claim_id=claim_id):
                self._complete(claim_id, record.offset)
            case ClaimAbandoned(claim_id=claim_id):
                self._abandon(claim_id, record.time_ms)
            case ClaimEndedUnknown():
                # The claim continues to hold its scope without a recorded response.
                pass
        return None

    def entry(self, scope: str) -> ClaimEntry | None:
        """Return the claim that holds a scope, or None."""
        return self._entries_by_scope.get(scope)

    def verdict_on_repeat(
        self, scope: str, fingerprint: str
    ) -> ClaimVerdictKind | None:
        """Return the verdict on a repeated call, or None if no claim holds its scope.

        Args:
            scope: Scope of the repeated call.
            fingerprint: Digest of the repeated call's content.
        """
        entry = self._entries_by_scope.get(scope)
        if entry is None:
            return None
        if entry.fingerprint != fingerprint:
            return ClaimVerdictKind.MISMATCH
        if entry.response_offset is None:
            return ClaimVerdictKind.IN_PROGRESS_OR_UNKNOWN
        return ClaimVerdictKind.REPLAY

    def _apply_claim(self, claim: ClaimMade, time_ms: int) -> ClaimVerdictKind | None:
        if claim.claim_id in self._abandoned_ids:
            return None
        scope = scope_of(claim.claim_id)
        entry = self._entries_by_scope.get(scope)
        if entry is None or time_ms - entry.time_ms >= self._window_ms:
            return self._add_entry(scope, claim, time_ms)
        if entry.candidate_ids is not None:
            entry.candidate_ids.add(claim.claim_id)
            self._restart_window(entry, scope, time_ms)
        if entry.claim_id == claim.claim_id:
            return None
        return self.verdict_on_repeat(scope, claim.fingerprint)

    def _add_entry(
        self, scope: str, claim: ClaimMade, time_ms: int
    ) -> ClaimVerdictKind:
        is_certain = self._covers_window(time_ms)
        entry = ClaimEntry(
            claim_id=claim.claim_id,
            fingerprint=claim.fingerprint,
            time_ms=time_ms,
            candidate_ids=None if is_certain else {claim.claim_id},
        )
        self._entries_by_scope[scope] = entry
        self._restart_window(entry, scope, time_ms)
        return ClaimVerdictKind.FIRST if is_certain else ClaimVerdictKind.UNPROVEN

    def _restart_window(self, entry: ClaimEntry, scope: str, time_ms: int) -> None:
        entry.time_ms = time_ms
        self._expiry_queue.append((time_ms, scope))

    def _covers_window(self, time_ms: int) -> bool:
        if not self._has_gap:
            return True
        return time_ms - self._first_time_ms >= self._window_ms

    def _complete(self, claim_id: str, offset: int) -> None:
        entry = self._entries_by_scope.get(scope_of(claim_id))
        if entry is None or entry.claim_id != claim_id:
            return
        if entry.response_offset is None:
            entry.response_offset = offset

    def _abandon(self, claim_id: str, time_ms: int) -> None:
        # Stored because the claim itself may reach the log after its abandonment.
        # Removed and added again so that the entries stay ordered by time.
        self._abandoned_ids.pop(claim_id, None)
        self._abandoned_ids[claim_id] = time_ms
        scope = scope_of(claim_id)
        entry = self._entries_by_scope.get(scope)
        if entry is None or entry.response_offset is not None:
            return
        if entry.candidate_ids is None:
            is_free = entry.claim_id == claim_id
        else:
            entry.candidate_ids.discard(claim_id)
            is_free = not entry.candidate_ids
        if is_free:
            del self._entries_by_scope[scope]

    def _drop_expired(self, time_ms: int) -> None:
        while self._expiry_queue:
            claimed_ms, scope = self._expiry_queue[0]
            if time_ms - claimed_ms < self._window_ms:
                break
            self._expiry_queue.popleft()
            entry = self._entries_by_scope.get(scope)
            if entry is not None and entry.time_ms == claimed_ms:
                del self._entries_by_scope[scope]
        while self._abandoned_ids:
            claim_id, abandoned_ms = next(iter(self._abandoned_ids.items()))
            if time_ms - abandoned_ms < self._window_ms:
                break
            del self._abandoned_ids[claim_id]
