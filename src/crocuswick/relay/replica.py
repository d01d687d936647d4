"""Replicas of services as they describe themselves."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

__all__ = ["Replica", "ReplicaState"]


class ReplicaState(enum.StrEnum):
    """Whether a replica takes new work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class Replica:
    """One running replica."""

    id: str
    started_ms: int
    """Unix time of its start in milliseconds; with the id it names an incarnation."""

    service: str
    address: str
    """``host:port``."""

    zone: str
    state: ReplicaState
    slots: int
    weights_by_model: Mapping[str, int]
    """Version of the weights that it serves for each model."""

    report_number: int
    """Number of this report of the replica, rising within one incarnation."""

    @property
    def incarnation(self) -> str:
        """Identifies one start of the replica."""
        return f"{self.id}@{self.started_ms}"
