"""The active object that folds the claims stream and answers claimants."""

from __future__ import annotations

from collections import OrderedDict
from concurrent.futures import Future
from typing import TYPE_CHECKING

import attrs
import logbook

from crocuswick.actor import Actor, Message
from crocuswick.errors import PeerError
from crocuswick.platform_log.claim_records import (
    ClaimCompleted,
    ClaimMade,
    decode_claim_record,
    scope_of,
)
from crocuswick.platform_log.claim_table import ClaimTable, ClaimVerdictKind

if TYPE_CHECKING:
    from crocuswick.platform_log.follower import GapFound, LogUnavailable, PageRead
    from crocuswick.platform_log.records import LogRecord

__all__ = [
    "AwaitClaim",
    "ClaimActor",
    "ClaimsFailed",
    "JudgedClaim",
    "LookUpScope",
]

MAX_CACHED_ANSWER_BYTES = 2_000_000

_logger = logbook.Logger("claims")


@attrs.frozen(kw_only=True)
class JudgedClaim:
    """The verdict on a claim, or the error that kept it from the log."""

    kind: ClaimVerdictKind | None = None
    """The verdict, or None after an error."""

    done_offset: int | None = None
    """Offset of the answer to replay."""

    answer: ClaimCompleted | None = None
    """The answer to replay, if the node still has it in memory."""

    error: PeerError | None = None
    """Why the claim did not reach the log."""


@attrs.frozen(kw_only=True)
class AwaitClaim(Message):
    """Asks for the verdict on a claim that is about to be appended."""

    claim_id: str
    """Id of the claim."""

    judged: Future[JudgedClaim]
    """Is given the verdict."""


@attrs.frozen(kw_only=True)
class LookUpScope(Message):
    """Asks whether something holds a scope; answered with a `JudgedClaim`."""

    scope: str
    """The scope."""

    fingerprint: str
    """Digest of the call's content."""


@attrs.frozen(kw_only=True)
class ClaimsFailed(Message):
    """Claims were not sent to the log."""

    claim_ids: list[str]
    """Ids of the claims."""

    error: PeerError
    """The failure."""


class ClaimActor(Actor):
    """Owns the claim table."""

    def __init__(self, *, window_ms: int):
        super().__init__()
        self._table = ClaimTable(window_ms=window_ms)
        self._waiters_by_claim_id: dict[str, Future[JudgedClaim]] = {}
        self._answers = _AnswerCache()
        self._is_reachable = True

    def on_page_read(self, message: PageRead) -> None:
        """Fold a page and answer the claimants whose claims are in it."""
        self._note_reachable(True)
        for record in message.page.records:
            self._fold(record)

    def on_gap_found(self, message: GapFound) -> None:
        """Start anew after records that were dropped unread."""
        self._note_reachable(True)
        _logger.warning("claims before offset {} unread", message.gap.first_retained)
        self._table.restart_at(message.gap.first_retained)

    def on_log_unavailable(self, message: LogUnavailable) -> None:
        """Note that the log cannot be read."""
        self._note_reachable(False)

    def on_await_claim(self, message: AwaitClaim) -> None:
        """Remember who waits for a claim's verdict."""
        self._forget_cancelled()
        self._waiters_by_claim_id[message.claim_id] = message.judged

    def on_look_up_scope(self, message: LookUpScope) -> JudgedClaim:
        """Return the verdict on a repeat as far as this node has read."""
        kind = self._table.verdict_on_repeat(message.scope, message.fingerprint)
        return self._judged(kind, message.scope)

    def on_claims_failed(self, message: ClaimsFailed) -> None:
        """Tell claimants that their claims did not reach the log."""
        for claim_id in message.claim_ids:
            self._answer(claim_id, JudgedClaim(error=message.error))

    def _fold(self, record: LogRecord) -> None:
        kind = self._table.fold(record)
        decoded = decode_claim_record(record.value)
        if isinstance(decoded, ClaimCompleted):
            self._answers.put(record.offset, decoded)
        if kind is not None and isinstance(decoded, ClaimMade):
            judged = self._judged(kind, scope_of(decoded.claim_id))
            self._answer(decoded.claim_id, judged)

    def _judged(self, kind: ClaimVerdictKind | None, scope: str) -> JudgedClaim:
        if kind is not ClaimVerdictKind.REPLAY:
            return JudgedClaim(kind=kind)
        entry = self._table.entry(scope)
        return JudgedClaim(
            kind=kind,
            done_offset=entry.done_offset,
            answer=self._answers.get(entry.done_offset),
        )

    def _answer(self, claim_id: str, judged: JudgedClaim) -> None:
        waiter = self._waiters_by_claim_id.pop(claim_id, None)
        if waiter is not None and waiter.set_running_or_notify_cancel():
            waiter.set_result(judged)

    def _forget_cancelled(self) -> None:
        cancelled = [
            claim_id
            for claim_id, waiter in self._waiters_by_claim_id.items()
            if waiter.cancelled()
        ]
        for claim_id in cancelled:
            del self._waiters_by_claim_id[claim_id]

    def _note_reachable(self, is_reachable: bool) -> None:
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            _logger.warning(
                "the claims stream is {}", "readable" if is_reachable else "unreadable"
            )


class _AnswerCache:
    """The latest answers, bounded by bytes; older ones are read from the log."""

    def __init__(self) -> None:
        self._answers_by_offset: OrderedDict[int, ClaimCompleted] = OrderedDict()
        self._bytes = 0

    def put(self, offset: int, answer: ClaimCompleted) -> None:
        """Keep an answer and drop the oldest ones beyond the bound."""
        self._answers_by_offset[offset] = answer
        self._bytes += len(answer.body_base64)
        while self._bytes > MAX_CACHED_ANSWER_BYTES:
            _, dropped = self._answers_by_offset.popitem(last=False)
            self._bytes -= len(dropped.body_base64)

    def get(self, offset: int | None) -> ClaimCompleted | None:
        """Return an answer, or None if it is not kept."""
        return self._answers_by_offset.get(offset)
