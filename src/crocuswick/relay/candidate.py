"""A candidate replica for a request."""

from __future__ import annotations

import attrs

from crocuswick.relay.engine_load import EngineLoad
from crocuswick.relay.replica import Replica
from crocuswick.relay.replica_health import ReplicaHealth

__all__ = ["Candidate"]


@attrs.frozen(kw_only=True)
class Candidate:
    """A replica that may take a request, with its load, health and weights."""

    replica: Replica
    load: EngineLoad
    health: ReplicaHealth
    weights_version: int | None
    """Version of the request's model that it serves, None if unknown."""

    weights_age_s: float | None
    """Time since newer weights were announced, None if these are the newest."""
