"""Buffer of recent updates that nodes gossip to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

import attrs

from crocuswick.nodes.node_state import EndpointSignal
from crocuswick.quarantine import CrashReport

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

__all__ = ["GossipBuffer"]

MAX_SEND_AGE_S = 10.0
"""Age up to which updates are sent to other nodes."""

RETENTION_S = 30.0
"""Age up to which updates are kept, so that duplicates are recognised."""

NEW_OCCURRENCE_GAP_S = 2.0
"""Minimum time between equal updates that count as separate occurrences."""

MAX_BATCH_ITEMS = 12
"""Maximum number of updates in one message."""

_MS_PER_S = 1000

Update = TypeVar("Update", CrashReport, EndpointSignal)


@attrs.define(kw_only=True)
class _BufferedItem(Generic[Update]):
    item: Update
    occurred_s: float
    times_sent: int = 0


class GossipBuffer(Generic[Update]):
    """Deduplicated recent updates of one type."""

    def __init__(self):
        self._buffered_by_key: dict[Hashable, _BufferedItem[Update]] = {}

    def add(self, items: Iterable[Update], *, now_s: float) -> list[Update]:
        """Add updates.

        Args:
            items: Updates with their ages.
            now_s: Monotonic time.

        Returns:
            The updates that were not known.
        """
        return [item for item in items if self._add_one(item, now_s=now_s)]

    def next_batch(self, *, now_s: float) -> tuple[Update, ...]:
        """Return the updates to send with the next message.

        Those that were sent least often go first, so that none is starved when
        there are many.

        Args:
            now_s: Monotonic time.
        """
        self._remove_expired(now_s=now_s)
        recent = [
            buffered
            for buffered in self._buffered_by_key.values()
            if now_s - buffered.occurred_s < MAX_SEND_AGE_S
        ]
        recent.sort(key=lambda buffered: (buffered.times_sent, -buffered.occurred_s))
        chosen = recent[:MAX_BATCH_ITEMS]
        for buffered in chosen:
            buffered.times_sent += 1
        return tuple(_with_current_age(buffered, now_s=now_s) for buffered in chosen)

    def _add_one(self, item: Update, *, now_s: float) -> bool:
        key = attrs.evolve(item, age_ms=0)
        occurred_s = now_s - item.age_ms / _MS_PER_S
        if now_s - occurred_s > RETENTION_S:
            return False
        known = self._buffered_by_key.get(key)
        if known is not None and occurred_s - known.occurred_s < NEW_OCCURRENCE_GAP_S:
            return False
        self._buffered_by_key[key] = _BufferedItem(item=item, occurred_s=occurred_s)
        return True

    def _remove_expired(self, *, now_s: float) -> None:
        expired = [
            key
            for key, buffered in self._buffered_by_key.items()
            if now_s - buffered.occurred_s > RETENTION_S
        ]
        for key in expired:
            del self._buffered_by_key[key]


def _with_current_age(buffered: _BufferedItem[Update], *, now_s: float) -> Update:
    age_ms = round((now_s - buffered.occurred_s) * _MS_PER_S)
    return attrs.evolve(buffered.item, age_ms=max(0, age_ms))
