"""Detection of replicas that crash together.

Replicas that end at the same moment share a cause outside their requests, such as a fault
of their service. Requests that crash replicas end them at different times, or are sent to
one after another has ended.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ["JointCrashes"]

MIN_REPLICAS = 3
"""Replicas that crash together at least. Two copies of a harmful request may well end two
replicas at the same time."""

WITHIN_S = 0.05
"""Time within which their connections are lost, including the delay of peers' reports."""

ANSWER_DELAY_S = 0.5
"""Time for which answers of before a loss may still be reported after it."""

MAX_REPLICAS = 256
"""Replicas remembered; those whose last loss was recorded first are evicted."""


class JointCrashes:
    """The last lost connection of each replica that has not answered since.

    A loss counts before it is confirmed as a crash: the replicas of a service that crash
    together are confirmed one by one, over several seconds.
    """

    def __init__(self):
        self._lost_s_by_incarnation: OrderedDict[str, float] = OrderedDict()
        self._first_sent_s_by_incarnation: dict[str, float] = {}
        """When the first of the lost requests was sent."""

        self._losses: list[tuple[float, str]] = []
        """Monotonic time and replica, sorted."""

    def record_loss(self, incarnation: str, lost_s: float, *, sent_s: float) -> None:
        """Record a connection that was lost before the end of the answer.

        Args:
            incarnation: The replica.
            lost_s: Monotonic time of the loss.
            sent_s: Monotonic time at which the request was sent.
        """
        first_sent_s = self._first_sent_s_by_incarnation.get(incarnation, sent_s)
        lost_s = max(lost_s, self._lost_s_by_incarnation.get(incarnation, lost_s))
        self._discard(incarnation)
        self._first_sent_s_by_incarnation[incarnation] = min(first_sent_s, sent_s)
        self._lost_s_by_incarnation[incarnation] = lost_s
        insort(self._losses, (lost_s, incarnation))
        if len(self._losses) > MAX_REPLICAS:
            self._discard(next(iter(self._lost_s_by_incarnation)))

    def record_answered(self, incarnation: str, now_s: float) -> None:
        """Record that a replica is up, so that its lost connection was no crash.

        Args:
            incarnation: The replica, which has answered this node or a peer.
            now_s: Monotonic time.
        """
        lost_s = self._lost_s_by_incarnation.get(incarnation)
        if lost_s is not None and lost_s <= now_s - ANSWER_DELAY_S:
            self._discard(incarnation)

    def counted(self, sent_s_by_incarnation: Mapping[str, float]) -> list[str]:
        """Return the replicas whose crashes are evidence against requests.

        Of replicas that crashed together one counts, and none if no other crashed.

        Args:
            sent_s_by_incarnation: Monotonic time at which the requests were sent to each
                replica that they were lost at. What was sent after the first crash may
                have caused the next one.
        """
        joint = self._first_by_incarnation(sent_s_by_incarnation, sent_s_by_incarnation)
        if len(joint) == len(sent_s_by_incarnation):
            return []
        # A retry may have reached a replica that was about to crash with the others.
        first_by_incarnation = self._first_by_incarnation(
            sent_s_by_incarnation, self._first_sent_s_by_incarnation
        )
        counted_by_first = {
            first_by_incarnation.get(incarnation, incarnation): incarnation
            for incarnation in sent_s_by_incarnation
        }
        return list(counted_by_first.values())

    def explains(
        self, incarnation: str, sent_s_by_incarnation: Mapping[str, float]
    ) -> bool:
        """Return whether a crash is no evidence against the requests that were lost at it.

        Args:
            incarnation: The replica that crashed.
            sent_s_by_incarnation: As for `counted`.
        """
        return incarnation in sent_s_by_incarnation and incarnation not in self.counted(
            sent_s_by_incarnation
        )

    def may_be_joint(self, incarnation: str) -> bool:
        """Return whether another replica was lost at about the same time.

        More of them may follow. Whether the replicas crashed together is known once the
        losses within `WITHIN_S` of this one have been reported.
        """
        lost_s = self._lost_s_by_incarnation.get(incarnation)
        if lost_s is None:
            return False
        return len(self._between(lost_s - WITHIN_S, lost_s + WITHIN_S)) > 1

    def _first_by_incarnation(
        self, incarnations: Iterable[str], sent_s_by_incarnation: Mapping[str, float]
    ) -> dict[str, str]:
        """Return the first of each group of replicas that crashed together."""
        first_by_incarnation = {}
        for incarnation in incarnations:
            first = self._first_of_group(incarnation, sent_s_by_incarnation)
            if first is not None:
                first_by_incarnation[incarnation] = first
        return first_by_incarnation

    def _first_of_group(
        self, incarnation: str, sent_s_by_incarnation: Mapping[str, float]
    ) -> str | None:
        lost_s = self._lost_s_by_incarnation.get(incarnation)
        if lost_s is None:
            return None
        near = self._between(lost_s - WITHIN_S, lost_s + WITHIN_S)
        if len(near) < MIN_REPLICAS:
            return None
        for position, (first_s, first) in enumerate(near):
            if first_s > lost_s:
                break
            together = {first} | {
                other
                for other_s, other in near[position + 1 :]
                if other_s <= first_s + WITHIN_S
                if sent_s_by_incarnation.get(other, float("-inf")) < first_s
            }
            if incarnation in together and len(together) >= MIN_REPLICAS:
                return first
        return None

    def _between(self, from_s: float, to_s: float) -> list[tuple[float, str]]:
        first = bisect_left(self._losses, from_s, key=lambda loss: loss[0])
        last = bisect_right(self._losses, to_s, key=lambda loss: loss[0])
        return self._losses[first:last]

    def _discard(self, incarnation: str) -> None:
        self._first_sent_s_by_incarnation.pop(incarnation, None)
        lost_s = self._lost_s_by_incarnation.pop(incarnation, None)
        if lost_s is not None:
            del self._losses[bisect_left(self._losses, (lost_s, incarnation))]
