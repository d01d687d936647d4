"""Folds the claims stream: which claim of a scope may run its call."""

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
    """What a claim leads to."""

    FIRST = "first"
    """The claim is the first of its scope: run the call."""

    REPLAY = "replay"
    """An earlier call with the key was answered: repeat that answer."""

    IN_PROGRESS_OR_UNKNOWN = "in_progress_or_unknown"
    """An earlier call with the key runs or ended unknown: do not run."""

    MISMATCH = "mismatch"
    """The key was used with another call: do not run."""

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
    """Log time of the claim, or of the latest rival while it is unproven."""

    done_offset: int | None = None
    """Offset of the record with the answer, once there is one."""

    rival_ids: set[str] | None = None
    """Claims of which one may hold the scope; None once the holder is certain.

    A node that has not read a whole window cannot tell whether the first claim
    that it sees is the holder, or a repeat of one that the log has dropped. Each
    further claim may then be the holder after that one's window.
    """


class ClaimTable:
    """The state of the claims stream up to an offset.

    A claim holds its scope for the window, by the log's clock. Every node that has
    read at least a window's worth of the stream judges a claim in the same way;
    one that has not says so instead of guessing.
    """

    def __init__(self, *, window_ms: int):
        self._window_ms = window_ms
        self._entries_by_scope: dict[str, ClaimEntry] = {}
        self._scopes_by_age: deque[tuple[int, str]] = deque()
        self._abandoned_ids: dict[str, int] = {}
        self._has_gap = False
        self._covers_from_ms: int | None = None
        self.next_offset = 0

    def __len__(self) -> int:
        return len(self._entries_by_scope)

    def restart_at(self, offset: int) -> None:
        """Forget everything, since records before an offset were not read.

        Args:
            offset: Offset of the next record to fold.
        """
        self._entries_by_scope.clear()
        self._scopes_by_age.clear()
        self._abandoned_ids.clear()
        self._has_gap = True
        self._covers_from_ms = None
        self.next_offset = offset

    def fold(self, record: LogRecord) -> ClaimVerdictKind | None:
        """Fold the next record.

        Args:
            record: The record; one that was folded already changes nothing.

        Returns:
            The verdict if the record is a claim, else None.
        """
        if record.offset < self.next_offset:
            return None
        self.next_offset = record.offset + 1
        if self._covers_from_ms is None:
            self._covers_from_ms = record.time_ms
        self._drop_expired(record.time_ms)
        match decode_claim_record(record.value):
            case ClaimMade() as claim:
                return self._fold_claim(claim, record.time_ms)
            case ClaimCompleted(claim_id=claim_id):
                self._complete(claim_id, record.offset)
            case ClaimAbandoned(claim_id=claim_id):
                self._abandon(claim_id, record.time_ms)
            case ClaimEndedUnknown():
                # The claim keeps holding its scope, without an answer.
                pass
        return None

    def entry(self, scope: str) -> ClaimEntry | None:
        """Return the claim that holds a scope, or None."""
        return self._entries_by_scope.get(scope)

    def verdict_on_repeat(
        self, scope: str, fingerprint: str
    ) -> ClaimVerdictKind | None:
        """Return the verdict on a repeat, or None if nothing holds the scope.

        Args:
            scope: Scope of the repeat.
            fingerprint: Digest of the repeated call's content.
        """
        entry = self._entries_by_scope.get(scope)
        if entry is None:
            return None
        if entry.fingerprint != fingerprint:
            return ClaimVerdictKind.MISMATCH
        if entry.done_offset is None:
            return ClaimVerdictKind.IN_PROGRESS_OR_UNKNOWN
        return ClaimVerdictKind.REPLAY

    def _fold_claim(self, claim: ClaimMade, time_ms: int) -> ClaimVerdictKind | None:
        if claim.claim_id in self._abandoned_ids:
            return None
        scope = scope_of(claim.claim_id)
        entry = self._entries_by_scope.get(scope)
        if entry is None or time_ms - entry.time_ms >= self._window_ms:
            return self._open(scope, claim, time_ms)
        if entry.rival_ids is not None:
            entry.rival_ids.add(claim.claim_id)
            self._hold_until_after(entry, scope, time_ms)
        if entry.claim_id == claim.claim_id:
            return None
        return self.verdict_on_repeat(scope, claim.fingerprint)

    def _open(self, scope: str, claim: ClaimMade, time_ms: int) -> ClaimVerdictKind:
        is_certain = self._covers_window(time_ms)
        entry = ClaimEntry(
            claim_id=claim.claim_id,
            fingerprint=claim.fingerprint,
            time_ms=time_ms,
            rival_ids=None if is_certain else {claim.claim_id},
        )
        self._entries_by_scope[scope] = entry
        self._hold_until_after(entry, scope, time_ms)
        return ClaimVerdictKind.FIRST if is_certain else ClaimVerdictKind.UNPROVEN

    def _hold_until_after(self, entry: ClaimEntry, scope: str, time_ms: int) -> None:
        entry.time_ms = time_ms
        self._scopes_by_age.append((time_ms, scope))

    def _covers_window(self, time_ms: int) -> bool:
        if not self._has_gap:
            return True
        return time_ms - self._covers_from_ms >= self._window_ms

    def _complete(self, claim_id: str, offset: int) -> None:
        entry = self._entries_by_scope.get(scope_of(claim_id))
        if entry is None or entry.claim_id != claim_id:
            return
        if entry.done_offset is None:
            entry.done_offset = offset

    def _abandon(self, claim_id: str, time_ms: int) -> None:
        # Remembered, since the claim itself may reach the log later than this.
        # Put last again if it was known, so that the oldest is always first.
        self._abandoned_ids.pop(claim_id, None)
        self._abandoned_ids[claim_id] = time_ms
        scope = scope_of(claim_id)
        entry = self._entries_by_scope.get(scope)
        if entry is None or entry.done_offset is not None:
            return
        if entry.rival_ids is None:
            is_free = entry.claim_id == claim_id
        else:
            entry.rival_ids.discard(claim_id)
            is_free = not entry.rival_ids
        if is_free:
            del self._entries_by_scope[scope]

    def _drop_expired(self, time_ms: int) -> None:
        while self._scopes_by_age:
            claimed_ms, scope = self._scopes_by_age[0]
            if time_ms - claimed_ms < self._window_ms:
                break
            self._scopes_by_age.popleft()
            entry = self._entries_by_scope.get(scope)
            if entry is not None and entry.time_ms == claimed_ms:
                del self._entries_by_scope[scope]
        while self._abandoned_ids:
            claim_id, abandoned_ms = next(iter(self._abandoned_ids.items()))
            if time_ms - abandoned_ms < self._window_ms:
                break
            del self._abandoned_ids[claim_id]
