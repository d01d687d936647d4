"""Replicas that may take a request now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crocuswick.boot_clock import boot_clock_s
from crocuswick.relay.candidate import Candidate

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from crocuswick.relay.prompt_tracker import PromptTracker
    from crocuswick.relay.relay_request import RoutedRequest
    from crocuswick.relay.replica import Replica
    from crocuswick.relay.replica_health import ReplicaHealth
    from crocuswick.relay.replica_table import ReplicaTable
    from crocuswick.relay.weights_table import WeightsTable

__all__ = ["UsableCandidates"]

WEIGHTS_TIME_SHARE = 0.8
"""Share of the maximum age of outdated weights after which replicas that serve them
get no more requests: a request may begin as late as 1.5 s after it was sent."""

WEIGHTS_LOAD_S = 1.0
"""Time in which outdated weights are expected to be replaced. Once that has taken
longer, it is expected to take as long again."""

QUEUE_TIME_FACTOR = 1.5
"""Multiple of an engine's expected queueing time after which a request is assumed to
have begun. The queue takes longer than expected after another engine has failed."""


class UsableCandidates:
    """Finds the replicas that may take a request, in state that the dispatcher updates.

    Args:
        table: Replicas by service.
        weights: Weights that replicas serve.
        tracker: Load of the replicas.
        health_by_incarnation: Health, created for an incarnation that has none.
        loading_until_s: Monotonic time until which incarnations load weights.
        weights_ms: Maximum age of outdated weights.
    """

    def __init__(
        self,
        *,
        table: ReplicaTable,
        weights: WeightsTable,
        tracker: PromptTracker,
        health_by_incarnation: Mapping[str, ReplicaHealth],
        loading_until_s: Mapping[str, float],
        weights_ms: int,
    ):
        self._table = table
        self._weights = weights
        self._tracker = tracker
        self._health_by_incarnation = health_by_incarnation
        self._loading_until_s = loading_until_s
        self.weights_ms = weights_ms

    @property
    def weights_limit_s(self) -> float:
        """Age of outdated weights at which an engine gets no more requests."""
        return WEIGHTS_TIME_SHARE * self.weights_ms / 1000

    def find(
        self, request: RoutedRequest, tried: Sequence[str], now_s: float
    ) -> tuple[list[Candidate], float | None]:
        """Return the usable replicas and the time until another becomes usable.

        The time in seconds is None if no further replica is expected.
        """
        candidates = []
        ready_in_s: float | None = None
        for replica in self._table.usable(request.service, now_s):
            incarnation = replica.incarnation
            if incarnation in tried:
                continue
            loading_s = self._loading_until_s.get(incarnation, 0.0) - now_s
            paused_s = self._health_by_incarnation[incarnation].paused_for_s(now_s)
            unavailable_s = max(loading_s, paused_s)
            if unavailable_s > 0:
                ready_in_s = min(unavailable_s, ready_in_s or unavailable_s)
                continue
            candidate = self._candidate(request, replica, now_s)
            if self._is_too_old(candidate, request):
                overdue_s = candidate.weights_age_s - self.weights_limit_s
                load_s = max(WEIGHTS_LOAD_S, overdue_s)
                ready_in_s = min(load_s, ready_in_s or load_s)
                continue
            candidates.append(candidate)
        return candidates, ready_in_s

    def _candidate(
        self, request: RoutedRequest, replica: Replica, now_s: float
    ) -> Candidate:
        weights_version = age_s = None
        prompt = request.caller.prompt
        if prompt is not None:
            weights_version = self._weights.served(replica.incarnation, prompt.model)
            outdated_since_s = self._weights.outdated_since(
                prompt.model, weights_version
            )
            if outdated_since_s is not None:
                age_s = boot_clock_s() - outdated_since_s
        return Candidate(
            replica=replica,
            load=self._tracker.load(replica.incarnation),
            health=self._health_by_incarnation[replica.incarnation],
            weights_version=weights_version,
            weights_age_s=age_s,
        )

    def _is_too_old(self, candidate: Candidate, request: RoutedRequest) -> bool:
        """Whether the weights may exceed their maximum age when the request begins."""
        if candidate.weights_age_s is None:
            return False
        load = candidate.load
        prompt = request.caller.prompt
        prompt_tokens = prompt.prompt_tokens if prompt is not None else 0
        queue_s = (load.prefill_tokens + prompt_tokens) / load.rate / 1000
        begin_age_s = candidate.weights_age_s + QUEUE_TIME_FACTOR * queue_s
        return begin_age_s >= self.weights_limit_s
