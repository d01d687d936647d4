"""Refusal of requests that crash the replicas that run them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crocuswick.gossip.messages import ReplicaCrashed
from crocuswick.quarantine import CrashReport, Quarantine, request_fingerprint
from crocuswick.relay.crash_attribution import CrashAttribution, LostRequest
from crocuswick.relay.replica_health import AttemptResult

if TYPE_CHECKING:
    from crocuswick.errors import Refusal
    from crocuswick.relay.relay_request import RoutedRequest

__all__ = ["PoisonGuard"]


class PoisonGuard:
    """Attributes crashes to requests and refuses those that crashed replicas."""

    def __init__(self):
        self._quarantine = Quarantine()
        self._attribution = CrashAttribution()

    def check(self, request: RoutedRequest, now_s: float) -> Refusal | None:
        """Return the refusal of a request that crashed replicas, None for others."""
        if self._quarantine.is_empty:
            return None
        checked = self._quarantine.check(_fingerprint(request), now_s=now_s)
        return checked.err_value if checked.is_err() else None

    def attempt_ended(
        self,
        request: RoutedRequest,
        incarnation: str,
        result: AttemptResult,
        *,
        is_lost_before_answer: bool,
        now_s: float,
    ) -> list[ReplicaCrashed]:
        """Record the result of an attempt.

        Args:
            request: The request.
            incarnation: The replica.
            result: How the attempt ended.
            is_lost_before_answer: Whether the connection was lost before the first
                event of a stream or the end of another answer.
            now_s: Monotonic time.

        Returns:
            The crashes to broadcast to the peers.
        """
        if result is AttemptResult.UNREACHABLE:
            return self.replica_ended(incarnation, now_s)
        # A silent replica is cut off or hung more often than crashed.
        if result is AttemptResult.FAILED and is_lost_before_answer:
            prompt = request.caller.prompt
            lost = LostRequest(
                fingerprint=_fingerprint(request),
                segments=prompt.shared_keys if prompt else (),
                lost_s=now_s,
            )
            self._attribution.record_loss(lost, incarnation)
        elif result is AttemptResult.ANSWERED:
            self.replica_answered(incarnation, now_s)
            if not self._quarantine.is_empty:
                self._quarantine.clear(_fingerprint(request))
        return []

    def replica_answered(self, incarnation: str, now_s: float) -> None:
        """Record that a replica has answered this node or a peer."""
        self._attribution.record_answered(incarnation, now_s)

    def replica_ended(self, incarnation: str, now_s: float) -> list[ReplicaCrashed]:
        """Record that a replica is down or has restarted.

        Returns:
            The crashes to broadcast to the peers.
        """
        lost_by_fingerprint = {
            lost.fingerprint: lost
            for lost in self._attribution.confirm(incarnation, now_s)
        }
        reports = [
            CrashReport(fingerprint=fingerprint, endpoint_id=incarnation)
            for fingerprint in lost_by_fingerprint
        ]
        return [
            ReplicaCrashed(
                fingerprint=report.fingerprint,
                incarnation=incarnation,
                segments=list(lost_by_fingerprint[report.fingerprint].segments),
            )
            for report in self._quarantine.add(reports, now_s=now_s)
        ]

    def record_peer_crash(self, crashed: ReplicaCrashed, now_s: float) -> bool:
        """Record a crash that a peer has observed.

        Returns:
            Whether it is new to this node.
        """
        report = CrashReport(
            fingerprint=crashed.fingerprint,
            endpoint_id=crashed.incarnation,
            age_ms=crashed.age_ms,
        )
        return bool(self._quarantine.add([report], now_s=now_s))

    def crashes(self, now_s: float) -> list[ReplicaCrashed]:
        """Return the crashes by refused requests, for a node that has just started."""
        return [
            ReplicaCrashed(
                fingerprint=report.fingerprint,
                incarnation=report.endpoint_id,
                age_ms=report.age_ms,
            )
            for report in self._quarantine.refused(now_s=now_s)
        ]


def _fingerprint(request: RoutedRequest) -> str:
    """Return the fingerprint that all retries of a request share, at any node."""
    caller = request.caller
    return request_fingerprint(
        organisation=request.organisation.name if request.organisation else "",
        model=f"{caller.method} {caller.host}{caller.target}",
        body=caller.body,
    )
