"""An accepted configuration takes effect everywhere in time and never reverts."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import ConfigurationSeen, Cut, NodeLife, Submission

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.history import History

IN_FORCE_BOUND_S = 5.0
"""Seconds from acceptance until a configuration is in force at every node."""


def _accepted(history: History) -> list[Submission]:
    return [item for item in history.of(Submission) if item.accepted]


def _check_real_time_order(accepted: list[Submission]) -> Iterator[Violation]:
    """Check that a later submission always gets a higher revision."""
    for index, later in enumerate(accepted):
        for earlier in accepted[:index]:
            if not earlier.interval.precedes(later.interval):
                same = earlier.revision == later.revision
                if same and earlier.digest != later.digest:
                    reason = f"revision {later.revision} was given out twice"
                    yield Violation(reason=reason, record=later)
                continue
            if later.revision <= earlier.revision:
                reason = (
                    f"{later.submitter} got revision {later.revision} after "
                    f"revision {earlier.revision} was accepted"
                )
                yield Violation(reason=reason, record=later)


def _check_agreement(history: History) -> Iterator[Violation]:
    """Check that each revision has the same content everywhere."""
    digest_by_revision: dict[int, str] = {}
    stated = [*_accepted(history), *history.of(ConfigurationSeen)]
    for item in stated:
        digest = digest_by_revision.setdefault(item.revision, item.digest)
        if digest != item.digest:
            reason = f"revision {item.revision} has two contents"
            yield Violation(reason=reason, record=item)


def _check_rejected(history: History) -> Iterator[Violation]:
    """Check that no rejected submission took effect."""
    submissions = history.of(Submission)
    possible = {item.digest for item in submissions if item.accepted is not False}
    rejected = {item.digest for item in submissions if item.accepted is False}
    for seen in history.of(ConfigurationSeen):
        if seen.digest in rejected - possible:
            reason = f"{seen.node} has a rejected submission in force"
            yield Violation(reason=reason, record=seen)


def _check_no_reversal(
    observations: list[ConfigurationSeen],
) -> Iterator[Violation | Checked]:
    """Check that a node's revision never decreases, not even after a restart."""
    highest: ConfigurationSeen | None = None
    for seen in sorted(observations, key=lambda item: item.interval.end_s):
        if highest is None:
            highest = seen
            continue
        yield Checked(record=seen)
        falls = seen.revision < highest.revision
        if falls and highest.interval.precedes(seen.interval):
            reason = (
                f"{seen.node} reverted from revision {highest.revision} "
                f"to {seen.revision}"
            )
            yield Violation(reason=reason, record=seen)
        if seen.revision > highest.revision:
            highest = seen


def _reachable_since_s(history: History, node: str, moment_s: float) -> float:
    """Return since when a node has been reachable, as of a given moment.

    Infinity means that it is cut off at that moment.
    """
    since_s = float("-inf")
    for cut in history.of(Cut):
        if node not in cut.parts:
            continue
        if cut.interval.contains(moment_s):
            return float("inf")
        if cut.interval.end_s < moment_s:
            since_s = max(since_s, cut.interval.end_s)
    for life in history.of(NodeLife):
        if life.node == node and life.interval.contains(moment_s):
            since_s = max(since_s, life.interval.start_s)
    return since_s


def _check_in_force(
    history: History, submission: Submission, seen: ConfigurationSeen
) -> Iterator[Violation]:
    """Check one observation against one accepted submission."""
    since_s = _reachable_since_s(history, seen.node, seen.interval.start_s)
    due_s = max(submission.interval.end_s, since_s) + IN_FORCE_BOUND_S
    if seen.interval.start_s > due_s and seen.revision < submission.revision:
        late_s = seen.interval.start_s - submission.interval.end_s
        reason = (
            f"{seen.node} still had revision {seen.revision} {late_s:.2f} s after "
            f"revision {submission.revision} was accepted"
        )
        yield Violation(reason=reason, record=seen)


def _observations_by_node(history: History) -> dict[str, list[ConfigurationSeen]]:
    grouped: dict[str, list[ConfigurationSeen]] = defaultdict(list)
    for seen in history.of(ConfigurationSeen):
        grouped[seen.node].append(seen)
    return grouped


@checker(
    property_name="configuration",
    title="An accepted configuration is permanently in force everywhere within seconds",
)
def check_configuration(history: History) -> Iterator[Violation | Checked]:
    """Check that revisions are ordered, consistent, in force in time and permanent."""
    accepted = _accepted(history)
    yield from _check_real_time_order(accepted)
    yield from _check_agreement(history)
    yield from _check_rejected(history)
    for observations in _observations_by_node(history).values():
        yield from _check_no_reversal(observations)
        for seen in observations:
            for submission in accepted:
                yield from _check_in_force(history, submission, seen)
