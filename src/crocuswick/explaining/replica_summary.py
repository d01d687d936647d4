"""Summary of a replica's attempts around the time of a failure."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from crocuswick.explaining.log_line import LogLine

if TYPE_CHECKING:
    from crocuswick.explaining.log_line import LogLines

__all__ = ["ReplicaSummary", "summarise_replica"]

WINDOW_BEFORE_S = 1.5
WINDOW_AFTER_S = 1.5
"""Time around a failure in which attempts of other requests show the replica's state.
Other requests reach a crashed replica within a few hundred milliseconds."""

SIMULTANEOUS_WITHIN_S = 0.25
"""Attempts that fail within this time failed together. Logs are flushed every 0.1 s."""


@attrs.frozen(kw_only=True)
class ReplicaSummary:
    """Attempts of all requests at one replica around the time of a failure."""

    replica: str
    counts_by_result: Counter[str]
    failed_together: int
    """Number of other attempts that failed at the same time."""

    nodes_with_failures: int
    """Number of nodes whose attempts failed at that time."""

    answered_after: bool
    """Whether a later attempt was answered."""

    unreachable_after: bool
    """Whether a later attempt could not reach the replica."""

    removal: LogLine | None
    """First line that records the replica's removal, or None."""

    load_ended: bool
    """Whether an order to load weights ended in the window."""

    def text(self) -> str:
        """Return the summary as one line of text."""
        counts = ", ".join(f"{n} {name}" for name, n in self.counts_by_result.items())
        clauses = [f"{self.replica}: {counts or 'no other attempt'}"]
        if self.failed_together:
            clauses.append(
                f"{self.failed_together} others failed at the same time at "
                f"{self.nodes_with_failures} nodes"
            )
        if self.removal is not None:
            clauses.append("its entry in the platform's store was removed")
        if self.load_ended:
            clauses.append("an order to load weights ended")
        return "; ".join(clauses)


def summarise_replica(
    log: LogLines, replica: str, failed_at_s: float
) -> ReplicaSummary:
    """Summarise the log lines about a replica around a failure.

    Args:
        log: Log lines of all nodes.
        replica: Id of the replica.
        failed_at_s: Unix time of the failure, in seconds.
    """
    nearby = [
        line
        for line in log.between(
            failed_at_s - WINDOW_BEFORE_S, failed_at_s + WINDOW_AFTER_S
        )
        if line["replica"] == replica
    ]
    attempts = [line for line in nearby if line.event == "attempt ended"]
    simultaneous = [
        line
        for line in attempts
        if line["result"] == "failed"
        and abs(line.unix_s - failed_at_s) <= SIMULTANEOUS_WITHIN_S
    ]
    later = {line["result"] for line in attempts if line.unix_s > failed_at_s}
    removals = [line for line in nearby if line.event == "replica removed"]
    return ReplicaSummary(
        replica=replica,
        counts_by_result=Counter(str(line["result"]) for line in attempts),
        failed_together=max(0, len(simultaneous) - 1),
        nodes_with_failures=len({line.node for line in simultaneous}),
        answered_after="answered" in later,
        unreachable_after="unreachable" in later,
        removal=removals[0] if removals else None,
        load_ended=any(line.event == "weights order ended" for line in nearby),
    )
