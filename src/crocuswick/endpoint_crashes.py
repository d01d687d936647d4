"""Crashes of endpoints that are known by their ids, which they keep when they restart."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING

from crocuswick.joint_crashes import JointCrashes

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from crocuswick.quarantine import Loss

__all__ = ["EndpointCrashes"]

SAME_CRASH_S = 1.0
"""Longest time between the losses of two requests at the same crash. An engine takes
longer to restart."""

MAX_CRASHES_PER_ENDPOINT = 16
"""Maximum number of crashes of an endpoint that are told apart; the oldest are evicted."""


class EndpointCrashes:
    """Finds out which crashes of endpoints were joint ones; has a single owner."""

    def __init__(self):
        self._joint_crashes = JointCrashes()
        self._crashes_by_endpoint: defaultdict[str, deque[tuple[float, str]]] = (
            defaultdict(lambda: deque(maxlen=MAX_CRASHES_PER_ENDPOINT))
        )
        """Monotonic time and name of each crash, in the order in which they were
        reported."""

        self._count_by_endpoint: defaultdict[str, int] = defaultdict(int)

    def record(self, endpoint_id: str, loss: Loss) -> str:
        """Record a request that was lost when an endpoint crashed.

        Returns:
            The name of the crash, which differs from that of other crashes of the
            endpoint.
        """
        name = self._name(endpoint_id, loss.lost_s)
        if name is None:
            self._count_by_endpoint[endpoint_id] += 1
            name = f"{endpoint_id}#{self._count_by_endpoint[endpoint_id]}"
            self._crashes_by_endpoint[endpoint_id].append((loss.lost_s, name))
        self._joint_crashes.record_loss(name, loss.lost_s, sent_s=loss.sent_s)
        return name

    def counted(self, sent_s_by_name: Mapping[str, float]) -> Collection[str]:
        """Return the crashes that are evidence against requests.

        Args:
            sent_s_by_name: Monotonic time at which the requests were sent, by name of the
                crash that they were lost at.
        """
        return self._joint_crashes.counted(sent_s_by_name)

    def explains(self, endpoint_id: str, losses: Mapping[str, Loss]) -> bool:
        """Return whether the crash of an endpoint is no evidence against a request.

        Args:
            endpoint_id: The endpoint.
            losses: The request's loss at each crashed endpoint.
        """
        sent_s_by_name = {
            name: loss.sent_s
            for each, loss in losses.items()
            if (name := self._name(each, loss.lost_s)) is not None
        }
        name = self._name(endpoint_id, losses[endpoint_id].lost_s)
        return name is not None and self._joint_crashes.explains(name, sent_s_by_name)

    def may_be_joint(self, name: str) -> bool:
        """Return whether another endpoint crashed at about the same time."""
        return self._joint_crashes.may_be_joint(name)

    def _name(self, endpoint_id: str, lost_s: float) -> str | None:
        """Return the name of the crash at a time, None if it is not known."""
        crashes = self._crashes_by_endpoint.get(endpoint_id, ())
        for crashed_s, name in crashes:
            if abs(crashed_s - lost_s) < SAME_CRASH_S:
                return name
        return None
