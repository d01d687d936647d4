"""Refusal of requests that crash the replicas that run them."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from crocuswick.gossip.messages import ReplicaCrashed, RequestLost, RequestsAnswered
from crocuswick.joint_crashes import JointCrashes
from crocuswick.quarantine import (
    CrashReport,
    Quarantine,
    request_fingerprint,
)
from crocuswick.relay.crash_attribution import CrashAttribution
from crocuswick.relay.crash_reports import (
    MAX_TOLD,
    ConfirmedLoss,
    CrashReportLog,
    loss_message,
    lost_by_peer,
    to_ms,
)
from crocuswick.relay.replica_health import AttemptResult
from crocuswick.relay.unframed_answers import EndedAnswer, UnframedAnswers
from crocuswick.segment_quarantine import (
    LostRequest,
    SegmentQuarantine,
    SegmentVerdict,
)
from crocuswick.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from crocuswick.errors import Refusal
    from crocuswick.gossip.messages import GossipMessage
    from crocuswick.relay.relay_request import RoutedRequest

__all__ = ["PoisonGuard"]

CRASHES_TO_REFUSE = 2
"""Different replicas that must have crashed under identical requests."""

CRASHES_TO_REFUSE_BEGUN = 3
"""The same if some of the answers had begun. Requests whose answers go on for long run at
many crashes that they don't cause."""

LOSSES_PER_S = 10.0
"""Lost requests per second of which peers are told before a crash is confirmed. A faulty
replica may lose far more."""

FLEET_ANSWERS_PER_S = 14.0
"""Messages about sound segments per second, of all nodes together."""

RECENT_S = 60.0
"""Age up to which nodes that start are told of crashes because of which nothing is
refused yet."""

_MS_PER_S = 1000


class PoisonGuard:
    """Attributes crashes to requests and refuses those that crash replicas.

    Requests are refused if identical ones crashed replicas, or others with which they share
    a segment of their prompts. Replicas that crash together count once at most.
    """

    def __init__(self):
        self._quarantine = Quarantine(crashes_to_refuse=CRASHES_TO_REFUSE)
        self._quarantine_of_begun = Quarantine(
            crashes_to_refuse=CRASHES_TO_REFUSE_BEGUN
        )
        """Counts crashes under answers that had begun, too."""

        self._joint_crashes = JointCrashes()
        self._segments = SegmentQuarantine(count_crashes=self._joint_crashes.counted)
        self._attribution = CrashAttribution()
        self._reports = CrashReportLog()

        self._unstored: set[str] = set()
        """Fingerprints and segments of which more crashes are known than stored."""

        self._unframed = UnframedAnswers()
        self._losses = TokenBucket(rate_per_s=LOSSES_PER_S, now_s=0.0)
        self._answers = TokenBucket(rate_per_s=FLEET_ANSWERS_PER_S, now_s=0.0)

    def set_node_count(self, count: int, now_s: float) -> None:
        """Divide the messages about sound segments among the nodes of the fleet."""
        self._answers.set_rate(FLEET_ANSWERS_PER_S / count, now_s=now_s)

    def check(self, request: RoutedRequest, now_s: float) -> Refusal | None:
        """Return the refusal of a request that crashes replicas, None for others."""
        if self._reports.is_empty:
            return None
        prompt = request.caller.prompt
        if prompt is not None:
            refusal = self._segments.check(prompt.shared_keys, now_s=now_s)
            if refusal is not None:
                return refusal
        fingerprint = _fingerprint(request)
        is_explained = partial(self._is_explained, fingerprint)
        for quarantine in (self._quarantine, self._quarantine_of_begun):
            checked = quarantine.check(
                fingerprint, now_s=now_s, is_explained=is_explained
            )
            if checked.is_err():
                return checked.err_value
        return None

    def attempt_ended(
        self,
        request: RoutedRequest,
        incarnation: str,
        result: AttemptResult,
        *,
        is_lost_before_answer: bool,
        now_s: float,
        has_begun: bool = False,
        sent_s: float | None = None,
        is_success: bool = True,
        is_framed: bool = True,
    ) -> list[GossipMessage]:
        """Record the result of an attempt.

        Args:
            request: The request.
            incarnation: The replica.
            result: How the attempt ended.
            is_lost_before_answer: Whether the connection was lost before the first
                event of a stream or the end of another answer.
            now_s: Monotonic time.
            has_begun: Whether the connection was lost after the first event of a stream.
            sent_s: Monotonic time at which the attempt began.
            is_success: Whether the answer has the status of a success.
            is_framed: Whether the answer tells its end. Otherwise an answer that is
                broken off may look complete.

        Returns:
            The messages to broadcast to the peers.
        """
        if result is AttemptResult.UNREACHABLE:
            return self.replica_ended(incarnation, now_s)
        sent_s = now_s if sent_s is None else sent_s
        is_lost = is_lost_before_answer or has_begun
        # A silent replica is cut off or hung more often than crashed.
        if result is AttemptResult.FAILED and is_lost:
            lost = _lost_request(request, sent_s, now_s, has_begun=has_begun)
            self._record_loss(lost, incarnation)
            return self._share_loss(lost, incarnation, now_s)
        if result is AttemptResult.ANSWERED:
            answer = EndedAnswer(
                request=request,
                incarnation=incarnation,
                sent_s=sent_s,
                ended_s=now_s,
                is_success=is_success,
            )
            return self._answer_ended(answer, is_framed=is_framed)
        return []

    def replica_answered(self, incarnation: str, now_s: float) -> None:
        """Record that a replica has answered this node or a peer."""
        self._attribution.record_answered(incarnation, now_s)
        self._joint_crashes.record_answered(incarnation, now_s)

    def replica_ended(self, incarnation: str, now_s: float) -> list[GossipMessage]:
        """Record that a replica is down or has restarted.

        Returns:
            The messages to broadcast to the peers.
        """
        messages: list[GossipMessage] = []
        # Answers that ended with their connections may have been broken off.
        for answer in self._unframed.take_of(incarnation):
            lost = _lost_request(
                answer.request, answer.sent_s, answer.ended_s, has_begun=True
            )
            self._record_loss(lost, incarnation)
        for lost in self._attribution.confirm(incarnation, now_s):
            report = ConfirmedLoss(
                lost=lost, incarnation=incarnation, confirmed_s=now_s
            )
            # Peers that know of the loss confirm the crash themselves.
            if self._add(report, now_s) and not lost.is_from_peer:
                messages.append(report.message(now_s))
            messages += self._share_answers(lost.segments, now_s)
        return messages

    def record_peer_loss(self, peer_loss: RequestLost, now_s: float) -> None:
        """Record a request that a peer has lost at a replica that may have crashed."""
        lost = lost_by_peer(peer_loss, now_s)
        self._record_loss(lost, peer_loss.incarnation)

    def record_peer_crash(self, crashed: ReplicaCrashed, now_s: float) -> bool:
        """Record a crash that a peer has observed.

        Returns:
            Whether it is new to this node.
        """
        report = ConfirmedLoss.from_message(crashed, now_s)
        return self._add(report, now_s)

    def take_verdicts(self) -> list[SegmentVerdict]:
        """Return which segments are refused, or no longer, since the last call."""
        return self._segments.take_changes()

    def record_peer_answers(self, answered: RequestsAnswered, now_s: float) -> None:
        """Record that a peer has received answers to requests with some segments."""
        for segment, age_ms in answered.ages_ms_by_segment.items():
            self._segments.record_answered(
                [segment], now_s - age_ms / _MS_PER_S, is_from_peer=True
            )
        for fingerprint in answered.fingerprints:
            self._clear(fingerprint)

    def answers_to_share(
        self, crashed: ReplicaCrashed, now_s: float
    ) -> list[GossipMessage]:
        """Return what this node knows of the segments that a peer has reported."""
        return self._share_answers(crashed.segments, now_s)

    def crashes(
        self, now_s: float, *, with_recent: bool = True
    ) -> list[ReplicaCrashed]:
        """Return crashes for a node that has just started.

        Args:
            now_s: Monotonic time.
            with_recent: Whether to add recent ones to the crashes because of which
                requests are refused.
        """
        backing = {
            (report.fingerprint, report.endpoint_id)
            for quarantine in (self._quarantine, self._quarantine_of_begun)
            for report in quarantine.refused(now_s=now_s)
        } | self._segments.backing()
        return [
            report.message(now_s)
            for report in self._reports.chosen(
                backing, recent_since_s=now_s - RECENT_S if with_recent else now_s
            )
        ]

    def losses(self, now_s: float) -> list[RequestLost]:
        """Return the losses that are not confirmed yet, for a node that has just started."""
        return [
            loss_message(lost, incarnation, now_s)
            for incarnation, lost in self._attribution.unconfirmed(now_s)
        ][-MAX_TOLD:]

    def take_unstored(self, now_s: float) -> dict[str, list[ReplicaCrashed]]:
        """Return what is to be stored for nodes that no peer can tell of it.

        These are the crashes under requests that have crashed several replicas, of which
        this node has seen the last one. They are returned once. What is stored refuses
        no segment without a further crash: the segment may have been answered since, and
        after a restart of all nodes none would know.

        Returns:
            The last crashes by fingerprint or key of a segment.
        """
        crashes_by_key = {
            key: self._reports.to_store(key, now_s) for key in self._unstored
        }
        self._unstored.clear()
        return crashes_by_key

    def _note_unstored(self, lost: LostRequest) -> None:
        if self._reports.count(lost.fingerprint) >= CRASHES_TO_REFUSE:
            self._unstored.add(lost.fingerprint)
        self._unstored.update(self._segments.suspects(lost.segments))

    def answers(self, now_s: float) -> list[RequestsAnswered]:
        """Return which segments are sound, for a node that has just started."""
        answered_s_by_segment = self._segments.answered()
        if not answered_s_by_segment:
            return []
        return [_answers_message(answered_s_by_segment, now_s)]

    def _record_loss(self, lost: LostRequest, incarnation: str) -> None:
        self._attribution.record_loss(lost, incarnation)
        self._joint_crashes.record_loss(incarnation, lost.lost_s, sent_s=lost.sent_s)

    def _is_explained(self, fingerprint: str, incarnation: str) -> bool:
        """Return whether a replica crashed for another reason than a request."""
        if self._segments.explains(incarnation):
            return True
        return self._joint_crashes.explains(
            incarnation, self._reports.sent_s_by_incarnation(fingerprint)
        )

    def _add(self, report: ConfirmedLoss, now_s: float) -> bool:
        """Add a report.

        Returns:
            Whether it is new.
        """
        lost = report.lost
        self._joint_crashes.record_loss(
            report.incarnation, lost.lost_s, sent_s=lost.sent_s
        )
        crash_report = CrashReport(
            fingerprint=lost.fingerprint,
            endpoint_id=report.incarnation,
            age_ms=to_ms(now_s - report.confirmed_s),
        )
        if not lost.has_begun:
            self._quarantine.add([crash_report], now_s=now_s)
        self._quarantine_of_begun.add([crash_report], now_s=now_s)
        is_new, has_new_segments = self._reports.add(report, now_s)
        if has_new_segments:
            self._segments.add(report.incarnation, lost, now_s=now_s)
        if is_new and not lost.is_from_peer:
            self._note_unstored(lost)
        return is_new

    def _answer_ended(
        self, answer: EndedAnswer, *, is_framed: bool
    ) -> list[GossipMessage]:
        complete = self._unframed.take_complete(answer)
        if is_framed:
            complete.append(answer)
        else:
            self._unframed.add(answer)
        messages: list[GossipMessage] = []
        for each in complete:
            messages += self._record_complete(each)
        return messages

    def _record_complete(self, answer: EndedAnswer) -> list[GossipMessage]:
        request, answered_s = answer.request, answer.ended_s
        self.replica_answered(answer.incarnation, answered_s)
        messages: list[GossipMessage] = []
        fingerprint = "" if self._reports.is_empty else _fingerprint(request)
        is_cleared = fingerprint and self._clear(fingerprint)
        if is_cleared and self._answers.wait_s(now_s=answered_s) == 0:
            self._answers.take(1)
            messages.append(
                RequestsAnswered(ages_ms_by_segment={}, fingerprints=[fingerprint])
            )
        prompt = request.caller.prompt
        if prompt is not None and answer.is_success:
            self._segments.record_answered(prompt.shared_keys, answered_s)
            messages += self._share_answers(prompt.shared_keys, answered_s)
        return messages

    def _clear(self, fingerprint: str) -> bool:
        """Forget the crashes under identical requests, one of which was answered.

        Returns:
            Whether there were any.
        """
        if not self._quarantine_of_begun.clear(fingerprint):
            return False
        self._quarantine.clear(fingerprint)
        self._reports.discard(fingerprint)
        return True

    def _share_answers(
        self, segments: Iterable[str], now_s: float
    ) -> list[GossipMessage]:
        if self._answers.wait_s(now_s=now_s) > 0:
            return []
        answered_s_by_segment = self._segments.take_answered(segments)
        if not answered_s_by_segment:
            return []
        self._answers.take(1)
        return [_answers_message(answered_s_by_segment, now_s)]

    def _share_loss(
        self, lost: LostRequest, incarnation: str, now_s: float
    ) -> list[GossipMessage]:
        """Tell the peers of a loss, which a restart of this node would erase."""
        if self._losses.wait_s(now_s=now_s) > 0:
            return []
        self._losses.take(1)
        return [loss_message(lost, incarnation, now_s)]


def _lost_request(
    request: RoutedRequest, sent_s: float, lost_s: float, *, has_begun: bool
) -> LostRequest:
    prompt = request.caller.prompt
    return LostRequest(
        fingerprint=_fingerprint(request),
        segments=prompt.shared_keys if prompt else (),
        sent_s=sent_s,
        lost_s=lost_s,
        has_begun=has_begun,
    )


def _answers_message(
    answered_s_by_segment: Mapping[str, float], now_s: float
) -> RequestsAnswered:
    return RequestsAnswered(
        ages_ms_by_segment={
            segment: to_ms(now_s - answered_s)
            for segment, answered_s in answered_s_by_segment.items()
        }
    )


def _fingerprint(request: RoutedRequest) -> str:
    """Return the fingerprint that all retries of a request share, at any node."""
    caller = request.caller
    return request_fingerprint(
        organisation=request.organisation.name if request.organisation else "",
        model=f"{caller.method} {caller.host}{caller.target}",
        body=caller.body,
    )
