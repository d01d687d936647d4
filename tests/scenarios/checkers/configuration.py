"""An accepted configuration takes effect everywhere in time and never reverts."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import (
    ConfigurationObservation,
    Cut,
    NodeLifetime,
    Submission,
)

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
                    reason = f"revision {later.revision} was assigned twice"
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
    stated = [*_accepted(history), *history.of(ConfigurationObservation)]
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
    for observed in history.of(ConfigurationObservation):
        if observed.digest in rejected - possible:
            reason = f"{observed.node} has a rejected submission in force"
            yield Violation(reason=reason, record=observed)


def _check_no_reversal(
    observations: list[ConfigurationObservation],
) -> Iterator[Violation | Checked]:
    """Check that a node's revision never decreases, not even after a restart."""
    highest: ConfigurationObservation | None = None
    for observed in sorted(observations, key=lambda item: item.interval.end_s):
        if highest is None:
            highest = observed
            continue
        yield Checked(record=observed)
        is_lower = observed.revision < highest.revision
        if is_lower and highest.interval.precedes(observed.interval):
            reason = (
                f"{observed.node} reverted from revision {highest.revision} "
                f"to {observed.revision}"
            )
            yield Violation(reason=reason, record=observed)
        if observed.revision > highest.revision:
            highest = observed


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
    for lifetime in history.of(NodeLifetime):
        if lifetime.node == node and lifetime.interval.contains(moment_s):
            since_s = max(since_s, lifetime.interval.start_s)
    return since_s


def _check_in_force(
    history: History, submission: Submission, observed: ConfigurationObservation
) -> Iterator[Violation]:
    """Check one observation against one accepted submission."""
    since_s = _reachable_since_s(history, observed.node, observed.interval.start_s)
    due_s = max(submission.interval.end_s, since_s) + IN_FORCE_BOUND_S
    if observed.interval.start_s > due_s and observed.revision < submission.revision:
        late_s = observed.interval.start_s - submission.interval.end_s
        reason = (
            f"{observed.node} still had revision {observed.revision} {late_s:.2f} s after "
            f"revision {submission.revision} was accepted"
        )
        yield Violation(reason=reason, record=observed)


def _observations_by_node(
    history: History,
) -> dict[str, list[ConfigurationObservation]]:
    grouped: dict[str, list[ConfigurationObservation]] = defaultdict(list)
    for observed in history.of(ConfigurationObservation):
        grouped[observed.node].append(observed)
    return grouped


@checker(
    property_name="configuration",
    title="An accepted configuration is in force everywhere within seconds, permanently",
)
def check_configuration(history: History) -> Iterator[Violation | Checked]:
    """Check that revisions are ordered, consistent, in force in time and permanent."""
    accepted = _accepted(history)
    yield from _check_real_time_order(accepted)
    yield from _check_agreement(history)
    yield from _check_rejected(history)
    for observations in _observations_by_node(history).values():
        yield from _check_no_reversal(observations)
        for observed in observations:
            for submission in accepted:
                yield from _check_in_force(history, submission, observed)
