"""Outstanding work of a replica, from the requests of this node and its peers."""

from __future__ import annotations

import attrs

__all__ = ["EngineLoad"]

DEFAULT_PREFILL_TOKENS_PER_MS = 40.0
"""Prefill rate before the first measurement, that of a medium-sized engine."""

RATE_WEIGHT = 0.1
"""Weight of the newest measurement in the moving average of the rate."""

MIN_MEASURED_TOKENS = 512
"""Smallest prompt that is measured; the time of a smaller one depends on the duration
of a decoding step rather than on the prefill rate."""

PRIORITY_LEVELS = 10
"""Number of priorities that engines distinguish."""

OVERDUE_FACTOR = 1.5
"""Multiple of a prompt's expected time after which it is overdue: its remaining time is
unknown, and other requests no longer wait for it."""

OVERDUE_MARGIN_MS = 100.0
"""Time added to that multiple, for the delay of messages between nodes."""

MIN_REMAINING_MS = 10.0
"""Shortest expected time of a prompt that is still being computed."""

MAX_REQUEST_AGE_S = 12.0
"""Age at which a request counts as ended even without a message about its end."""


@attrs.define(kw_only=True)
class _SentRequest:
    prefill_tokens: int
    kv_tokens: int
    priority: int
    sent_s: float
    queued_tokens: int
    is_large: bool = False
    is_prefilled: bool = False


class EngineLoad:
    """Outstanding work at one incarnation of a replica."""

    def __init__(self):
        self._sent_by_request: dict[str, _SentRequest] = {}
        self._prefill_by_priority = [0] * PRIORITY_LEVELS
        self._prompt_counts_by_priority = [0] * PRIORITY_LEVELS
        self._kv_tokens = 0
        self._large_requests = 0
        self.prefill_tokens_per_ms = DEFAULT_PREFILL_TOKENS_PER_MS

    @property
    def rate(self) -> float:
        """Prefill rate in tokens per millisecond, at least 1."""
        return max(1.0, self.prefill_tokens_per_ms)

    @property
    def requests(self) -> int:
        """Number of outstanding requests."""
        return len(self._sent_by_request)

    @property
    def large_requests(self) -> int:
        """Number of outstanding requests of which peers are notified one by one."""
        return self._large_requests

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens that are yet to be computed."""
        return sum(self._prefill_by_priority)

    @property
    def kv_tokens(self) -> int:
        """Tokens that outstanding requests hold in KV-cache memory."""
        return self._kv_tokens

    def wait_ms(self, priority: int) -> float:
        """Return the expected queueing time of a new prompt.

        Prompts of the same or a higher priority go first, and so does the one that
        the engine is computing, whatever its priority.

        Args:
            priority: Priority of the new prompt; 0 is the highest.
        """
        tokens_ahead = sum(self._prefill_by_priority[: priority + 1])
        tokens_ahead += self._running_prompt_tokens(priority)
        return tokens_ahead / self.rate

    def remaining_ms(self, request_id: str, now_s: float) -> float | None:
        """Return the expected time until a prompt has been computed.

        Args:
            request_id: Its request.
            now_s: Monotonic time.

        Returns:
            The time in milliseconds, or None if the prompt is not outstanding, has been
            computed or is overdue.
        """
        sent = self._sent_by_request.get(request_id)
        if sent is None or sent.is_prefilled:
            return None
        expected_ms = (sent.queued_tokens + sent.prefill_tokens) / self.rate
        elapsed_ms = (now_s - sent.sent_s) * 1000
        if elapsed_ms > OVERDUE_FACTOR * expected_ms + OVERDUE_MARGIN_MS:
            return None
        return max(MIN_REMAINING_MS, expected_ms - elapsed_ms)

    def _running_prompt_tokens(self, priority: int) -> float:
        """Return the expected tokens of the running prompt if its priority is lower.

        That is the mean size of all outstanding prompts of lower priorities, or 0
        without any.
        """
        count = sum(self._prompt_counts_by_priority[priority + 1 :])
        if not count:
            return 0.0
        return sum(self._prefill_by_priority[priority + 1 :]) / count

    def record_sent(
        self,
        request_id: str,
        *,
        prefill_tokens: int,
        kv_tokens: int,
        priority: int,
        now_s: float,
        is_large: bool = False,
    ) -> None:
        """Record a request that this node or a peer has sent."""
        self.record_ended(request_id)
        self._drop_expired(now_s)
        self._sent_by_request[request_id] = _SentRequest(
            prefill_tokens=prefill_tokens,
            kv_tokens=kv_tokens,
            priority=priority,
            sent_s=now_s,
            queued_tokens=sum(self._prefill_by_priority[: priority + 1]),
            is_large=is_large,
        )
        self._large_requests += is_large
        self._prefill_by_priority[priority] += prefill_tokens
        self._prompt_counts_by_priority[priority] += 1
        self._kv_tokens += kv_tokens

    def record_first_event(self, request_id: str, now_s: float) -> None:
        """Record the first event of a request: its prompt has been computed."""
        sent = self._sent_by_request.get(request_id)
        if sent is None or sent.is_prefilled:
            return
        sent.is_prefilled = True
        self._remove_prefill(sent)
        elapsed_ms = (now_s - sent.sent_s) * 1000
        if sent.prefill_tokens >= MIN_MEASURED_TOKENS and elapsed_ms > 0:
            rate = (sent.prefill_tokens + sent.queued_tokens) / elapsed_ms
            self.prefill_tokens_per_ms += RATE_WEIGHT * (
                rate - self.prefill_tokens_per_ms
            )

    def record_ended(self, request_id: str) -> None:
        """Record that a request has ended."""
        sent = self._sent_by_request.pop(request_id, None)
        if sent is None:
            return
        self._kv_tokens -= sent.kv_tokens
        self._large_requests -= sent.is_large
        if not sent.is_prefilled:
            self._remove_prefill(sent)

    def _remove_prefill(self, sent: _SentRequest) -> None:
        self._prefill_by_priority[sent.priority] -= sent.prefill_tokens
        self._prompt_counts_by_priority[sent.priority] -= 1

    def _drop_expired(self, now_s: float) -> None:
        # The dictionary holds requests in the order in which they were sent.
        while self._sent_by_request:
            request_id, sent = next(iter(self._sent_by_request.items()))
            if now_s - sent.sent_s < MAX_REQUEST_AGE_S:
                return
            self.record_ended(request_id)
