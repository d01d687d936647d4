"""Expected work of a replica, from what this node and its peers have sent."""

from __future__ import annotations

import attrs

__all__ = ["EngineLoad"]

DEFAULT_PREFILL_TOKENS_PER_MS = 40.0
"""Rate before the first measurement; a middle-sized engine's."""

RATE_WEIGHT = 0.1
"""Weight of the newest measurement in the mean rate."""

MIN_MEASURED_TOKENS = 512
"""Smaller prompts measure the time of a step rather than the prefill rate."""

PRIORITY_LEVELS = 10
"""Ranks that engines know."""

OVERDUE_FACTOR = 1.5
"""Multiple of a prompt's expected time after which it is no longer waited for."""

OVERDUE_MARGIN_MS = 100.0
"""Delay beyond that multiple that news between nodes may take."""

MIN_REMAINING_MS = 10.0
"""Least expected time of a prompt that is not computed yet."""

MAX_REQUEST_AGE_S = 12.0
"""Age at which a request counts as ended although nobody said so."""


@attrs.define(kw_only=True)
class _SentRequest:
    prefill_tokens: int
    kv_tokens: int
    priority: int
    sent_s: float
    queued_before: int
    is_prefilled: bool = False


class EngineLoad:
    """Outstanding work at one incarnation of a replica."""

    def __init__(self):
        self._sent_by_request: dict[str, _SentRequest] = {}
        self._prefill_by_priority = [0] * PRIORITY_LEVELS
        self._prompts_by_priority = [0] * PRIORITY_LEVELS
        self._kv_tokens = 0
        self.prefill_tokens_per_ms = DEFAULT_PREFILL_TOKENS_PER_MS

    @property
    def rate(self) -> float:
        """Prompt tokens that the replica computes in a millisecond, 1 or more."""
        return max(1.0, self.prefill_tokens_per_ms)

    @property
    def requests(self) -> int:
        """Number of outstanding requests."""
        return len(self._sent_by_request)

    @property
    def prefill_tokens(self) -> int:
        """Prompt tokens that are still to be computed."""
        return sum(self._prefill_by_priority)

    @property
    def kv_tokens(self) -> int:
        """Tokens that outstanding requests hold in memory."""
        return self._kv_tokens

    def wait_ms(self, priority: int) -> float:
        """Return the expected time before a further prompt is begun.

        Prompts that are as urgent go first, and so does the one that the engine is
        computing, however little urgent it is.

        Args:
            priority: Its urgency, 0 first.
        """
        ahead = sum(self._prefill_by_priority[: priority + 1])
        ahead += self._running_prompt_tokens(priority)
        return ahead / self.rate

    def remaining_ms(self, request_id: str, now_s: float) -> float | None:
        """Return the expected time until a prompt has been computed.

        Args:
            request_id: Its request.
            now_s: Monotonic time.

        Returns:
            None where it is not being computed, or has taken so much longer than
            expected that nothing can be said.
        """
        sent = self._sent_by_request.get(request_id)
        if sent is None or sent.is_prefilled:
            return None
        expected_ms = (sent.queued_before + sent.prefill_tokens) / self.rate
        elapsed_ms = (now_s - sent.sent_s) * 1000
        if elapsed_ms > OVERDUE_FACTOR * expected_ms + OVERDUE_MARGIN_MS:
            return None
        return max(MIN_REMAINING_MS, expected_ms - elapsed_ms)

    def _running_prompt_tokens(self, priority: int) -> float:
        """Return the mean tokens of the less urgent prompts, 0 where there are none."""
        prompts = sum(self._prompts_by_priority[priority + 1 :])
        if not prompts:
            return 0.0
        return sum(self._prefill_by_priority[priority + 1 :]) / prompts

    def record_sent(
        self,
        request_id: str,
        *,
        prefill_tokens: int,
        kv_tokens: int,
        priority: int,
        now_s: float,
    ) -> None:
        """Note a request that this node or a peer has sent."""
        self.record_ended(request_id)
        self._drop_expired(now_s)
        self._sent_by_request[request_id] = _SentRequest(
            prefill_tokens=prefill_tokens,
            kv_tokens=kv_tokens,
            priority=priority,
            sent_s=now_s,
            queued_before=sum(self._prefill_by_priority[: priority + 1]),
        )
        self._prefill_by_priority[priority] += prefill_tokens
        self._prompts_by_priority[priority] += 1
        self._kv_tokens += kv_tokens

    def record_first_event(self, request_id: str, now_s: float) -> None:
        """Note the first event of a request: its prompt has been computed."""
        sent = self._sent_by_request.get(request_id)
        if sent is None or sent.is_prefilled:
            return
        sent.is_prefilled = True
        self._remove_prefill(sent)
        elapsed_ms = (now_s - sent.sent_s) * 1000
        if sent.prefill_tokens >= MIN_MEASURED_TOKENS and elapsed_ms > 0:
            rate = (sent.prefill_tokens + sent.queued_before) / elapsed_ms
            self.prefill_tokens_per_ms += RATE_WEIGHT * (
                rate - self.prefill_tokens_per_ms
            )

    def record_ended(self, request_id: str) -> None:
        """Note that a request has ended."""
        sent = self._sent_by_request.pop(request_id, None)
        if sent is None:
            return
        self._kv_tokens -= sent.kv_tokens
        if not sent.is_prefilled:
            self._remove_prefill(sent)

    def _remove_prefill(self, sent: _SentRequest) -> None:
        self._prefill_by_priority[sent.priority] -= sent.prefill_tokens
        self._prompts_by_priority[sent.priority] -= 1

    def _drop_expired(self, now_s: float) -> None:
        # Requests stand in the order in which they were sent.
        while self._sent_by_request:
            request_id, sent = next(iter(self._sent_by_request.items()))
            if now_s - sent.sent_s < MAX_REQUEST_AGE_S:
                return
            self.record_ended(request_id)
