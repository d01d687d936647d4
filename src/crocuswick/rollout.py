"""Decides which replicas load new weights next and when to roll back."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = [
    "FAILURES_BEFORE_ROLL_BACK",
    "MAX_LOADING_REPLICAS",
    "Replica",
    "ReplicaPhase",
    "Rollout",
    "RolloutPlan",
    "RolloutStatus",
    "plan_rollout",
    "previous_version",
    "routable_version",
]

MAX_LOADING_REPLICAS = 2
"""Replicas that load at a time; more slow each other down at the weight store."""

FAILURES_BEFORE_ROLL_BACK = 2
"""Replicas that must fail to load the new weights before the rollout is rolled back.

One is enough if fewer than three replicas are ready or loading.
"""


class ReplicaPhase(StrEnum):
    """Lifecycle phase of a replica as seen by this node."""

    READY = "ready"
    """The replica accepts requests."""

    LOADING = "loading"
    """The replica is loading weights or has been sent an order to load them.

    A replica that has not been ready for long enough counts as loading too.
    """

    LEAVING = "leaving"
    """The replica is finishing its running requests and accepts no new ones."""

    UNREACHABLE = "unreachable"
    """The replica does not respond."""


@attrs.frozen(kw_only=True)
class Replica:
    """One replica of a pool, with its state for one model."""

    endpoint_id: str
    """Id of the endpoint."""

    phase: ReplicaPhase
    """Current phase."""

    weights_version: str = ""
    """Version of the model's weights that it serves, or an empty string."""

    has_failed: bool = False
    """Whether it failed to load the new weights of the current rollout."""


@attrs.frozen(kw_only=True)
class Rollout:
    """The replacement of a model's weights in a pool."""

    id: int
    """Offset of the log record that started the rollout."""

    pool: str
    """Id of the pool."""

    model: str
    """Name of the model at the engines."""

    old_version: str
    """Version to roll back to, or an empty string if there is none."""

    new_version: str
    """Version to roll out."""

    is_rolled_back: bool = False
    """Whether the new weights failed and the old ones are restored."""

    @property
    def target_version(self) -> str:
        """Version that replicas must serve now."""
        return self.old_version if self.is_rolled_back else self.new_version


class RolloutStatus(StrEnum):
    """Progress of a rollout."""

    RUNNING = "running"
    """Replicas are loading or waiting for others to load."""

    DONE = "done"
    """All reachable replicas serve the target version."""

    MUST_ROLL_BACK = "must_roll_back"
    """The new weights failed and the old ones must be restored."""

    BLOCKED = "blocked"
    """No replica can be ordered to load and none is loading.

    Another load would leave no replica ready, or loading failed and there is no old
    version to roll back to.
    """


@attrs.frozen(kw_only=True)
class RolloutPlan:
    """The next step of a rollout."""

    status: RolloutStatus
    """Progress of the rollout."""

    endpoint_ids: tuple[str, ...] = ()
    """Endpoints to order now to load the target version."""


def plan_rollout(
    rollout: Rollout, replicas: Sequence[Replica], *, loading_elsewhere: int = 0
) -> RolloutPlan:
    """Decide the next step of a rollout.

    Args:
        rollout: The rollout.
        replicas: All replicas of the pool.
        loading_elsewhere: Number of replicas in other pools that are loading.

    Returns:
        The replicas to order now. At most `MAX_LOADING_REPLICAS` load at a time,
        and at least one replica with the old or the new weights stays ready.
    """
    target = rollout.target_version
    usable = [each for each in replicas if _is_usable(each)]
    if _must_roll_back(rollout, usable):
        return RolloutPlan(status=RolloutStatus.MUST_ROLL_BACK)
    outdated = [each for each in usable if each.weights_version != target]
    if not outdated:
        return RolloutPlan(status=RolloutStatus.DONE)
    loading = [each for each in usable if each.phase is ReplicaPhase.LOADING]
    candidates = [
        each
        for each in outdated
        if each.phase is ReplicaPhase.READY
        and (rollout.is_rolled_back or not each.has_failed)
    ]
    slots = MAX_LOADING_REPLICAS - len(loading) - loading_elsewhere
    allowed = min(slots, _max_loadable(rollout, usable, candidates))
    # Replicas that serve neither version cannot take requests, so they load first.
    candidates.sort(key=lambda each: _serves_callers(rollout, each))
    chosen = tuple(each.endpoint_id for each in candidates[: max(0, allowed)])
    is_blocked = not (chosen or loading or loading_elsewhere)
    status = RolloutStatus.BLOCKED if is_blocked else RolloutStatus.RUNNING
    return RolloutPlan(status=status, endpoint_ids=chosen)


def routable_version(
    *, old_version: str, new_version: str, ready_by_version: Mapping[str, int]
) -> str:
    """Return the version that requests are routed to during a rollout.

    Args:
        old_version: Version before the rollout, or an empty string.
        new_version: Version to roll out.
        ready_by_version: Number of ready replicas of each version.

    Returns:
        The new version once it has at least as many ready replicas as the old one,
        else the old version.
    """
    ready_old = ready_by_version.get(old_version, 0) if old_version else 0
    ready_new = ready_by_version.get(new_version, 0)
    return old_version if ready_old > ready_new else new_version


def previous_version(replicas: Sequence[Replica], new_version: str) -> str:
    """Return the version, other than the new one, that most replicas serve.

    Args:
        replicas: All replicas of a pool.
        new_version: Version to roll out.

    Returns:
        The version, or an empty string if there is none.
    """
    counts = Counter(
        each.weights_version
        for each in replicas
        if each.weights_version not in ("", new_version)
    )
    return max(counts, key=lambda version: (counts[version], version), default="")


def _is_usable(replica: Replica) -> bool:
    return replica.phase in (ReplicaPhase.READY, ReplicaPhase.LOADING)


def _must_roll_back(rollout: Rollout, usable: Sequence[Replica]) -> bool:
    if rollout.is_rolled_back or not rollout.old_version:
        return False
    failed = [
        each
        for each in usable
        if each.has_failed and each.weights_version != rollout.new_version
    ]
    needed = min(FAILURES_BEFORE_ROLL_BACK, max(1, len(usable) - 1))
    return len(failed) >= needed


def _max_loadable(
    rollout: Rollout, usable: Sequence[Replica], candidates: Sequence[Replica]
) -> int:
    """Return how many candidates may load now so that a ready replica remains."""
    ready = [
        each
        for each in usable
        if each.phase is ReplicaPhase.READY and _serves_callers(rollout, each)
    ]
    serving_candidates = [each for each in candidates if _serves_callers(rollout, each)]
    unused_candidates = len(candidates) - len(serving_candidates)
    remaining = len(ready) - len(serving_candidates)
    return unused_candidates + len(serving_candidates) - (0 if remaining else 1)


def _serves_callers(rollout: Rollout, replica: Replica) -> bool:
    versions = {rollout.old_version, rollout.new_version} - {""}
    return replica.weights_version in versions
