"""Tracks which replicas have been ready long enough for every node to know of them."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

__all__ = ["MIN_READY_S", "StableReplicas"]

MIN_READY_S = 2.0
"""Time until all nodes have read and processed a replica's load report."""


@attrs.frozen(kw_only=True)
class _ReadySince:
    """Monotonic time since which a replica has been ready with the same weights."""

    versions_by_model: Mapping[str, str]
    since_s: float


class StableReplicas:
    """Tracks how long replicas have been ready; not thread-safe.

    A replica that has just become ready must not count as a substitute for another
    that is about to load. Nodes that have not learned of it yet would find no ready
    replica.

    Args:
        min_ready_s: Time for which a replica must have been ready.
    """

    def __init__(self, *, min_ready_s: float = MIN_READY_S):
        self._min_ready_s = min_ready_s
        self._ready_by_endpoint_id: dict[str, _ReadySince] = {}

    def is_stable(
        self, endpoint_id: str, versions_by_model: Mapping[str, str], now_s: float
    ) -> bool:
        """Record a ready replica and return whether it has been ready long enough.

        Args:
            endpoint_id: Endpoint id of the replica.
            versions_by_model: Weights version that it serves for each model.
            now_s: Monotonic time.
        """
        known = self._ready_by_endpoint_id.get(endpoint_id)
        if known is None or known.versions_by_model != versions_by_model:
            known = _ReadySince(versions_by_model=versions_by_model, since_s=now_s)
            self._ready_by_endpoint_id[endpoint_id] = known
        return now_s - known.since_s >= self._min_ready_s

    def remove(self, endpoint_id: str) -> None:
        """Remove a replica that is not ready."""
        self._ready_by_endpoint_id.pop(endpoint_id, None)
