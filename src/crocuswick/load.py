"""Estimate of an endpoint's load from lagged reports and this node's own sends."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

__all__ = ["EndpointLoad", "LoadReport"]

DEFAULT_PREFILL_TOKENS_PER_S = 10_000.0
FRESH_REPORT_S = 1.0
MAX_SENDS = 4096


@attrs.frozen(kw_only=True)
class LoadReport:
    """An engine's own account of its load, as it was some time ago."""

    incarnation: str
    """Incarnation of the engine."""

    weights_versions_by_model: Mapping[str, str]
    """Weights version that the engine serves for each model."""

    state: str
    """``ready``, ``loading`` or ``leaving``."""

    running: int
    """Number of requests that generate tokens."""

    queued: int
    """Number of requests that wait for their first token."""

    queued_tokens: int
    """Prompt tokens still to be computed for the waiting requests."""

    prefill_tokens_per_s: float
    """Prompt tokens that the engine computes in a second."""

    decode_tokens_per_s: float
    """Tokens that the engine generates in a second."""

    capacity_blocks: int
    """Number of blocks that the engine's cache can hold."""

    cached_blocks: int
    """Number of blocks that the engine's cache holds."""

    age_ms: float
    """Age of the report when it was received, in milliseconds."""


@attrs.frozen(kw_only=True)
class _Send:
    """A request that this node has sent."""

    at_s: float
    tokens: int
    expected_s: float


class EndpointLoad:
    """Expected queue of one endpoint.

    The queue is that of the last report, plus what this node has sent since the
    moment that the report describes, less what the endpoint computes meanwhile.
    """

    seconds_per_token: float
    """Time to compute one prompt token."""

    def __init__(self):
        self.report: LoadReport | None = None
        self.reported_at_s = 0.0
        self.seconds_per_token = 1.0 / DEFAULT_PREFILL_TOKENS_PER_S
        self._tokens = 0.0
        self._updated_s = 0.0
        self._sends_by_request: dict[str, _Send] = {}

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Take a report and add the sends that it can't contain yet."""
        described_s = now_s - report.age_ms / 1000.0
        self.report = report
        self.reported_at_s = now_s
        tokens_per_s = report.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S
        self.seconds_per_token = 1.0 / tokens_per_s
        self._tokens = float(report.queued_tokens)
        self._updated_s = described_s
        self._forget_sends_before(described_s)
        for send in self._sends_by_request.values():
            self._add(send.tokens, send.at_s)

    def record_sent(self, request_id: str, tokens: int, now_s: float) -> None:
        """Note a request that was sent with the prompt tokens to compute for it."""
        if len(self._sends_by_request) >= MAX_SENDS:
            self._forget_first_send()
        self._add(tokens, now_s)
        self._sends_by_request[request_id] = _Send(
            at_s=now_s,
            tokens=tokens,
            expected_s=now_s + self._tokens * self.seconds_per_token,
        )

    def record_first_token(self, request_id: str, now_s: float) -> None:
        """Note that a request's prompt has been computed.

        If that was earlier than expected, the queue behind it is shorter by as much.
        """
        send = self._sends_by_request.pop(request_id, None)
        if send is None:
            return
        early_s = max(0.0, send.expected_s - now_s)
        self._tokens = max(0.0, self._tokens - early_s / self.seconds_per_token)

    def record_finished(self, request_id: str) -> None:
        """Note that a request has ended, perhaps without any token."""
        self._sends_by_request.pop(request_id, None)

    def clear(self) -> None:
        """Forget the report and all sends."""
        self.report = None
        self._tokens = 0.0
        self._sends_by_request.clear()

    def wait_s(self, now_s: float) -> float:
        """Return the expected wait of a request sent now, in seconds."""
        wait_s = self._tokens * self.seconds_per_token - (now_s - self._updated_s)
        silent_s = now_s - self.reported_at_s - FRESH_REPORT_S
        if wait_s < 0.0:
            wait_s = 0.0
        return wait_s + silent_s if silent_s > 0.0 else wait_s

    def _add(self, tokens: int, at_s: float) -> None:
        drained = max(0.0, at_s - self._updated_s) / self.seconds_per_token
        self._tokens = max(0.0, self._tokens - drained) + tokens
        self._updated_s = max(self._updated_s, at_s)

    def _forget_sends_before(self, time_s: float) -> None:
        sends = self._sends_by_request
        self._sends_by_request = {
            request_id: send for request_id, send in sends.items() if send.at_s > time_s
        }

    def _forget_first_send(self) -> None:
        del self._sends_by_request[next(iter(self._sends_by_request))]
