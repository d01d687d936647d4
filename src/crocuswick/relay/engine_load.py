"""Expected work of a replica, from what this node and its peers have sent."""

from __future__ import annotations

import attrs

__all__ = ["EngineLoad", "PeerLoad"]

DEFAULT_PREFILL_TOKENS_PER_MS = 40.0
"""Rate before the first measurement; a middle-sized engine's."""

PEER_LOAD_LIFETIME_S = 1.0
"""Time after which what a peer said of its sends no longer counts."""

RATE_WEIGHT = 0.1
"""Weight of the newest measurement in the mean rate."""

MIN_MEASURED_TOKENS = 512
"""Smaller prompts measure the time of a step rather than the prefill rate."""


@attrs.frozen(kw_only=True)
class PeerLoad:
    """Work at one replica that another node has outstanding."""

    requests: int
    prefill_tokens: int
    """Prompt tokens that are not computed yet."""

    kv_tokens: int
    """Tokens of running requests."""


@attrs.define(kw_only=True)
class _Sent:
    prefill_tokens: int
    kv_tokens: int
    sent_s: float
    queued_before: float
    has_begun: bool = False


class EngineLoad:
    """Outstanding work at one incarnation of a replica."""

    def __init__(self):
        self._sent_by_request: dict[str, _Sent] = {}
        self._peers_by_node: dict[str, tuple[PeerLoad, float]] = {}
        self.prefill_tokens_per_ms = DEFAULT_PREFILL_TOKENS_PER_MS

    def record_sent(
        self, request_id: str, *, prefill_tokens: int, kv_tokens: int, now_s: float
    ) -> None:
        """Note a request that was sent."""
        self._sent_by_request[request_id] = _Sent(
            prefill_tokens=prefill_tokens,
            kv_tokens=kv_tokens,
            sent_s=now_s,
            queued_before=self.prefill_tokens(now_s),
        )

    def record_begun(self, request_id: str, now_s: float) -> None:
        """Note the first event of a request: its prompt has been computed."""
        sent = self._sent_by_request.get(request_id)
        if sent is None or sent.has_begun:
            return
        sent.has_begun = True
        work = sent.prefill_tokens + sent.queued_before
        passed_ms = (now_s - sent.sent_s) * 1000
        if sent.prefill_tokens >= MIN_MEASURED_TOKENS and passed_ms > 0:
            self.prefill_tokens_per_ms += RATE_WEIGHT * (
                work / passed_ms - self.prefill_tokens_per_ms
            )

    def record_ended(self, request_id: str) -> None:
        """Note that a request has ended."""
        self._sent_by_request.pop(request_id, None)

    def record_peer(self, node_id: str, load: PeerLoad, now_s: float) -> None:
        """Take what another node has outstanding here."""
        self._peers_by_node[node_id] = (load, now_s)

    def own(self) -> PeerLoad:
        """Return what this node has outstanding, to tell its peers."""
        return PeerLoad(
            requests=len(self._sent_by_request),
            prefill_tokens=sum(
                sent.prefill_tokens
                for sent in self._sent_by_request.values()
                if not sent.has_begun
            ),
            kv_tokens=sum(sent.kv_tokens for sent in self._sent_by_request.values()),
        )

    def requests(self, now_s: float) -> int:
        """Return the number of outstanding requests of all known nodes."""
        return len(self._sent_by_request) + sum(
            load.requests for load in self._fresh_peers(now_s)
        )

    def prefill_tokens(self, now_s: float) -> int:
        """Return the prompt tokens that are still to be computed."""
        return self.own().prefill_tokens + sum(
            load.prefill_tokens for load in self._fresh_peers(now_s)
        )

    def kv_tokens(self, now_s: float) -> int:
        """Return the tokens that running requests hold in memory."""
        return self.own().kv_tokens + sum(
            load.kv_tokens for load in self._fresh_peers(now_s)
        )

    def wait_ms(self, now_s: float) -> float:
        """Return the expected time before a further prompt is begun."""
        return self.prefill_tokens(now_s) / max(1.0, self.prefill_tokens_per_ms)

    def _fresh_peers(self, now_s: float) -> list[PeerLoad]:
        return [
            load
            for load, told_s in self._peers_by_node.values()
            if now_s - told_s < PEER_LOAD_LIFETIME_S
        ]
