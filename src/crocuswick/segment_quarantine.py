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
    from collections.abc import Callable, Collection, Iterable, Mapping

__all__ = [
    "CRASHES_TO_REFUSE",
    "LostRequest",
    "SegmentQuarantine",
    "SegmentVerdict",
]

CRASHES_TO_REFUSE = 3
"""Crashes, one after the other, after which a segment is refused."""

CRASHES_TO_REFUSE_KNOWN = 5
"""The same for a segment with which requests were answered before."""

EXTRA_CRASHES_OF_BURST = 2
"""Additional crashes needed if some came together, as under a burst of requests."""

MIN_REQUESTS = 2
"""Different requests that must have been lost. Retries of one request are left to the
quarantine of whole requests."""

CRASHES_TO_SHARE = 2
"""Crashes after which peers are told that requests with a segment are answered, before
they can refuse it."""

SHARE_FOR_S = 60.0
"""Time after a segment's last crash in which peers are told again and again that requests
with it are answered. Nodes that start, or that were not told of all crashes, may blame
another segment than their peers do."""

SHARE_INTERVAL_S = 2.0
"""Interval at which peers are told, by any node."""

MAX_CRASHES = 64
"""Maximum number of crashed replicas stored; the oldest are evicted."""

MAX_SEGMENTS_PER_CRASH = 1_024
MAX_CHANGES = 64
"""Maximum number of changes kept for the log."""

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
    """The last request with a segment that was lost at a crash."""

    fingerprint: str
    sent_s: float
    lost_s: float
    first_sent_s: float
    """Monotonic time at which the first request with the segment was sent, of those that
    were lost at the crash."""

    index: int
    """Position of the segment in the prompt."""


@attrs.frozen(kw_only=True)
class SegmentVerdict:
    """A change of what is known of a segment."""

    segment: str
    is_refused: bool
    crashed: tuple[str, ...] = ()
    """Replicas that crashed under requests with it."""


class SegmentQuarantine:
    """Losses and answers by prompt segment; not thread-safe, has a single owner."""

    def __init__(
        self,
        *,
        count_crashes: Callable[[Mapping[str, float]], Collection[str]] = tuple,
    ):
        """Create an empty quarantine.

        Args:
            count_crashes: Takes the replicas that crashed under requests, with the
                monotonic time at which these were sent, and returns the replicas whose
                crashes count as evidence.
        """
        self._count_crashes = count_crashes
        self._segments_by_incarnation: OrderedDict[str, set[str]] = OrderedDict()
        self._losses_by_segment: dict[str, dict[str, _Loss]] = {}
        """For each segment, the loss at each crashed replica."""

        self._answered_s_by_segment: OrderedDict[str, float] = OrderedDict()
        self._shared_s_by_segment: dict[str, float] = {}
        """When the last answer that peers know of arrived."""

        self._refused_until_s_by_segment: dict[str, float] = {}
        self._changes: list[SegmentVerdict] = []

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
        for index, segment in enumerate(lost.segments):
            loss = _Loss(
                fingerprint=lost.fingerprint,
                sent_s=lost.sent_s,
                lost_s=lost.lost_s,
                first_sent_s=lost.sent_s,
                index=index,
            )
            losses = self._losses_by_segment.setdefault(segment, {})
            before = losses.get(incarnation, loss)
            last = max(before, loss, key=lambda each: each.sent_s)
            losses[incarnation] = attrs.evolve(
                last, first_sent_s=min(before.first_sent_s, lost.sent_s)
            )
        self._evict_oldest()
        if any(
            len(self._losses_by_segment.get(segment, ())) >= CRASHES_TO_REFUSE
            for segment in lost.segments
        ):
            self._judge(now_s)

    def record_answered(
        self, segments: Iterable[str], answered_s: float, *, is_from_peer: bool = False
    ) -> None:
        """Record a complete answer to a request, which shows that its segments are sound.

        Args:
            segments: Keys of the request's shared segments.
            answered_s: Monotonic time of the answer.
            is_from_peer: Whether a peer has told of it.
        """
        is_refused = False
        for segment in segments:
            before_s = self._answered_s_by_segment.get(segment, float("-inf"))
            self._answered_s_by_segment[segment] = max(before_s, answered_s)
            self._answered_s_by_segment.move_to_end(segment)
            if is_from_peer:
                self._set_shared(segment, answered_s)
            is_refused = is_refused or segment in self._refused_until_s_by_segment
        if is_refused:
            self._judge(answered_s)
        while len(self._answered_s_by_segment) > MAX_ANSWERED:
            self._answered_s_by_segment.popitem(last=False)

    def take_answered(self, segments: Iterable[str]) -> dict[str, float]:
        """Return those segments whose last answer the peers should be told of now.

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

    def take_changes(self) -> list[SegmentVerdict]:
        """Return the changes since the last call, for the log."""
        changes, self._changes = self._changes, []
        return changes

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
            or self._sequential_crashes(segment) >= self._needed(segment) - 1
        ]

    def answered(self) -> dict[str, float]:
        """Return when segments that were lost at crashes were last answered.

        Returns:
            Monotonic time by segment, of those that were answered.
        """
        return {
            segment: self._answered_s_by_segment[segment]
            for segment, losses in self._losses_by_segment.items()
            if segment in self._answered_s_by_segment
            and len(losses) >= CRASHES_TO_SHARE
        }

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

    def _judge(self, now_s: float) -> None:
        """Find the fewest segments that explain the crashes, and refuse them.

        The outcome doesn't depend on the order in which losses became known.
        """
        explained: set[str] = set()
        refused_until_s_by_segment: dict[str, float] = {}
        while (culprit := self._culprit(explained)) is not None:
            losses = self._losses_by_segment[culprit]
            last_s = max(loss.lost_s for loss in losses.values())
            refused_until_s_by_segment[culprit] = last_s + REPORT_LIFETIME_S
            explained.update(losses)
        for segment, until_s in self._refused_until_s_by_segment.items():
            # Its losses may have been evicted.
            if segment not in self._losses_by_segment and until_s > now_s:
                refused_until_s_by_segment[segment] = until_s
        self._note_changes(refused_until_s_by_segment)
        self._refused_until_s_by_segment = refused_until_s_by_segment

    def _note_changes(self, refused_until_s_by_segment: Mapping[str, float]) -> None:
        before = self._refused_until_s_by_segment.keys()
        after = refused_until_s_by_segment.keys()
        for segment in sorted(before ^ after):
            verdict = SegmentVerdict(
                segment=segment,
                is_refused=segment in after,
                crashed=tuple(sorted(self._losses_by_segment.get(segment, ()))),
            )
            self._changes.append(verdict)
        del self._changes[:-MAX_CHANGES]

    def _culprit(self, explained: Collection[str]) -> str | None:
        """Return the segment that explains most of the crashes that are not explained."""
        suspects = [
            segment
            for segment, losses in self._losses_by_segment.items()
            if len(losses) >= CRASHES_TO_REFUSE
            and self._total_crashes(segment, excluded=explained)
            >= self._needed(segment)
        ]
        proven = [
            segment for segment in suspects if self._is_proven(segment, explained)
        ]
        if not proven:
            return None
        crashed = set().union(*(self._losses_by_segment[each] for each in proven))
        # Requests with the culprit may have overlapped, while those beside them did not.
        overlapping = [
            segment
            for segment in suspects
            if not crashed.isdisjoint(self._losses_by_segment[segment])
        ]
        return max(overlapping, key=lambda each: self._likelihood(each, explained))

    def _is_proven(self, segment: str, explained: Collection[str]) -> bool:
        needed = self._needed(segment)
        count = self._sequential_crashes(segment, excluded=explained)
        crashes = self._total_crashes(segment, excluded=explained)
        is_burst = count > 1 and crashes >= needed + EXTRA_CRASHES_OF_BURST
        return count >= needed or is_burst

    def _likelihood(self, segment: str, explained: Collection[str]) -> tuple:
        losses = self._losses_by_segment[segment].values()
        return (
            self._total_crashes(segment, excluded=explained),
            segment not in self._answered_s_by_segment,
            # Later segments are shared by fewer requests, most of them harmful if one is.
            max(loss.index for loss in losses),
            segment,
        )

    def _needed(self, segment: str) -> int:
        is_known = segment in self._answered_s_by_segment
        return CRASHES_TO_REFUSE_KNOWN if is_known else CRASHES_TO_REFUSE

    def _total_crashes(self, segment: str, *, excluded: Collection[str] = ()) -> int:
        """Return how many replicas crashed since the last answer, however close in time.

        Args:
            segment: The segment.
            excluded: Replicas that don't count.
        """
        return len(self._unanswered(segment, excluded))

    def _sequential_crashes(
        self, segment: str, *, excluded: Collection[str] = ()
    ) -> int:
        """Return how many replicas crashed one after the other since the last answer.

        Replicas that crash together fail for another reason: a crash counts only if its
        request was sent after the crash before it.

        Args:
            segment: The segment.
            excluded: Replicas that don't count.
        """
        count = 0
        crashed_s = float("-inf")
        losses = self._unanswered(segment, excluded)
        for loss in sorted(losses, key=lambda loss: loss.lost_s):
            if loss.sent_s >= crashed_s:
                count += 1
                crashed_s = loss.lost_s
        return count

    def _unanswered(self, segment: str, excluded: Collection[str]) -> list[_Loss]:
        """Return the losses since the last answer, none if they are of one request.

        Replicas that crashed together count once, and not at all if no other crashed.
        """
        answered_s = self._answered_s_by_segment.get(segment, float("-inf"))
        loss_by_incarnation = {
            incarnation: loss
            for incarnation, loss in self._losses_by_segment.get(segment, {}).items()
            if incarnation not in excluded and loss.lost_s > answered_s
        }
        requests = {loss.fingerprint for loss in loss_by_incarnation.values()}
        if len(requests) < MIN_REQUESTS:
            return []
        counted = self._count_crashes(
            {
                incarnation: loss.first_sent_s
                for incarnation, loss in loss_by_incarnation.items()
            }
        )
        return [loss_by_incarnation[incarnation] for incarnation in counted]

    def _must_share(self, segment: str) -> bool:
        answered_s = self._answered_s_by_segment.get(segment)
        losses = self._losses_by_segment.get(segment, {})
        if answered_s is None or len(losses) < CRASHES_TO_SHARE:
            return False
        last_s = max(loss.lost_s for loss in losses.values())
        if not last_s <= answered_s <= last_s + SHARE_FOR_S:
            return False
        shared_s = self._shared_s_by_segment.get(segment, float("-inf"))
        return shared_s < last_s or answered_s - shared_s >= SHARE_INTERVAL_S

    def _set_shared(self, segment: str, answered_s: float) -> None:
        if segment in self._losses_by_segment:
            before_s = self._shared_s_by_segment.get(segment, float("-inf"))
            self._shared_s_by_segment[segment] = max(before_s, answered_s)

    def _evict_oldest(self) -> None:
        while len(self._segments_by_incarnation) > MAX_CRASHES:
            incarnation = self._least_useful_crash()
            segments = self._segments_by_incarnation.pop(incarnation)
            for segment in segments:
                losses = self._losses_by_segment[segment]
                losses.pop(incarnation, None)
                if not losses:
                    del self._losses_by_segment[segment]
                    self._shared_s_by_segment.pop(segment, None)

    def _least_useful_crash(self) -> str:
        """Return the oldest crash that no refusal depends on, or the oldest one."""
        incarnations = list(self._segments_by_incarnation)
        unexplained = (each for each in incarnations if not self.explains(each))
        return next(unexplained, incarnations[0])


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
