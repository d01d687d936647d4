"""Finds the requests that a replica may have crashed of.

A lost connection alone is no crash. A replica has crashed if it can't be reached
soon after it has lost a request, or if it starts anew. Only requests that had not
yet begun are blamed: one that crashes a replica does so as it begins to run.
"""

from __future__ import annotations

from collections import deque

import attrs

from crocuswick.quarantine import CrashReport

__all__ = ["CrashAttribution"]

CONFIRM_WITHIN_S = 2.0
"""Time after a loss in which the crash must show; a restart takes some seconds."""

MAX_LOSSES = 256
"""Losses remembered for one replica."""


@attrs.frozen(kw_only=True)
class _Loss:
    fingerprint: str
    lost_s: float


class CrashAttribution:
    """Remembers losses until they are confirmed as crashes or too old."""

    def __init__(self):
        self._losses_by_incarnation: dict[str, deque[_Loss]] = {}

    def record_loss(self, fingerprint: str, incarnation: str, now_s: float) -> None:
        """Note that a replica lost a request that had not begun."""
        losses = self._losses_by_incarnation.setdefault(
            incarnation, deque(maxlen=MAX_LOSSES)
        )
        losses.append(_Loss(fingerprint=fingerprint, lost_s=now_s))

    def confirm(self, incarnation: str, now_s: float) -> list[CrashReport]:
        """Note that a replica is down or has started anew.

        Args:
            incarnation: The incarnation that has ended.
            now_s: Monotonic time.

        Returns:
            A report for each request that it may have crashed of.
        """
        losses = self._losses_by_incarnation.pop(incarnation, ())
        return [
            CrashReport(fingerprint=loss.fingerprint, endpoint_id=incarnation)
            for loss in losses
            if now_s - loss.lost_s <= CONFIRM_WITHIN_S
        ]

    def answered(self, incarnation: str) -> None:
        """Note that a replica is up: what it lost were no crashes."""
        self._losses_by_incarnation.pop(incarnation, None)
