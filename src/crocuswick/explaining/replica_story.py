"""What the nodes saw of a replica around a moment."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from crocuswick.explaining.log_line import LogLine

if TYPE_CHECKING:
    from crocuswick.explaining.log_line import LogLines

__all__ = ["ReplicaStory", "tell_replica"]

BEFORE_S = 1.5
AFTER_S = 1.5
"""Time around a failure in which other requests tell of the replica's state: a crashed
replica is tried by others within some hundred milliseconds."""

SAME_MOMENT_S = 0.25
"""Attempts that break within this time broke together; logs are flushed each 0.1 s."""


@attrs.frozen(kw_only=True)
class ReplicaStory:
    """Attempts of all requests at one replica around a moment."""

    replica: str
    counts_by_result: Counter[str]
    broken_together: int
    """Other attempts that failed at the same moment."""

    nodes_broken: int
    """Nodes at which they failed."""

    answered_after: bool
    unreachable_after: bool
    removed: LogLine | None
    """Line that its entry is gone."""

    loading: bool
    """Whether it was ordered to load weights."""

    def text(self) -> str:
        """Return the story as one line."""
        counts = ", ".join(f"{n} {name}" for name, n in self.counts_by_result.items())
        parts = [f"{self.replica}: {counts or 'no other attempt'}"]
        if self.broken_together:
            parts.append(
                f"{self.broken_together} others broke at the same moment at "
                f"{self.nodes_broken} nodes"
            )
        if self.removed is not None:
            parts.append("its entry was removed")
        if self.loading:
            parts.append("an order to load weights ended")
        return "; ".join(parts)


def tell_replica(log: LogLines, replica: str, moment_s: float) -> ReplicaStory:
    """Collect what the nodes saw of a replica.

    Args:
        log: All lines.
        replica: Id of the replica.
        moment_s: Unix time of the failure.
    """
    near = [
        line
        for line in log.between(moment_s - BEFORE_S, moment_s + AFTER_S)
        if line["replica"] == replica
    ]
    attempts = [line for line in near if line.event == "attempt ended"]
    broken = [
        line
        for line in attempts
        if line["result"] == "failed" and abs(line.unix_s - moment_s) <= SAME_MOMENT_S
    ]
    later = {line["result"] for line in attempts if line.unix_s > moment_s}
    removals = [line for line in near if line.event == "replica removed"]
    return ReplicaStory(
        replica=replica,
        counts_by_result=Counter(str(line["result"]) for line in attempts),
        broken_together=max(0, len(broken) - 1),
        nodes_broken=len({line.node for line in broken}),
        answered_after="answered" in later,
        unreachable_after="unreachable" in later,
        removed=removals[0] if removals else None,
        loading=any(line.event == "weights order ended" for line in near),
    )
