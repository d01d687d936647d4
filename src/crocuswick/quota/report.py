"""Reports between nodes and refusals to callers."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

__all__ = ["QuotaRefusal", "QuotaReport"]


@attrs.frozen(kw_only=True)
class QuotaReport:
    """What a node has admitted since its start."""

    node_id: str
    incarnation: str
    """Identifies the run of the node's process."""

    number: int
    """Number of the report in this run; reports that arrive late are discarded."""

    uptime_s: float
    known_nodes: int
    usage_by_organisation: Mapping[str, tuple[float, float]]
    """Total since the start and the part of it that the report before did not contain,
    for each organisation whose total has changed."""


@attrs.frozen(kw_only=True)
class QuotaRefusal:
    """Why a request is over its organisation's quota."""

    organisation: str
    unit: str
    cost: int
    level: float
    """Estimated level of the fleet's bucket; a request passes while it is above 0."""

    rate_per_s: float
    """Rate at which this node refills its estimate now."""

    heard_nodes: int
    known_nodes: int
    oldest_report_s: float | None
    """Age of the oldest report among the nodes that are heard, None without one."""

    retry_after_s: float
    cause: str
    """``empty`` or, soon after that, ``recovering``; ``cut off`` if the request is too large
    for the part of the fleet that is heard; ``starting`` before the fleet is known."""
