"""Correction of the room for large requests by observed rejections."""

from __future__ import annotations

__all__ = ["ReserveControl"]

REJECTED_STEP = 0.03
"""Share of an engine's slots by which a rejection reduces the room for large requests."""

ACCEPTED_STEP = 0.005
"""Share by which an accepted small request increases it. The room settles where about
one attempt in seven is rejected; a rejected request is accepted elsewhere."""

SHARE_WEIGHT = 0.04
"""Weight of the newest attempt in the share of rejected ones."""

MIN_CORRECTION = -0.5
MAX_CORRECTION = 0.4


class ReserveControl:
    """Corrects the estimate of the slots that small requests need.

    Each node observes only its own requests, and the estimate of its peers' requests may
    be wrong for a long time.
    """

    def __init__(self):
        self.correction = 0.0
        """Share of an engine's slots to add to the room for large requests."""

        self.rejected_share = 0.0
        """Moving average of the share of attempts that were rejected as full."""

    def record_rejected(self) -> None:
        """Record that a replica rejected a request as full."""
        self.rejected_share += SHARE_WEIGHT * (1 - self.rejected_share)
        self.correction = max(MIN_CORRECTION, self.correction - REJECTED_STEP)

    def record_accepted(self) -> None:
        """Record that a replica accepted a small request."""
        self.rejected_share -= SHARE_WEIGHT * self.rejected_share
        self.correction = min(MAX_CORRECTION, self.correction + ACCEPTED_STEP)
