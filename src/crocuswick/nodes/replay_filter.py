"""Protection against datagrams that were recorded and are sent again."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from crocuswick.nodes.datagrams import Heartbeat, ZoneDigest

__all__ = ["ReplayFilter", "ReplayVerdict"]

MAX_CLOCK_DIFFERENCE_MS = 120_000
"""Difference to the sender's clock above which a first contact is refused."""

MARK_LIFETIME_S = 300.0
"""Time for which the last datagram of a silent sender is remembered."""


class ReplayVerdict(StrEnum):
    """Whether a datagram may be used."""

    FRESH = "fresh"
    """It is later than all others of its sender."""

    REPEATED = "repeated"
    """It, or a later one of its sender, was seen before."""

    WRONG_CLOCK = "wrong_clock"
    """It is the first of its sender and was sent at another time."""


@attrs.define(kw_only=True)
class _Mark:
    incarnation: int
    sequence: int
    seen_s: float


class ReplayFilter:
    """Lets each sender's datagrams pass in rising order only.

    A sender that is not remembered has to have a clock that roughly agrees, so
    that recordings of a dead process are worthless after a short time.
    """

    def __init__(self):
        self._marks_by_node_id: dict[str, _Mark] = {}

    def check(
        self, message: Heartbeat | ZoneDigest, *, now_s: float, wall_ms: int
    ) -> ReplayVerdict:
        """Decide on an authenticated datagram and remember it.

        Args:
            message: The datagram's content.
            now_s: Monotonic time.
            wall_ms: Own wall clock, in ms since the epoch.
        """
        mark = self._marks_by_node_id.get(message.node_id)
        if mark is None:
            if abs(wall_ms - message.sent_ms) > MAX_CLOCK_DIFFERENCE_MS:
                return ReplayVerdict.WRONG_CLOCK
        elif _is_stale(message, mark):
            return ReplayVerdict.REPEATED
        self._marks_by_node_id[message.node_id] = _Mark(
            incarnation=message.incarnation, sequence=message.sequence, seen_s=now_s
        )
        return ReplayVerdict.FRESH

    def forget_silent(self, *, now_s: float) -> None:
        """Drop senders that have been silent for long.

        Args:
            now_s: Monotonic time.
        """
        silent = [
            node_id
            for node_id, mark in self._marks_by_node_id.items()
            if now_s - mark.seen_s > MARK_LIFETIME_S
        ]
        for node_id in silent:
            del self._marks_by_node_id[node_id]


def _is_stale(message: Heartbeat | ZoneDigest, mark: _Mark) -> bool:
    if message.incarnation != mark.incarnation:
        return message.incarnation < mark.incarnation
    return message.sequence <= mark.sequence
