"""Attribution of replica crashes to requests.

A lost connection alone is not a crash. A replica has crashed if it is then unreachable,
restarts or leaves without notice, and has answered nobody in between.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from crocuswick.segment_quarantine import LostRequest

__all__ = ["CrashAttribution"]

CONFIRM_WITHIN_S = 15.0
"""Time after a lost connection within which a crash must be confirmed. A crashed replica
takes some seconds to restart, or until its entry expires, and in a large fleet a node may
not try it in the meantime."""

ANSWER_DELAY_S = 0.5
"""Time for which answers of before the crash may still be reported after it."""

MAX_LOSSES = 256
"""Lost connections remembered per replica."""


class CrashAttribution:
    """Remembers lost connections until they are confirmed as crashes or expire."""

    def __init__(self):
        self._losses_by_incarnation: dict[str, deque[LostRequest]] = {}

    def record_loss(self, lost: LostRequest, incarnation: str) -> None:
        """Record a connection that was lost before the end of the answer."""
        losses = self._losses_by_incarnation.setdefault(
            incarnation, deque(maxlen=MAX_LOSSES)
        )
        losses.append(lost)

    def confirm(self, incarnation: str, now_s: float) -> list[LostRequest]:
        """Record that a replica is down or has restarted.

        Args:
            incarnation: The incarnation that has ended.
            now_s: Monotonic time.

        Returns:
            The requests that may have crashed it.
        """
        losses = self._losses_by_incarnation.pop(incarnation, ())
        return [lost for lost in losses if now_s - lost.lost_s <= CONFIRM_WITHIN_S]

    def unconfirmed(self, now_s: float) -> list[tuple[str, LostRequest]]:
        """Return the losses that may still be confirmed, each with its replica."""
        return [
            (incarnation, lost)
            for incarnation, losses in self._losses_by_incarnation.items()
            for lost in losses
            if now_s - lost.lost_s <= CONFIRM_WITHIN_S
        ]

    def record_answered(self, incarnation: str, now_s: float) -> None:
        """Record that a replica is up, so that its lost connections were no crashes.

        Args:
            incarnation: The replica, which has answered this node or a peer.
            now_s: Monotonic time.
        """
        losses = self._losses_by_incarnation.get(incarnation)
        if losses is None:
            return
        while losses and losses[0].lost_s <= now_s - ANSWER_DELAY_S:
            losses.popleft()
        if not losses:
            del self._losses_by_incarnation[incarnation]
