"""The actor that applies the claims stream and resolves pending claims."""

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
    "ClaimResult",
    "ClaimsFailed",
    "LookUpScope",
]

MAX_CACHED_RESPONSE_BYTES = 2_000_000

_logger = logbook.Logger("claims")


@attrs.frozen(kw_only=True)
class ClaimResult:
    """The verdict on a claim, or the error that prevented its append."""

    kind: ClaimVerdictKind | None = None
    """The verdict, or None if there is none or an error occurred."""

    response_offset: int | None = None
    """Offset of the recorded response to replay."""

    response: ClaimCompleted | None = None
    """The recorded response to replay, if it is still in memory."""

    error: PeerError | None = None
    """Error that prevented the append."""


@attrs.frozen(kw_only=True)
class AwaitClaim(Message):
    """Requests the verdict on a claim that is about to be appended."""

    claim_id: str
    """Id of the claim."""

    result: Future[ClaimResult]
    """Future that is resolved with the verdict."""


@attrs.frozen(kw_only=True)
class LookUpScope(Message):
    """Asks whether a claim holds a scope; the reply is a `ClaimResult`."""

    scope: str
    """Scope to look up."""

    fingerprint: str
    """Digest of the call's content."""


@attrs.frozen(kw_only=True)
class ClaimsFailed(Message):
    """Claims could not be appended to the log."""

    claim_ids: list[str]
    """Ids of the claims."""

    error: PeerError
    """The error."""


class ClaimActor(Actor):
    """Owns the claim table."""

    def __init__(self, *, window_ms: int):
        super().__init__()
        self._table = ClaimTable(window_ms=window_ms)
        self._waiters_by_claim_id: dict[str, Future[ClaimResult]] = {}
        self._cached_responses = _ResponseCache()
        self._is_reachable = True

    def on_page_read(self, message: PageRead) -> None:
        """Apply a page and resolve the pending claims that it contains."""
        self._set_log_reachable(True)
        for record in message.page.records:
            self._apply(record)

    def on_gap_found(self, message: GapFound) -> None:
        """Clear the claim table after the log dropped records before they were read."""
        self._set_log_reachable(True)
        _logger.warning(
            "the log dropped claims before offset {} that this node had not read",
            message.gap.first_retained,
        )
        self._table.restart_at(message.gap.first_retained)

    def on_log_unavailable(self, message: LogUnavailable) -> None:
        """Record that the log cannot be read."""
        self._set_log_reachable(False)

    def on_await_claim(self, message: AwaitClaim) -> None:
        """Register a future for a claim's verdict."""
        self._remove_cancelled()
        self._waiters_by_claim_id[message.claim_id] = message.result

    def on_look_up_scope(self, message: LookUpScope) -> ClaimResult:
        """Return the verdict on a repeated call, from the records read so far."""
        kind = self._table.verdict_on_repeat(message.scope, message.fingerprint)
        return self._claim_result(kind, message.scope)

    def on_claims_failed(self, message: ClaimsFailed) -> None:
        """Fail pending claims that could not be appended."""
        for claim_id in message.claim_ids:
            self._resolve(claim_id, ClaimResult(error=message.error))

    def _apply(self, record: LogRecord) -> None:
        kind = self._table.apply(record)
        decoded = decode_claim_record(record.value)
        if isinstance(decoded, ClaimCompleted):
            self._cached_responses.put(record.offset, decoded)
        if kind is not None and isinstance(decoded, ClaimMade):
            result = self._claim_result(kind, scope_of(decoded.claim_id))
            self._resolve(decoded.claim_id, result)

    def _claim_result(self, kind: ClaimVerdictKind | None, scope: str) -> ClaimResult:
        if kind is not ClaimVerdictKind.REPLAY:
            return ClaimResult(kind=kind)
        entry = self._table.entry(scope)
        return ClaimResult(
            kind=kind,
            response_offset=entry.response_offset,
            response=self._cached_responses.get(entry.response_offset),
        )

    def _resolve(self, claim_id: str, result: ClaimResult) -> None:
        waiter = self._waiters_by_claim_id.pop(claim_id, None)
        if waiter is not None and waiter.set_running_or_notify_cancel():
            waiter.set_result(result)

    def _remove_cancelled(self) -> None:
        cancelled = [
            claim_id
            for claim_id, waiter in self._waiters_by_claim_id.items()
            if waiter.cancelled()
        ]
        for claim_id in cancelled:
            del self._waiters_by_claim_id[claim_id]

    def _set_log_reachable(self, is_reachable: bool) -> None:
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            _logger.warning(
                "the claims stream is {}", "readable" if is_reachable else "unreadable"
            )


class _ResponseCache:
    """Cache of the latest recorded responses, limited by total Base64 body size.

    Older responses are read from the log.
    """

    def __init__(self) -> None:
        self._responses_by_offset: OrderedDict[int, ClaimCompleted] = OrderedDict()
        self._bytes = 0

    def put(self, offset: int, response: ClaimCompleted) -> None:
        """Add a response and evict the oldest ones beyond the size limit."""
        self._responses_by_offset[offset] = response
        self._bytes += len(response.body_base64)
        while self._bytes > MAX_CACHED_RESPONSE_BYTES:
            _, dropped = self._responses_by_offset.popitem(last=False)
            self._bytes -= len(dropped.body_base64)

    def get(self, offset: int | None) -> ClaimCompleted | None:
        """Return a response, or None if it is not cached."""
        return self._responses_by_offset.get(offset)
