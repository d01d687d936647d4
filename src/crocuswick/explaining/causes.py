"""Likely causes of a request's end, each found by one rule."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import attrs

from crocuswick.explaining.log_line import LogLine, LogLines
from crocuswick.explaining.replica_story import tell_replica

__all__ = ["Cause", "RequestLines", "find_cause"]

OVERLOAD_DETAIL = "first event is expected after"
BEFORE_REFUSAL_S = 3.0
"""Time before a refusal in which lost replicas tell why the queues are long."""


@attrs.frozen(kw_only=True)
class Cause:
    """Why a request ended as it did, as far as the logs tell."""

    text: str
    evidence: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class RequestLines:
    """The lines of one request."""

    log: LogLines
    attempts: tuple[LogLine, ...]
    end: LogLine | None
    """Its last line, None if none was written."""

    @property
    def outcome(self) -> str:
        """What became of it, empty if that is not known."""
        return str(self.end["outcome"] or "") if self.end is not None else ""

    @property
    def detail(self) -> str:
        """Detail of its end."""
        return str(self.end["detail"] or "") if self.end is not None else ""


_Rule = Callable[[RequestLines], Cause | None]
_rules: list[_Rule] = []


def rule(function: _Rule) -> _Rule:
    """Register a rule; the first that finds a cause is taken."""
    _rules.append(function)
    return function


def find_cause(request: RequestLines) -> Cause:
    """Return the likely cause of a request's end."""
    for each in _rules:
        cause = each(request)
        if cause is not None:
            return cause
    return Cause(text=f"no rule covers the outcome {request.outcome!r}")


@rule
def not_ended(request: RequestLines) -> Cause | None:
    """The node wrote no end: it ended itself, or dropped the line."""
    if request.end is not None:
        return None
    return Cause(
        text="no node wrote the end of this request: the node ended before it, or "
        "dropped the line"
    )


@rule
def refused_before_routing(request: RequestLines) -> Cause | None:
    """The request itself was at fault."""
    if request.end.event != "request refused":
        return None
    status = request.end["status"]
    return Cause(
        text=f"refused with status {status} before it was routed: {request.detail}"
    )


@rule
def answered(request: RequestLines) -> Cause | None:
    """Nothing failed, or what failed was repeated."""
    if request.outcome != "answered":
        return None
    failed = [line for line in request.attempts if line["result"] != "answered"]
    if not failed:
        return Cause(text="answered at the first attempt")
    return Cause(
        text=f"answered after {len(failed)} attempts that failed",
        evidence=tuple(_story(request, line) for line in failed),
    )


@rule
def caller_left(request: RequestLines) -> Cause | None:
    """The caller closed its connection."""
    if request.outcome != "caller left":
        return None
    passed_ms = request.end["ms"]
    return Cause(
        text=f"the caller closed its connection after {passed_ms} ms",
        evidence=tuple(_story(request, line) for line in request.attempts),
    )


@rule
def overload(request: RequestLines) -> Cause | None:
    """All queues were too long."""
    if request.outcome != "refused" or OVERLOAD_DETAIL not in request.detail:
        return None
    lost = _lost_replicas(request)
    why = f", while {len(lost)} replicas were lost" if lost else ""
    return Cause(
        text=f"overload: every usable replica had too long a queue{why}",
        evidence=tuple(lost),
    )


@rule
def no_replica(request: RequestLines) -> Cause | None:
    """No replica could be used."""
    if request.outcome != "refused":
        return None
    return Cause(
        text=f"no replica could take it: {request.detail}",
        evidence=tuple(_lost_replicas(request)),
    )


@rule
def replica_crashed(request: RequestLines) -> Cause | None:
    """The replica broke off all it had at once, or can't be reached any more."""
    last = _last_failed(request)
    if last is None or last["result"] != "failed":
        return None
    story = tell_replica(request.log, last["replica"], last.unix_s)
    if not (story.broken_together or story.unreachable_after or story.removed):
        return None
    return Cause(
        text=f"{story.replica} crashed or left while it worked on the request",
        evidence=(story.text(),),
    )


@rule
def answer_lost(request: RequestLines) -> Cause | None:
    """One connection broke while the replica went on."""
    last = _last_failed(request)
    if last is None or last["result"] != "failed":
        return None
    story = tell_replica(request.log, last["replica"], last.unix_s)
    return Cause(
        text=f"{story.replica} went on with other requests: its answer to this one was "
        f"lost or spoilt ({last['error']})",
        evidence=(story.text(),),
    )


@rule
def replica_silent(request: RequestLines) -> Cause | None:
    """The replica said nothing until the time was up."""
    last = _last_failed(request)
    if last is None or last["result"] != "silent":
        return None
    story = tell_replica(request.log, last["replica"], last.unix_s)
    is_alone = story.answered_after
    what = "went on with other requests" if is_alone else "answered nobody after that"
    return Cause(
        text=f"{story.replica} was silent until the time was up and {what}",
        evidence=(story.text(),),
    )


@rule
def failed_attempts(request: RequestLines) -> Cause | None:
    """Whatever else the last attempt met."""
    last = _last_failed(request)
    if last is None:
        return None
    return Cause(
        text=f"the last attempt ended as {last['result']}: {last['error']}",
        evidence=tuple(_story(request, line) for line in request.attempts),
    )


def _last_failed(request: RequestLines) -> LogLine | None:
    failed = [line for line in request.attempts if line["result"] != "answered"]
    return failed[-1] if failed else None


def _story(request: RequestLines, attempt: LogLine) -> str:
    return tell_replica(request.log, attempt["replica"], attempt.unix_s).text()


def _lost_replicas(request: RequestLines) -> list[str]:
    """Return a line for each replica that nodes could not use before the end."""
    end_s = request.end.unix_s
    lost: Counter[str] = Counter()
    for line in request.log.between(end_s - BEFORE_REFUSAL_S, end_s):
        is_lost = line["result"] in ("unreachable", "silent")
        if line.event == "replica removed" or is_lost:
            lost[str(line["replica"])] += 1
    return [f"{replica}: lost at {n} attempts" for replica, n in lost.most_common()]
