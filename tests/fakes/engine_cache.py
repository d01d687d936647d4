"""The prefix cache of the fake engine, and the events that it publishes."""

from __future__ import annotations

import random
import time
from collections import OrderedDict, deque
from typing import Any

import attrs

__all__ = ["CacheEvent", "PrefixCache", "key_to_hex"]

MAX_RETAINED_EVENTS = 4096


def key_to_hex(key: int) -> str:
    """Return the protocol's representation of a block key."""
    return f"{key:016x}"


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A change of the cache. A lost event still consumes its sequence number."""

    seq: int
    kind: str
    keys: list[int]
    visible_s: float
    """Monotonic time from which readers receive the event."""

    is_lost: bool

    def as_body(self) -> dict[str, Any]:
        """Return the protocol's representation of the event."""
        keys = [key_to_hex(key) for key in self.keys]
        return {"seq": self.seq, "kind": self.kind, "keys": keys}


class PrefixCache:
    """A cache of blocks by key, with eviction of the least recently used."""

    def __init__(self, *, capacity_blocks: int):
        self.capacity_blocks = capacity_blocks
        self.event_delay_s = 0.0
        self.event_drop_rate = 0.0
        self.next_seq = 0
        self._blocks_by_key: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_RETAINED_EVENTS)

    def __len__(self) -> int:
        return len(self._blocks_by_key)

    def all_keys(self) -> list[int]:
        """Return the keys of all blocks."""
        return list(self._blocks_by_key)

    def cached_keys(self, keys: list[int]) -> list[int]:
        """Return the given keys whose blocks are cached."""
        return [key for key in keys if key in self._blocks_by_key]

    def match(self, keys: list[int]) -> int:
        """Count the leading blocks that are cached, and mark them as used."""
        count = 0
        while count < len(keys) and keys[count] in self._blocks_by_key:
            count += 1
        self._touch(keys[:count])
        return count

    def store(self, keys: list[int]) -> int:
        """Store blocks, evict those beyond the capacity, and publish both changes.

        Args:
            keys: Keys in the order of the prompt.

        Returns:
            Number of blocks that were not cached before.
        """
        keys = keys[: self.capacity_blocks]
        new = [key for key in keys if key not in self._blocks_by_key]
        self._blocks_by_key.update(dict.fromkeys(new))
        self._touch(keys)
        surplus = max(0, len(self._blocks_by_key) - self.capacity_blocks)
        evicted = [self._blocks_by_key.popitem(last=False)[0] for _ in range(surplus)]
        if evicted:
            self._publish("evicted", evicted)
        if new:
            self._publish("stored", new)
        return len(new)

    def clear(self) -> None:
        """Drop all blocks and publish the change."""
        self._blocks_by_key.clear()
        self._publish("cleared", [])

    def events_body(self, *, after: int) -> dict[str, Any]:
        """Return the visible events after a sequence number."""
        now_s = time.monotonic()
        visible = [
            event
            for event in self._events
            if event.visible_s <= now_s and not event.is_lost
        ]
        sent = [event for event in visible if event.seq > after]
        return {
            "first_seq": self._events[0].seq if self._events else self.next_seq,
            # A reader can detect a lost event only once a later one is visible.
            "next_seq": visible[-1].seq + 1 if visible else 0,
            "events": [event.as_body() for event in sent],
        }

    def next_visible_s(self, *, after: int) -> float | None:
        """Return the time at which an event after a number becomes visible."""
        times = [
            event.visible_s
            for event in self._events
            if event.seq > after and not event.is_lost
        ]
        return min(times, default=None)

    def _touch(self, keys: list[int]) -> None:
        # In reverse order, so that the end of a prefix is evicted before its start.
        for key in reversed(keys):
            self._blocks_by_key.move_to_end(key)

    def _publish(self, kind: str, keys: list[int]) -> None:
        event = CacheEvent(
            seq=self.next_seq,
            kind=kind,
            keys=keys,
            visible_s=time.monotonic() + self.event_delay_s,
            is_lost=random.random() < self.event_drop_rate,
        )
        self.next_seq += 1
        self._events.append(event)
