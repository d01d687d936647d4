"""Where this node believes that shared prompt parts are cached."""

from __future__ import annotations

from collections import OrderedDict

__all__ = ["KvHolders"]

MAX_PARTS = 4096
"""Parts remembered; the least recently used one is forgotten first."""

MAX_HOLDERS = 4
"""Replicas remembered for one part."""


class KvHolders:
    """Remembers which replicas computed a part, newest first.

    It is a hint: replicas evict parts without a word. What it names is dropped when
    a part has not been used for the retention time.

    Args:
        retention_s: Time after the last use for which a part is expected to stay.
    """

    def __init__(self, *, retention_s: float):
        self._retention_s = retention_s
        self._holders_by_part: OrderedDict[tuple[str, str], dict[str, float]] = (
            OrderedDict()
        )

    def record(self, salt: str, part_id: str, incarnation: str, now_s: float) -> None:
        """Note that a replica has just computed or used a part."""
        key = (salt, part_id)
        holders = self._holders_by_part.setdefault(key, {})
        self._holders_by_part.move_to_end(key)
        holders.pop(incarnation, None)
        holders[incarnation] = now_s
        while len(holders) > MAX_HOLDERS:
            del holders[next(iter(holders))]
        if len(self._holders_by_part) > MAX_PARTS:
            self._holders_by_part.popitem(last=False)

    def holders(self, salt: str, part_id: str, now_s: float) -> list[str]:
        """Return the incarnations that hold a part, most recently used first."""
        holders = self._holders_by_part.get((salt, part_id), {})
        return [
            incarnation
            for incarnation, used_s in reversed(holders.items())
            if now_s - used_s < self._retention_s
        ]

    def forget(self, incarnation: str) -> None:
        """Drop a replica that has lost its cache."""
        for holders in self._holders_by_part.values():
            holders.pop(incarnation, None)
