"""Recent news that nodes pass on to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

import attrs

from crocuswick.nodes.node_state import EndpointSignal
from crocuswick.quarantine import CrashReport

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

__all__ = ["NewsBoard"]

SHARE_S = 10.0
"""Age up to which news are passed on."""

KEEP_S = 30.0
"""Age up to which news are remembered, so that they are reported once."""

REPEAT_GAP_S = 2.0
"""Difference in time from which the same news count as having happened again."""

MAX_SHARED_ITEMS = 12
"""News passed on at once."""

_MS_PER_S = 1000

News = TypeVar("News", CrashReport, EndpointSignal)


@attrs.define(kw_only=True)
class _Posted(Generic[News]):
    item: News
    happened_s: float
    times_shared: int = 0


class NewsBoard(Generic[News]):
    """News of one kind, each kept once however often and from where it comes."""

    def __init__(self):
        self._posted_by_key: dict[Hashable, _Posted[News]] = {}

    def add(self, items: Iterable[News], *, now_s: float) -> list[News]:
        """Take in news.

        Args:
            items: News with their ages.
            now_s: Monotonic time.

        Returns:
            Those that were not known.
        """
        return [item for item in items if self._add_one(item, now_s=now_s)]

    def shared(self, *, now_s: float) -> tuple[News, ...]:
        """Return the news to be passed on next.

        Those that were passed on least often go first, so that each of many news
        has its turn.

        Args:
            now_s: Monotonic time.
        """
        self._drop_old(now_s=now_s)
        recent = [
            posted
            for posted in self._posted_by_key.values()
            if now_s - posted.happened_s < SHARE_S
        ]
        recent.sort(key=lambda posted: (posted.times_shared, -posted.happened_s))
        chosen = recent[:MAX_SHARED_ITEMS]
        for posted in chosen:
            posted.times_shared += 1
        return tuple(_aged(posted, now_s=now_s) for posted in chosen)

    def _add_one(self, item: News, *, now_s: float) -> bool:
        key = attrs.evolve(item, age_ms=0)
        happened_s = now_s - item.age_ms / _MS_PER_S
        if now_s - happened_s > KEEP_S:
            return False
        known = self._posted_by_key.get(key)
        if known is not None and happened_s - known.happened_s < REPEAT_GAP_S:
            return False
        self._posted_by_key[key] = _Posted(item=item, happened_s=happened_s)
        return True

    def _drop_old(self, *, now_s: float) -> None:
        old = [
            key
            for key, posted in self._posted_by_key.items()
            if now_s - posted.happened_s > KEEP_S
        ]
        for key in old:
            del self._posted_by_key[key]


def _aged(posted: _Posted[News], *, now_s: float) -> News:
    age_ms = round((now_s - posted.happened_s) * _MS_PER_S)
    return attrs.evolve(posted.item, age_ms=max(0, age_ms))
