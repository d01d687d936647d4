"""Estimate of an endpoint's load from delayed reports and this node's own requests."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

__all__ = ["EndpointLoad", "LoadReport"]

DEFAULT_PREFILL_TOKENS_PER_S = 10_000.0
FRESH_REPORT_S = 1.0
"""Age of a report beyond which each further second adds a second to the expected wait."""

MAX_TRACKED_REQUESTS = 4096
"""Maximum number of sent requests that are tracked for one endpoint."""


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load that an engine reported, as of `age_ms` before it was received."""

    incarnation: str
    """Incarnation of the engine."""

    weights_versions_by_model: Mapping[str, str]
    """Weights version that the engine serves for each model."""

    state: str
    """``ready``, ``loading`` or ``leaving``."""

    running: int
    """Number of requests that are generating tokens."""

    queued: int
    """Number of requests that are waiting for their first token."""

    queued_tokens: int
    """Prompt tokens still to be computed for the waiting requests."""

    prefill_tokens_per_s: float
    """Prompt tokens that the engine computes per second."""

    decode_tokens_per_s: float
    """Tokens that the engine generates per second."""

    capacity_blocks: int
    """Number of blocks that the engine's cache can hold."""

    cached_blocks: int
    """Number of blocks that the engine's cache holds."""

    age_ms: float
    """Age of the report when it was received, in milliseconds."""


@attrs.frozen(kw_only=True)
class _SentRequest:
    """A request that this node has sent and that awaits its first token."""

    sent_s: float
    tokens: int
    first_token_expected_s: float


class EndpointLoad:
    """Estimate of the queue of one endpoint.

    The estimate is the queue of the last report, plus the requests that this node has
    sent since the time that the report describes, minus the tokens that the endpoint
    has computed in the meantime.
    """

    seconds_per_token: float
    """Time in which the endpoint computes one prompt token."""

    def __init__(self):
        self.report: LoadReport | None = None
        self.reported_at_s = 0.0
        self.seconds_per_token = 1.0 / DEFAULT_PREFILL_TOKENS_PER_S
        self._tokens = 0.0
        self._updated_s = 0.0
        self._sent_by_request_id: dict[str, _SentRequest] = {}

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a report and add the requests sent after the time that it describes."""
        report_time_s = now_s - report.age_ms / 1000.0
        self.report = report
        self.reported_at_s = now_s
        tokens_per_s = report.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S
        self.seconds_per_token = 1.0 / tokens_per_s
        self._tokens = float(report.queued_tokens)
        self._updated_s = report_time_s
        self._discard_sent_before(report_time_s)
        for sent in self._sent_by_request_id.values():
            self._add(sent.tokens, sent.sent_s)

    def record_sent(self, request_id: str, tokens: int, now_s: float) -> None:
        """Record a sent request and the number of prompt tokens to compute for it."""
        if len(self._sent_by_request_id) >= MAX_TRACKED_REQUESTS:
            self._discard_oldest_request()
        self._add(tokens, now_s)
        self._sent_by_request_id[request_id] = _SentRequest(
            sent_s=now_s,
            tokens=tokens,
            first_token_expected_s=now_s + self._tokens * self.seconds_per_token,
        )

    def record_first_token(self, request_id: str, now_s: float) -> None:
        """Record that a request's prompt has been computed.

        If this was earlier than expected, the queue is shortened by the difference.
        """
        sent = self._sent_by_request_id.pop(request_id, None)
        if sent is None:
            return
        early_s = max(0.0, sent.first_token_expected_s - now_s)
        self._tokens = max(0.0, self._tokens - early_s / self.seconds_per_token)

    def record_finished(self, request_id: str) -> None:
        """Record that a request has ended, possibly without a token."""
        self._sent_by_request_id.pop(request_id, None)

    def clear(self) -> None:
        """Discard the report and all sent requests."""
        self.report = None
        self._tokens = 0.0
        self._sent_by_request_id.clear()

    def wait_s(self, now_s: float) -> float:
        """Return the expected wait of a request sent now, in seconds."""
        wait_s = self._tokens * self.seconds_per_token - (now_s - self._updated_s)
        overdue_s = now_s - self.reported_at_s - FRESH_REPORT_S
        if wait_s < 0.0:
            wait_s = 0.0
        return wait_s + overdue_s if overdue_s > 0.0 else wait_s

    def _add(self, tokens: int, sent_s: float) -> None:
        drained = max(0.0, sent_s - self._updated_s) / self.seconds_per_token
        self._tokens = max(0.0, self._tokens - drained) + tokens
        self._updated_s = max(self._updated_s, sent_s)

    def _discard_sent_before(self, time_s: float) -> None:
        sent_by_request_id = self._sent_by_request_id
        self._sent_by_request_id = {
            request_id: sent
            for request_id, sent in sent_by_request_id.items()
            if sent.sent_s > time_s
        }

    def _discard_oldest_request(self) -> None:
        del self._sent_by_request_id[next(iter(self._sent_by_request_id))]
