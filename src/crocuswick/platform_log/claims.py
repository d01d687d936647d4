"""Claims that ensure a non-idempotent call runs at most once across all nodes."""

from __future__ import annotations

import base64
import threading
import time
from concurrent.futures import Future
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from crocuswick.actor import Message, Ticker
from crocuswick.errors import PeerError
from crocuswick.outcome import Outcome
from crocuswick.platform_log._claim_actor import (
    AwaitClaim,
    ClaimActor,
    ClaimResult,
    ClaimsFailed,
    LookUpScope,
)
from crocuswick.platform_log._claim_appender import ClaimAppender
from crocuswick.platform_log.claim_records import (
    ClaimAbandoned,
    ClaimCompleted,
    ClaimEndedUnknown,
    ClaimMade,
    StreamMark,
    claim_scope,
    decode_claim_record,
    new_claim_id,
)
from crocuswick.platform_log.claim_table import ClaimVerdictKind
from crocuswick.platform_log.client import LogClient
from crocuswick.platform_log.follower import LogFollower, PageRead

if TYPE_CHECKING:
    from crocuswick.platform_log.records import LogRecord

__all__ = [
    "CLAIMS_STREAM",
    "IDEMPOTENCY_WINDOW_MS",
    "ClaimRegistry",
    "ClaimVerdict",
    "RecordedResponse",
]

CLAIMS_STREAM = "claims"
IDEMPOTENCY_WINDOW_MS = 3_600_000
"""Log time for which a claim holds its idempotency key.

The log must retain records for longer.
"""

APPEND_TIMEOUT_MS = 700
CLAIM_TIMEOUT_MS = 1_500
COMPLETION_WAIT_MS = 400
MARKS_PER_WINDOW = 4


@attrs.frozen(kw_only=True)
class RecordedResponse:
    """The recorded response to a call, returned to repeated calls."""

    status: int
    """HTTP status."""

    headers: dict[str, str]
    """Response headers."""

    body: bytes
    """Response body."""


@attrs.frozen(kw_only=True)
class ClaimVerdict:
    """The verdict on a claim, as returned to the caller."""

    kind: ClaimVerdictKind
    """The verdict."""

    claim_id: str = ""
    """Id to complete or abandon, for `ClaimVerdictKind.FIRST`."""

    replay: RecordedResponse | None = None
    """The response to replay, for `ClaimVerdictKind.REPLAY`."""


class ClaimRegistry:
    """Component that claims idempotency keys through the platform's log.

    The first claim of a key in log order runs the call. A node that cannot read
    back its claim in time never runs the call: it returns ``not_run`` and retries
    appending an abandonment until the log confirms it, so that a later repeat can run.
    """

    def __init__(
        self,
        *,
        log_address: str,
        node_id: str,
        window_ms: int = IDEMPOTENCY_WINDOW_MS,
        append_timeout_ms: int = APPEND_TIMEOUT_MS,
        claim_timeout_ms: int = CLAIM_TIMEOUT_MS,
    ):
        self._peer = f"log {log_address}"
        self._claim_timeout_s = claim_timeout_ms / 1000
        self._client = LogClient(address=log_address, timeout_ms=append_timeout_ms)
        self._actor = ClaimActor.start(window_ms=window_ms)
        self._appender = ClaimAppender(
            client=self._client,
            stream=CLAIMS_STREAM,
            on_claims_failed=self._report_failed,
        )
        self._follower = LogFollower(
            client=self._client, stream=CLAIMS_STREAM, post=self._post
        )
        self._marks = _MarkSchedule(window_ms=window_ms)
        # The ticker checks four times per mark interval, so that marks are on time.
        self._marker = Ticker(
            name="claim-marks",
            interval_s=window_ms / 1000 / MARKS_PER_WINDOW / 4,
            callback=lambda: self._append_due_mark(node_id),
        )

    def start(self) -> None:
        """Start following the stream and appending to it."""
        self._follower.start()
        self._appender.start()
        self._marker.start()

    def stop(self) -> None:
        """Append the outstanding records if the log is available, and stop."""
        self._marker.stop()
        self._appender.stop()
        self._follower.stop()
        self._actor.stop(block=False)

    def claim(
        self, *, organisation: str, service: str, key: str, fingerprint: str
    ) -> Result[ClaimVerdict, PeerError]:
        """Claim an idempotency key for a call.

        Args:
            organisation: Id of the caller's organisation.
            service: Id of the service.
            key: The idempotency key.
            fingerprint: Digest of the call's content.

        Returns:
            The verdict. An error's outcome is always ``not_run``: this node will
            not run the call under this claim.
        """
        scope = claim_scope(organisation=organisation, service=service, key=key)
        known = self._actor.ask(LookUpScope(scope=scope, fingerprint=fingerprint))
        is_open = known.kind is ClaimVerdictKind.IN_PROGRESS_OR_UNKNOWN
        if known.kind is not None and not is_open:
            return Ok(self._verdict(known, claim_id=""))
        # This node may not have read the end of an open call yet. A new claim comes
        # later in the log, so its verdict takes that end into account.
        claimed = self._claim_in_log(new_claim_id(scope), fingerprint)
        if claimed.is_err() and is_open:
            return Ok(self._verdict(known, claim_id=""))
        return claimed

    def complete(
        self, claim_id: str, *, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Record the response to a claimed call for replay.

        Waits briefly for the log to confirm the record, so that an immediate repeat
        at any node gets the same response. If the log is slow or down, the record is
        appended later.

        Args:
            claim_id: Id of the claim.
            status: HTTP status of the response.
            headers: Response headers to include in a replay.
            body: Response body.
        """
        appended = self._appender.put(
            ClaimCompleted(
                claim_id=claim_id,
                status=status,
                headers=headers,
                body_base64=base64.b64encode(body).decode(),
            )
        )
        appended.wait(COMPLETION_WAIT_MS / 1000)

    def record_unknown_outcome(self, claim_id: str) -> None:
        """Record that a claimed call was sent but its response was lost."""
        self._appender.put(ClaimEndedUnknown(claim_id=claim_id))

    def abandon(self, claim_id: str) -> None:
        """Record that a claimed call was not run and will not be run."""
        self._appender.put(ClaimAbandoned(claim_id=claim_id))

    def _claim_in_log(
        self, claim_id: str, fingerprint: str
    ) -> Result[ClaimVerdict, PeerError]:
        down = self._appender.recent_error
        if down is not None:
            return Err(attrs.evolve(down, step="claim", outcome=Outcome.NOT_RUN))
        future: Future[ClaimResult] = Future()
        self._actor.tell(AwaitClaim(claim_id=claim_id, result=future))
        self._appender.put(ClaimMade(claim_id=claim_id, fingerprint=fingerprint))
        try:
            found = future.result(timeout=self._claim_timeout_s)
        except TimeoutError:
            if future.cancel():
                self.abandon(claim_id)
                return Err(self._error("the claim was not read back in time"))
            # The verdict arrived between the timeout and the cancellation.
            found = future.result()
        if found.error is not None:
            return Err(attrs.evolve(found.error, step="claim"))
        if found.kind is ClaimVerdictKind.UNPROVEN:
            self.abandon(claim_id)
            return Err(self._error("the log no longer covers the idempotency window"))
        return Ok(self._verdict(found, claim_id=claim_id))

    def _verdict(self, result: ClaimResult, *, claim_id: str) -> ClaimVerdict:
        if result.kind is not ClaimVerdictKind.REPLAY:
            return ClaimVerdict(kind=result.kind, claim_id=claim_id)
        response = result.response or self._read_response(result.response_offset)
        if response is None:
            return ClaimVerdict(kind=ClaimVerdictKind.IN_PROGRESS_OR_UNKNOWN)
        replay = RecordedResponse(
            status=response.status, headers=response.headers, body=response.body
        )
        return ClaimVerdict(kind=ClaimVerdictKind.REPLAY, replay=replay)

    def _read_response(self, offset: int) -> ClaimCompleted | None:
        """Read a recorded response from the log, or return None."""
        result = self._client.read(CLAIMS_STREAM, offset, 1, 0)
        records: tuple[LogRecord, ...] = ()
        if result.is_ok():
            records = getattr(result.unwrap(), "records", ())
        decoded = decode_claim_record(records[0].value) if records else None
        return decoded if isinstance(decoded, ClaimCompleted) else None

    def _post(self, message: Message) -> None:
        if isinstance(message, PageRead) and message.page.records:
            self._marks.record_activity()
        self._actor.tell(message)

    def _append_due_mark(self, node_id: str) -> None:
        if self._marks.is_due():
            self._appender.put(StreamMark(node_id=node_id))

    def _report_failed(self, claim_ids: list[str], error: PeerError) -> None:
        self._actor.tell(ClaimsFailed(claim_ids=claim_ids, error=error))

    def _error(self, detail: str) -> PeerError:
        return PeerError(
            step="claim", peer=self._peer, detail=detail, outcome=Outcome.NOT_RUN
        )


class _MarkSchedule:
    """Decides when an idle stream needs a mark.

    Marks let a node that starts later prove that the retained records cover a whole
    window.
    """

    def __init__(self, *, window_ms: int):
        self._interval_s = window_ms / 1000 / MARKS_PER_WINDOW
        self._has_record = threading.Event()
        self._last_s = time.monotonic()

    def record_activity(self) -> None:
        """Record that the stream has a new record."""
        self._has_record.set()

    def is_due(self) -> bool:
        """Return whether the stream has been idle for a mark interval."""
        now_s = time.monotonic()
        if self._has_record.is_set():
            self._has_record.clear()
            self._last_s = now_s
        if now_s - self._last_s < self._interval_s:
            return False
        self._last_s = now_s
        return True
