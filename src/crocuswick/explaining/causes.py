"""Rules that find the likely cause of a request's outcome."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import attrs

from crocuswick.explaining.log_line import LogLine, LogLines
from crocuswick.explaining.replica_summary import summarise_replica

__all__ = ["Cause", "RequestLines", "find_cause"]

OVERLOAD_DETAIL = "first event is expected after"
"""Text in the detail of a refusal whose reason is the length of the queues."""

HARMFUL_DETAIL = " crashed "
"""Text in the detail of a refusal whose reason are earlier crashes."""

SEGMENT_DETAIL = "prompt segment"
"""Text before the segment in such a detail, if a segment is to blame."""

LOST_REPLICA_WINDOW_S = 3.0
"""Time before a refusal in which a lost replica counts as a reason for long queues."""


@attrs.frozen(kw_only=True)
class Cause:
    """Likely reason for a request's outcome, inferred from the logs."""

    text: str
    evidence: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class RequestLines:
    """Log lines of one request."""

    log: LogLines
    """Lines of all requests."""

    attempts: tuple[LogLine, ...]
    """Lines that end an attempt of this request."""

    end: LogLine | None
    """Last line that ends this request, None if there is none."""

    @property
    def outcome(self) -> str:
        """Outcome of the request, empty if unknown."""
        return str(self.end["outcome"] or "") if self.end is not None else ""

    @property
    def detail(self) -> str:
        """Detail of the outcome, empty if unknown."""
        return str(self.end["detail"] or "") if self.end is not None else ""


_Rule = Callable[[RequestLines], Cause | None]
_rules: list[_Rule] = []


def rule(function: _Rule) -> _Rule:
    """Register a rule; the first rule that returns a cause wins."""
    _rules.append(function)
    return function


def find_cause(request: RequestLines) -> Cause:
    """Return the likely cause of a request's outcome."""
    for apply_rule in _rules:
        cause = apply_rule(request)
        if cause is not None:
            return cause
    return Cause(text=f"no rule covers the outcome {request.outcome!r}")


@rule
def not_ended(request: RequestLines) -> Cause | None:
    """Match a request without an end: the node stopped, or dropped the line."""
    if request.end is not None:
        return None
    return Cause(
        text="no node wrote the end of this request: the node stopped before it, or "
        "dropped the line"
    )


@rule
def refused_before_routing(request: RequestLines) -> Cause | None:
    """Match a request refused before routing as invalid or unauthorised."""
    if request.end.event != "request refused":
        return None
    status = request.end["status"]
    return Cause(
        text=f"refused with status {status} before it was routed: {request.detail}"
    )


@rule
def answered(request: RequestLines) -> Cause | None:
    """Match a request that was answered, possibly after retries."""
    if request.outcome != "answered":
        return None
    failed = [line for line in request.attempts if line["result"] != "answered"]
    if not failed:
        return Cause(text="answered at the first attempt")
    return Cause(
        text=f"answered after {len(failed)} failed attempts",
        evidence=tuple(_replica_summary(request, line) for line in failed),
    )


@rule
def caller_left(request: RequestLines) -> Cause | None:
    """Match a request whose caller closed the connection."""
    if request.outcome != "caller left":
        return None
    elapsed_ms = request.end["ms"]
    return Cause(
        text=f"the caller closed its connection after {elapsed_ms} ms",
        evidence=tuple(_replica_summary(request, line) for line in request.attempts),
    )


@rule
def overload(request: RequestLines) -> Cause | None:
    """Match a request refused because all queues were too long."""
    if request.outcome != "refused" or OVERLOAD_DETAIL not in request.detail:
        return None
    lost = _lost_replicas(request)
    reason = f", while {len(lost)} replicas were lost" if lost else ""
    return Cause(
        text=f"overload: the queue of every usable replica was too long{reason}",
        evidence=tuple(lost),
    )


@rule
def harmful(request: RequestLines) -> Cause | None:
    """Match a request refused because it, or others like it, crashed replicas."""
    if request.outcome != "refused" or HARMFUL_DETAIL not in request.detail:
        return None
    crashed = [
        f"{line['replica']} crashed at {line.unix_s:.1f}, known at {line.node}"
        for line in request.log.lines
        if line.event == "crash attributed"
        and line["source"] == "own"
        and _names(line, request.detail)
    ]
    return Cause(
        text=f"requests like this one crash replicas: {request.detail}",
        evidence=tuple(crashed),
    )


def _names(crash: LogLine, detail: str) -> bool:
    """Whether a refusal names the replica of a crash and, if any, its segment."""
    replica = str(crash["replica"])
    segments = crash["segments"] or []
    is_segment = SEGMENT_DETAIL in detail
    return replica in detail and (
        not is_segment
        or any(f"{SEGMENT_DETAIL} {segment} " in detail for segment in segments)
    )


@rule
def no_replica(request: RequestLines) -> Cause | None:
    """Match a request refused because no replica was usable."""
    if request.outcome != "refused":
        return None
    return Cause(
        text=f"no replica could take the request: {request.detail}",
        evidence=tuple(_lost_replicas(request)),
    )


@rule
def replica_crashed(request: RequestLines) -> Cause | None:
    """Match a replica that crashed or left.

    Several attempts failed at once, or the replica became unreachable or was removed.
    """
    last = _last_failed_attempt(request)
    if last is None or last["result"] != "failed":
        return None
    summary = summarise_replica(request.log, last["replica"], last.unix_s)
    if not (summary.failed_together or summary.unreachable_after or summary.removal):
        return None
    return Cause(
        text=f"{summary.replica} crashed or left while it processed the request",
        evidence=(summary.text(),),
    )


@rule
def answer_lost(request: RequestLines) -> Cause | None:
    """Match a failed connection to a replica that shows no sign of a crash."""
    last = _last_failed_attempt(request)
    if last is None or last["result"] != "failed":
        return None
    summary = summarise_replica(request.log, last["replica"], last.unix_s)
    return Cause(
        text=f"{summary.replica} went on with other requests: its answer to this one "
        f"was lost or corrupted ({last['error']})",
        evidence=(summary.text(),),
    )


@rule
def replica_silent(request: RequestLines) -> Cause | None:
    """Match a replica that sent nothing, or nothing more, before the timeout."""
    last = _last_failed_attempt(request)
    if last is None or last["result"] != "silent":
        return None
    summary = summarise_replica(request.log, last["replica"], last.unix_s)
    others_answered = summary.answered_after
    activity = (
        "went on with other requests"
        if others_answered
        else "answered nobody after that"
    )
    sent = "sent nothing before the timeout"
    if last["events"]:
        sent = (
            f"sent {last['events']} events, the last one after "
            f"{last['last_event_ms']} ms, then nothing before the timeout"
        )
    return Cause(
        text=f"{summary.replica} {sent} and {activity}",
        evidence=(summary.text(),),
    )


@rule
def failed_attempts(request: RequestLines) -> Cause | None:
    """Match any other request whose last attempt failed."""
    last = _last_failed_attempt(request)
    if last is None:
        return None
    return Cause(
        text=f"the last attempt ended as {last['result']}: {last['error']}",
        evidence=tuple(_replica_summary(request, line) for line in request.attempts),
    )


def _last_failed_attempt(request: RequestLines) -> LogLine | None:
    failed = [line for line in request.attempts if line["result"] != "answered"]
    return failed[-1] if failed else None


def _replica_summary(request: RequestLines, attempt: LogLine) -> str:
    return summarise_replica(request.log, attempt["replica"], attempt.unix_s).text()


def _lost_replicas(request: RequestLines) -> list[str]:
    """Describe each replica that was lost within the window before the end."""
    end_s = request.end.unix_s
    lost: Counter[str] = Counter()
    for line in request.log.between(end_s - LOST_REPLICA_WINDOW_S, end_s):
        is_lost = line["result"] in ("unreachable", "silent")
        if line.event == "replica removed" or is_lost:
            lost[str(line["replica"])] += 1
    return [f"{replica}: lost at {n} attempts" for replica, n in lost.most_common()]
