"""Reports of requests that were lost when replicas crashed."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from crocuswick.gossip.messages import ReplicaCrashed, RequestLost
from crocuswick.quarantine import REPORT_LIFETIME_S
from crocuswick.segment_quarantine import CRASHES_TO_REFUSE, LostRequest

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = [
    "MAX_TOLD",
    "ConfirmedLoss",
    "CrashReportLog",
    "loss_message",
    "lost_by_peer",
    "to_ms",
]

MAX_TOLD = 64
"""Maximum number of recent reports of which a node that starts is told."""

MAX_STORED = 1
"""Maximum number of crashes stored for a request, fewer than refuse it."""

MAX_STORED_OF_SEGMENT = CRASHES_TO_REFUSE - 1
"""Maximum number of crashes stored for a segment, fewer than refuse it."""

MAX_REPORTS = 1_024
"""Maximum number of reports kept in memory."""

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class ConfirmedLoss:
    """A request that was lost at a confirmed crash of a replica."""

    lost: LostRequest
    incarnation: str
    confirmed_s: float
    """Monotonic time at which the crash was confirmed."""

    @classmethod
    def from_message(cls, crashed: ReplicaCrashed, now_s: float) -> ConfirmedLoss:
        """Return the report that a peer has sent, or that was read from the store."""
        confirmed_s = now_s - crashed.age_ms / _MS_PER_S
        lost_s = confirmed_s - crashed.lost_before_ms / _MS_PER_S
        return cls(
            lost=_peer_request(crashed, lost_s),
            incarnation=crashed.incarnation,
            confirmed_s=confirmed_s,
        )

    def message(self, now_s: float) -> ReplicaCrashed:
        """Return the report as a message to peers."""
        lost = self.lost
        return ReplicaCrashed(
            fingerprint=lost.fingerprint,
            incarnation=self.incarnation,
            age_ms=to_ms(now_s - self.confirmed_s),
            segments=list(lost.segments),
            has_begun=lost.has_begun,
            lost_before_ms=to_ms(self.confirmed_s - lost.lost_s),
            run_ms=to_ms(lost.lost_s - lost.sent_s),
        )


class CrashReportLog:
    """The reports that a node knows, for nodes that start and for the store."""

    def __init__(self):
        self._reports: OrderedDict[tuple[str, str], ConfirmedLoss] = OrderedDict()
        """By fingerprint and replica."""

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not self._reports

    def add(self, report: ConfirmedLoss, now_s: float) -> tuple[bool, bool]:
        """Add a report.

        Returns:
            Whether it is new, and whether it names segments that an earlier one lacked:
            reports from the store name one at most.
        """
        key = (report.lost.fingerprint, report.incarnation)
        known = self._reports.get(key)
        if known is None:
            self._reports[key] = report
            self._evict(now_s)
            return True, True
        segments = set(report.lost.segments)
        if segments <= set(known.lost.segments):
            return False, False
        if len(segments) > len(known.lost.segments):
            self._reports[key] = report
        return False, True

    def discard(self, fingerprint: str) -> None:
        """Remove the reports of identical requests, one of which was answered."""
        for key in [key for key in self._reports if key[0] == fingerprint]:
            del self._reports[key]

    def sent_s_by_incarnation(self, fingerprint: str) -> dict[str, float]:
        """Return when identical requests were sent to the replicas that crashed."""
        return {
            each.incarnation: each.lost.sent_s
            for each in self._all()
            if each.lost.fingerprint == fingerprint
        }

    def count(self, fingerprint: str) -> int:
        """Return how many replicas crashed under identical requests."""
        return sum(each.lost.fingerprint == fingerprint for each in self._all())

    def chosen(
        self, keys: Collection[tuple[str, str]], *, recent_since_s: float
    ) -> list[ConfirmedLoss]:
        """Return reports for a node that starts.

        Args:
            keys: Fingerprint and replica of reports that are returned in any case.
            recent_since_s: Monotonic time from which others are returned, at most
                `MAX_TOLD`.
        """
        recent = [
            key
            for key, report in self._reports.items()
            if report.confirmed_s > recent_since_s
        ]
        told = {*keys, *recent[-MAX_TOLD:]}
        return [report for key, report in self._reports.items() if key in told]

    def to_store(self, key: str, now_s: float) -> list[ReplicaCrashed]:
        """Return the last crashes under a request or a segment, for the store.

        Args:
            key: Fingerprint of the request or key of the segment.
            now_s: Monotonic time.
        """
        identical = [each for each in self._all() if each.lost.fingerprint == key]
        if identical:
            return [
                attrs.evolve(report.message(now_s), segments=[])
                for report in identical[-MAX_STORED:]
            ]
        last_by_incarnation = {
            each.incarnation: each for each in self._all() if key in each.lost.segments
        }
        return [
            attrs.evolve(report.message(now_s), segments=[key])
            for report in list(last_by_incarnation.values())[-MAX_STORED_OF_SEGMENT:]
        ]

    def _all(self) -> Collection[ConfirmedLoss]:
        return self._reports.values()

    def _evict(self, now_s: float) -> None:
        while self._reports:
            oldest = next(iter(self._all()))
            is_expired = now_s - oldest.confirmed_s >= REPORT_LIFETIME_S
            if not is_expired and len(self._reports) <= MAX_REPORTS:
                return
            self._reports.popitem(last=False)


def lost_by_peer(peer_loss: RequestLost, now_s: float) -> LostRequest:
    """Return the request that a peer has lost."""
    return _peer_request(peer_loss, now_s - peer_loss.age_ms / _MS_PER_S)


def loss_message(lost: LostRequest, incarnation: str, now_s: float) -> RequestLost:
    """Return a loss that is not confirmed yet as a message to peers."""
    return RequestLost(
        fingerprint=lost.fingerprint,
        incarnation=incarnation,
        age_ms=to_ms(now_s - lost.lost_s),
        segments=list(lost.segments),
        has_begun=lost.has_begun,
        run_ms=to_ms(lost.lost_s - lost.sent_s),
    )


def to_ms(duration_s: float) -> int:
    """Return a duration in whole milliseconds, at least 0."""
    return max(0, round(duration_s * _MS_PER_S))


def _peer_request(message: RequestLost | ReplicaCrashed, lost_s: float) -> LostRequest:
    return LostRequest(
        fingerprint=message.fingerprint,
        segments=tuple(message.segments),
        sent_s=lost_s - message.run_ms / _MS_PER_S,
        lost_s=lost_s,
        has_begun=message.has_begun,
        is_from_peer=True,
    )
