"""Quarantine of prompt segments that crash the replicas that answer requests with them.

Requests that share such a segment differ, and each is lost at one crash or two. The
segment is to blame if replicas crash one after the other under requests with it, while
none of these is answered. Other segments of these requests, and requests that ran at the
same replicas, are lost at the same crashes, but are answered elsewhere in the meantime.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from crocuswick.errors import Refusal
from crocuswick.quarantine import QUARANTINE_STEP, REPORT_LIFETIME_S

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

__all__ = ["LostRequest", "SegmentQuarantine"]

CRASHES_TO_REFUSE = 3
"""Crashes, one after the other, after which a segment is refused."""

CRASHES_TO_REFUSE_KNOWN = 5
"""The same for a segment with which requests were answered before."""

MIN_REQUESTS = 2
"""Different requests that must have been lost. Retries of one request are left to the
quarantine of whole requests."""

CRASHES_TO_SHARE = 2
"""Crashes after which peers are told that requests with a segment are answered, before
they can refuse it."""

MAX_CRASHES = 128
"""Maximum number of crashed replicas stored; the oldest are evicted."""

MAX_SEGMENTS_PER_CRASH = 256
MAX_ANSWERED = 8_192
"""Maximum number of segments whose last answer is stored."""


@attrs.frozen(kw_only=True)
class LostRequest:
    """A request whose connection to a replica was lost."""

    fingerprint: str
    """Fingerprint that all retries of the request share."""

    segments: tuple[str, ...]
    """Keys of the prompt segments that it may share with others, in order."""

    sent_s: float
    """Monotonic time at which the attempt began."""

    lost_s: float
    """Monotonic time of the loss."""

    has_begun: bool = False
    """Whether an event of the answer had arrived."""

    is_from_peer: bool = False
    """Whether a peer has lost it."""


@attrs.frozen(kw_only=True)
class _Loss:
    """The request with a segment that was lost at a crash."""

    fingerprint: str
    sent_s: float
    lost_s: float


class SegmentQuarantine:
    """Losses and answers by prompt segment; not thread-safe, has a single owner."""

    def __init__(self):
        self._segments_by_incarnation: OrderedDict[str, set[str]] = OrderedDict()
        self._losses_by_segment: dict[str, dict[str, _Loss]] = {}
        """For each segment, the loss at each crashed replica."""

        self._answered_s_by_segment: OrderedDict[str, float] = OrderedDict()
        self._shared_s_by_segment: dict[str, float] = {}
        """When the last answer that peers know of arrived."""

        self._refused_until_s_by_segment: dict[str, float] = {}

    def add(self, incarnation: str, lost: LostRequest, *, now_s: float) -> None:
        """Add a request that was lost when a replica crashed.

        Args:
            incarnation: The replica.
            lost: The request.
            now_s: Monotonic time.
        """
        if not lost.segments or now_s - lost.lost_s >= REPORT_LIFETIME_S:
            return
        known = self._segments_by_incarnation.setdefault(incarnation, set())
        if len(known) + len(lost.segments) > MAX_SEGMENTS_PER_CRASH:
            return
        known.update(lost.segments)
        loss = _Loss(
            fingerprint=lost.fingerprint, sent_s=lost.sent_s, lost_s=lost.lost_s
        )
        for segment in lost.segments:
            losses = self._losses_by_segment.setdefault(segment, {})
            before = losses.get(incarnation)
            if before is None or before.sent_s < loss.sent_s:
                losses[incarnation] = loss
        self._evict_oldest()
        self._judge(lost.segments, now_s)

    def record_answered(
        self, segments: Iterable[str], answered_s: float, *, is_from_peer: bool = False
    ) -> None:
        """Record a complete answer to a request, which shows that its segments are sound.

        Args:
            segments: Keys of the request's shared segments.
            answered_s: Monotonic time of the answer.
            is_from_peer: Whether a peer has told of it.
        """
        for segment in segments:
            before_s = self._answered_s_by_segment.get(segment, float("-inf"))
            self._answered_s_by_segment[segment] = max(before_s, answered_s)
            self._answered_s_by_segment.move_to_end(segment)
            if is_from_peer:
                self._set_shared(segment, answered_s)
            if segment in self._refused_until_s_by_segment and self._is_cleared(
                segment
            ):
                del self._refused_until_s_by_segment[segment]
        while len(self._answered_s_by_segment) > MAX_ANSWERED:
            self._answered_s_by_segment.popitem(last=False)

    def take_answered(self, segments: Iterable[str]) -> dict[str, float]:
        """Return those segments whose last answer the peers should be told of.

        They are returned once.

        Args:
            segments: Keys of segments.

        Returns:
            Monotonic time of the answer by segment.
        """
        if not self._losses_by_segment:
            return {}
        answered_s_by_segment = {
            segment: self._answered_s_by_segment[segment]
            for segment in segments
            if self._must_share(segment)
        }
        for segment, answered_s in answered_s_by_segment.items():
            self._set_shared(segment, answered_s)
        return answered_s_by_segment

    def check(self, segments: Iterable[str], *, now_s: float) -> Refusal | None:
        """Return a refusal if one of the segments crashes replicas.

        Args:
            segments: Keys of the request's shared segments.
            now_s: Monotonic time.
        """
        if not self._refused_until_s_by_segment:
            return None
        for segment in segments:
            until_s = self._refused_until_s_by_segment.get(segment)
            if until_s is None:
                continue
            if now_s < until_s:
                crashed = self._losses_by_segment.get(segment, {})
                return _refusal(segment, crashed, until_s - now_s)
            del self._refused_until_s_by_segment[segment]
        return None

    def explains(self, incarnation: str) -> bool:
        """Return whether a replica crashed under a request with a refused segment."""
        return any(
            incarnation in self._losses_by_segment.get(segment, {})
            for segment in self._refused_until_s_by_segment
        )

    def suspects(self, segments: Iterable[str]) -> list[str]:
        """Return those segments that are refused, or would be after another crash."""
        return [
            segment
            for segment in segments
            if segment in self._refused_until_s_by_segment
            or self._count(segment) >= self._needed(segment) - 1
        ]

    def backing(self) -> set[tuple[str, str]]:
        """Return fingerprint and replica of the last losses because of which segments are
        refused."""
        return {
            (loss.fingerprint, incarnation)
            for segment in self._refused_until_s_by_segment
            for incarnation, loss in sorted(
                self._losses_by_segment.get(segment, {}).items(),
                key=lambda item: item[1].lost_s,
            )[-CRASHES_TO_REFUSE_KNOWN:]
        }

    def _judge(self, segments: Sequence[str], now_s: float) -> None:
        """Refuse the most likely culprit among segments that were lost at a crash."""
        for segment in segments:
            if segment in self._refused_until_s_by_segment:
                self._refuse(segment, now_s)
                return
        suspects = [segment for segment in segments if self._is_to_blame(segment)]
        if suspects:
            # Later segments are shared by fewer requests, most of them harmful if one is.
            culprit = max(
                suspects,
                key=lambda segment: (
                    self._count(segment),
                    segment not in self._answered_s_by_segment,
                    segments.index(segment),
                ),
            )
            self._refuse(culprit, now_s)

    def _is_to_blame(self, segment: str) -> bool:
        """Whether a segment explains crashes that refused segments don't, or more."""
        needed = self._needed(segment)
        count = self._count(segment)
        if count < needed:
            return False
        rivals = self._rivals(segment)
        if all(self._count(rival) < count for rival in rivals):
            return True
        explained = {
            incarnation
            for rival in rivals
            for incarnation in self._losses_by_segment[rival]
        }
        return self._count(segment, excluded=explained) >= needed

    def _refuse(self, segment: str, now_s: float) -> None:
        losses = self._losses_by_segment[segment]
        last_s = max((loss.lost_s for loss in losses.values()), default=now_s)
        self._refused_until_s_by_segment[segment] = last_s + REPORT_LIFETIME_S
        for rival in self._rivals(segment):
            if self._count(rival, excluded=losses) < self._needed(rival):
                del self._refused_until_s_by_segment[rival]

    def _rivals(self, segment: str) -> list[str]:
        """Return the other refused segments that were lost at the same crashes."""
        losses = self._losses_by_segment.get(segment, {})
        return [
            refused
            for refused in self._refused_until_s_by_segment
            if refused != segment
            and not losses.keys().isdisjoint(self._losses_by_segment.get(refused, {}))
        ]

    def _needed(self, segment: str) -> int:
        is_known = segment in self._answered_s_by_segment
        return CRASHES_TO_REFUSE_KNOWN if is_known else CRASHES_TO_REFUSE

    def _count(self, segment: str, *, excluded: Collection[str] = ()) -> int:
        """Return how many replicas crashed one after the other since the last answer.

        Replicas that crash together fail for another reason: a crash counts only if its
        request was sent after the crash before it.
        """
        answered_s = self._answered_s_by_segment.get(segment, float("-inf"))
        losses = [
            loss
            for incarnation, loss in self._losses_by_segment.get(segment, {}).items()
            if incarnation not in excluded and loss.lost_s > answered_s
        ]
        if len({loss.fingerprint for loss in losses}) < MIN_REQUESTS:
            return 0
        count = 0
        crashed_s = float("-inf")
        for loss in sorted(losses, key=lambda loss: loss.lost_s):
            if loss.sent_s >= crashed_s:
                count += 1
                crashed_s = loss.lost_s
        return count

    def _is_cleared(self, segment: str) -> bool:
        """Whether a request with a segment was answered after its last loss."""
        answered_s = self._answered_s_by_segment.get(segment, float("-inf"))
        losses = self._losses_by_segment.get(segment, {})
        return all(loss.lost_s <= answered_s for loss in losses.values())

    def _must_share(self, segment: str) -> bool:
        answered_s = self._answered_s_by_segment.get(segment)
        losses = self._losses_by_segment.get(segment)
        if answered_s is None or not losses:
            return False
        shared_s = self._shared_s_by_segment.get(segment, float("-inf"))
        crashes = sum(shared_s < loss.lost_s <= answered_s for loss in losses.values())
        return crashes >= CRASHES_TO_SHARE

    def _set_shared(self, segment: str, answered_s: float) -> None:
        if segment in self._losses_by_segment:
            before_s = self._shared_s_by_segment.get(segment, float("-inf"))
            self._shared_s_by_segment[segment] = max(before_s, answered_s)

    def _evict_oldest(self) -> None:
        while len(self._segments_by_incarnation) > MAX_CRASHES:
            incarnation, segments = self._segments_by_incarnation.popitem(last=False)
            for segment in segments:
                losses = self._losses_by_segment[segment]
                losses.pop(incarnation, None)
                if not losses:
                    del self._losses_by_segment[segment]
                    self._shared_s_by_segment.pop(segment, None)


def _refusal(segment: str, crashed: Collection[str], retry_after_s: float) -> Refusal:
    endpoints = ", ".join(sorted(crashed))
    return Refusal(
        status=422,
        title="prompt segment crashed endpoints",
        detail=(
            f"Requests with the prompt segment {segment} crashed {endpoints}; "
            "requests with it will not be run."
        ),
        step=QUARANTINE_STEP,
        retry_after_s=retry_after_s,
    )
