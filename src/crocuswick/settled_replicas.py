"""Tells which replicas have been ready for so long that every node knows it."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

__all__ = ["READY_SETTLE_S", "SettledReplicas"]

READY_SETTLE_S = 2.0
"""Time until all nodes have read a replica's load report and taken it in."""


@attrs.frozen(kw_only=True)
class _ReadySince:
    """Since when a replica has been seen ready with the same weights."""

    versions_by_model: Mapping[str, str]
    since_s: float


class SettledReplicas:
    """Remembers since when replicas are ready; has a single owner.

    A replica that has just loaded must not stand in for another one that is about
    to load, since nodes which have not noticed yet would find no ready replica.

    Args:
        settle_s: Time for which a replica must have been ready.
    """

    def __init__(self, *, settle_s: float = READY_SETTLE_S):
        self._settle_s = settle_s
        self._ready_by_endpoint_id: dict[str, _ReadySince] = {}

    def is_settled(
        self, endpoint_id: str, versions_by_model: Mapping[str, str], now_s: float
    ) -> bool:
        """Note a ready replica and return whether it has been so for long enough.

        Args:
            endpoint_id: The replica.
            versions_by_model: Weights that it serves.
            now_s: Monotonic time.
        """
        known = self._ready_by_endpoint_id.get(endpoint_id)
        if known is None or known.versions_by_model != versions_by_model:
            known = _ReadySince(versions_by_model=versions_by_model, since_s=now_s)
            self._ready_by_endpoint_id[endpoint_id] = known
        return now_s - known.since_s >= self._settle_s

    def forget(self, endpoint_id: str) -> None:
        """Note that a replica is not ready."""
        self._ready_by_endpoint_id.pop(endpoint_id, None)
