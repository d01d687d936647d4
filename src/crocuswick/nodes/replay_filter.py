"""Protection against replayed datagrams."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from crocuswick.nodes.datagrams import Heartbeat, ZoneDigest

__all__ = ["ReplayFilter", "ReplayVerdict"]

MAX_CLOCK_DIFFERENCE_MS = 120_000
"""Clock difference in ms above which a sender's first datagram is rejected."""

SENDER_RETENTION_S = 300.0
"""Time after its last datagram for which a sender is remembered."""


class ReplayVerdict(StrEnum):
    """Verdict on whether a datagram may be processed."""

    FRESH = "fresh"
    """It is newer than all earlier datagrams from its sender."""

    REPEATED = "repeated"
    """It or a newer one from its sender was received before."""

    WRONG_CLOCK = "wrong_clock"
    """It is its sender's first, and the sender's clock differs too much."""


@attrs.define(kw_only=True)
class _LastMessage:
    incarnation: int
    sequence: int
    seen_s: float


class ReplayFilter:
    """Accepts each sender's datagrams only in ascending order.

    The clock of an unknown sender must roughly agree with the local clock, so that
    recorded datagrams of a dead process are soon rejected.
    """

    def __init__(self):
        self._last_by_node_id: dict[str, _LastMessage] = {}

    def check(
        self, message: Heartbeat | ZoneDigest, *, now_s: float, wall_ms: int
    ) -> ReplayVerdict:
        """Check an authenticated datagram and record it if it is fresh.

        Args:
            message: The datagram's content.
            now_s: Monotonic time.
            wall_ms: Local wall clock, in ms since the epoch.
        """
        last = self._last_by_node_id.get(message.node_id)
        if last is None:
            if abs(wall_ms - message.sent_ms) > MAX_CLOCK_DIFFERENCE_MS:
                return ReplayVerdict.WRONG_CLOCK
        elif _is_stale(message, last):
            return ReplayVerdict.REPEATED
        self._last_by_node_id[message.node_id] = _LastMessage(
            incarnation=message.incarnation, sequence=message.sequence, seen_s=now_s
        )
        return ReplayVerdict.FRESH

    def remove_silent(self, *, now_s: float) -> None:
        """Remove senders that have been silent for `SENDER_RETENTION_S`.

        Args:
            now_s: Monotonic time.
        """
        silent = [
            node_id
            for node_id, last in self._last_by_node_id.items()
            if now_s - last.seen_s > SENDER_RETENTION_S
        ]
        for node_id in silent:
            del self._last_by_node_id[node_id]


def _is_stale(message: Heartbeat | ZoneDigest, last: _LastMessage) -> bool:
    if message.incarnation != last.incarnation:
        return message.incarnation < last.incarnation
    return message.sequence <= last.sequence
