"""Table of the rollouts that lease holders record in the leases stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from crocuswick.rollout import Rollout

if TYPE_CHECKING:
    from crocuswick.lease import LeaseTable
    from crocuswick.platform_log import LogRecord

__all__ = ["NEW_ROLLOUT_ID", "ORDERS_RESOURCE", "RolloutTable", "encode_rollout"]

ORDERS_RESOURCE = "orders"
"""Name of the lease required to send orders and record rollouts."""

NEW_ROLLOUT_ID = -1
"""Id of a rollout that is not in the log yet."""


def encode_rollout(rollout: Rollout, *, lease_id: str) -> dict[str, Any]:
    """Return the log record of a rollout's state.

    Args:
        rollout: The rollout; its id is `NEW_ROLLOUT_ID` if it starts with this record.
        lease_id: Id of the writing node's lease.
    """
    return {"type": "rollout", "lease_id": lease_id, **attrs.asdict(rollout)}


class RolloutTable:
    """The latest rollout of each model in each pool.

    A record takes effect only if its writer held the lease when it was appended, so
    that a holder which was paused past the end of its lease changes nothing.
    """

    def __init__(self) -> None:
        self._rollouts_by_pool_and_model: dict[tuple[str, str], Rollout] = {}

    def rollouts(self) -> tuple[Rollout, ...]:
        """Return all rollouts."""
        return tuple(self._rollouts_by_pool_and_model.values())

    def rollout(self, pool: str, model: str) -> Rollout | None:
        """Return the latest rollout of a model in a pool, or None."""
        return self._rollouts_by_pool_and_model.get((pool, model))

    def apply(self, record: LogRecord, leases: LeaseTable) -> None:
        """Apply the next record.

        Args:
            record: The record.
            leases: The lease table after applying this record.
        """
        rollout = _decode(record.value)
        if rollout is None:
            return
        lease_id = leases.lease_id_at(ORDERS_RESOURCE, record.time_ms)
        if not lease_id or record.value.get("lease_id") != lease_id:
            return
        if rollout.id == NEW_ROLLOUT_ID:
            rollout = attrs.evolve(rollout, id=record.offset)
        self._rollouts_by_pool_and_model[(rollout.pool, rollout.model)] = rollout


def _decode(value: Any) -> Rollout | None:
    if not isinstance(value, dict) or value.get("type") != "rollout":
        return None
    names = ("pool", "model", "old_version", "new_version")
    has_texts = all(isinstance(value.get(name), str) for name in names)
    has_flag = isinstance(value.get("is_rolled_back"), bool)
    if not (has_texts and has_flag and type(value.get("id")) is int):
        return None
    fields = attrs.fields_dict(Rollout)
    return Rollout(**{name: value[name] for name in fields})
