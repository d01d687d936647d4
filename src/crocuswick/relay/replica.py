"""Replicas of services, as described by their store entries."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

__all__ = ["Availability", "Replica", "ReplicaState"]


class ReplicaState(enum.StrEnum):
    """Whether a replica takes new work."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class Availability:
    """What a replica says in a response about further requests."""

    is_leaving: bool = False
    """Whether it is about to shut down."""

    pause_s: float | None = None
    """Time for which it wants no requests from this node, None if it named none."""


@attrs.frozen(kw_only=True)
class Replica:
    """One running replica."""

    id: str
    started_ms: int
    """Unix time of its start in milliseconds; part of the incarnation."""

    service: str
    address: str
    """``host:port``."""

    zone: str
    state: ReplicaState
    slots: int
    weights_by_model: Mapping[str, int]
    """Served weights version of each model."""

    report_number: int
    """Sequence number of the report, increasing within one incarnation."""

    incarnation: str = attrs.field(init=False)
    """Identifier of one run of the replica, from its start to its end."""

    @incarnation.default
    def _incarnation(self) -> str:
        return f"{self.id}@{self.started_ms}"
