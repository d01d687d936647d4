"""Attribution of replica crashes to requests.

A lost connection alone is not a crash. A replica has crashed if it is then unreachable,
restarts or leaves without notice, and has answered nobody in between.
"""

from __future__ import annotations

from collections import deque

import attrs

__all__ = ["CrashAttribution", "LostRequest"]

CONFIRM_WITHIN_S = 15.0
"""Time after a lost connection within which a crash must be confirmed. A crashed replica
takes some seconds to restart, or until its entry expires, and in a large fleet a node may
not try it in the meantime."""

ANSWER_DELAY_S = 0.5
"""Time for which answers of before the crash may still be reported after it."""

MAX_LOSSES = 256
"""Lost connections remembered per replica."""


@attrs.frozen(kw_only=True)
class LostRequest:
    """A request whose connection to a replica was lost."""

    fingerprint: str
    """Fingerprint that all retries of the request share."""

    segments: tuple[str, ...]
    """Keys of the prompt segments that it may share with others, in order."""

    sent_s: float
    """Monotonic time at which the attempt began."""

    lost_s: float
    """Monotonic time of the loss."""

    has_begun: bool = False
    """Whether an event of the answer had arrived."""

    is_from_peer: bool = False
    """Whether a peer has lost it."""


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
