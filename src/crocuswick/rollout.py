"""Decides which replicas load new weights next, and when to roll back."""

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
    "former_version",
    "plan_rollout",
    "routable_version",
]

MAX_LOADING_REPLICAS = 2
"""Replicas that load at a time; more slow each other down at the weight store."""

FAILURES_BEFORE_ROLL_BACK = 2
"""Replicas at which new weights fail before all go back to the old ones."""


class ReplicaPhase(StrEnum):
    """What is known of a replica."""

    READY = "ready"
    """It takes requests."""

    LOADING = "loading"
    """It loads weights, or an order to load is on its way to it."""

    LEAVING = "leaving"
    """It finishes what it has and takes nothing new."""

    UNREACHABLE = "unreachable"
    """It does not answer."""


@attrs.frozen(kw_only=True)
class Replica:
    """One replica of a pool, as far as one model is concerned."""

    endpoint_id: str
    """Id of the endpoint."""

    phase: ReplicaPhase
    """What is known of it."""

    weights_version: str = ""
    """Version of the model's weights that it serves, or an empty string."""

    has_failed: bool = False
    """Whether an order of the present rollout has failed at it."""


@attrs.frozen(kw_only=True)
class Rollout:
    """The replacement of a model's weights in a pool."""

    id: int
    """Offset of the log record that began it."""

    pool: str
    """Id of the pool."""

    model: str
    """Name of the model at the engines."""

    old_version: str
    """Version to go back to, or an empty string if there is none."""

    new_version: str
    """Version that is wanted."""

    is_rolled_back: bool = False
    """Whether the new weights have failed and the old ones are wanted."""

    @property
    def target_version(self) -> str:
        """Version that replicas are to serve now."""
        return self.old_version if self.is_rolled_back else self.new_version


class RolloutStatus(StrEnum):
    """How far a rollout is."""

    RUNNING = "running"
    """Replicas load or wait for others."""

    DONE = "done"
    """All reachable replicas serve the target."""

    MUST_ROLL_BACK = "must_roll_back"
    """The new weights have failed; the old ones are to come back."""

    BLOCKED = "blocked"
    """The next load would leave no replica ready, or none can be rolled back."""


@attrs.frozen(kw_only=True)
class RolloutPlan:
    """What to do next."""

    status: RolloutStatus
    """How far the rollout is."""

    endpoint_ids: tuple[str, ...] = ()
    """Replicas to order to load the target now."""


def plan_rollout(
    rollout: Rollout, replicas: Sequence[Replica], *, loading_elsewhere: int = 0
) -> RolloutPlan:
    """Decide the next step of a rollout.

    Args:
        rollout: The rollout.
        replicas: All replicas of the pool.
        loading_elsewhere: Replicas of other pools that load.

    Returns:
        The replicas to order now. At most `MAX_LOADING_REPLICAS` load at a time,
        and a ready replica with the old or the new weights is always left.
    """
    target = rollout.target_version
    usable = [each for each in replicas if _is_usable(each)]
    if _must_roll_back(rollout, usable):
        return RolloutPlan(status=RolloutStatus.MUST_ROLL_BACK)
    behind = [each for each in usable if each.weights_version != target]
    if not behind:
        return RolloutPlan(status=RolloutStatus.DONE)
    loading = [each for each in usable if each.phase is ReplicaPhase.LOADING]
    candidates = [
        each
        for each in behind
        if each.phase is ReplicaPhase.READY
        and (rollout.is_rolled_back or not each.has_failed)
    ]
    slots = MAX_LOADING_REPLICAS - len(loading) - loading_elsewhere
    allowed = min(slots, _spare_replicas(rollout, usable, candidates))
    # Replicas that serve neither version are of no use to callers: they go first.
    candidates.sort(key=lambda each: _serves_callers(rollout, each))
    chosen = tuple(each.endpoint_id for each in candidates[: max(0, allowed)])
    is_stuck = not (chosen or loading or loading_elsewhere)
    status = RolloutStatus.BLOCKED if is_stuck else RolloutStatus.RUNNING
    return RolloutPlan(status=status, endpoint_ids=chosen)


def routable_version(
    *, old_version: str, new_version: str, ready_by_version: Mapping[str, int]
) -> str:
    """Return the version that callers' requests go to during a rollout.

    Args:
        old_version: Version before the rollout, or an empty string.
        new_version: Version that is wanted.
        ready_by_version: Number of ready replicas of each version.

    Returns:
        The new version once it has as many ready replicas as the old one.
    """
    ready_old = ready_by_version.get(old_version, 0) if old_version else 0
    ready_new = ready_by_version.get(new_version, 0)
    return old_version if ready_old > ready_new else new_version


def former_version(replicas: Sequence[Replica], new_version: str) -> str:
    """Return the version that most replicas serve besides a new one.

    Args:
        replicas: All replicas of a pool.
        new_version: The version that is wanted.

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


def _spare_replicas(
    rollout: Rollout, usable: Sequence[Replica], candidates: Sequence[Replica]
) -> int:
    """Return how many candidates may stop serving now."""
    ready = [
        each
        for each in usable
        if each.phase is ReplicaPhase.READY and _serves_callers(rollout, each)
    ]
    serving_candidates = [each for each in candidates if _serves_callers(rollout, each)]
    idle_candidates = len(candidates) - len(serving_candidates)
    stay = len(ready) - len(serving_candidates)
    return idle_candidates + len(serving_candidates) - (0 if stay else 1)


def _serves_callers(rollout: Rollout, replica: Replica) -> bool:
    versions = {rollout.old_version, rollout.new_version} - {""}
    return replica.weights_version in versions
