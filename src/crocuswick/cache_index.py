"""Index of the blocks that engines hold, built from unreliable event streams.

The index may be inaccurate. Gaps in an engine's sequence numbers are counted; when
too many events are missing, a snapshot replaces the engine's entries. When an engine
restarts as a new incarnation, its entries are removed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from crocuswick.block_table import BlockTable

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "CacheEvents",
    "CacheIndex",
    "CacheSnapshot",
    "PrefixHolders",
]

DEFAULT_MAX_BLOCKS = 600_000
MAX_RETIRED_INCARNATIONS = 8
"""Earlier incarnations remembered for each endpoint, to ignore late messages."""

MAX_MISSING_FRACTION = 0.004
"""Missing events, as a fraction of the blocks held, above which a snapshot is needed."""


class CacheEventKind(StrEnum):
    """Kind of change that a cache event reports."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@attrs.frozen(kw_only=True)
class CacheEvent:
    """One change to an engine's cache."""

    seq: int
    """Sequence number within the engine's incarnation."""

    kind: str
    """A `CacheEventKind`."""

    keys: Sequence[int] = ()
    """Keys of the affected blocks; empty for ``cleared``."""


@attrs.frozen(kw_only=True)
class CacheEvents:
    """A batch of cache events returned by an engine."""

    incarnation: str
    """Incarnation of the engine."""

    first_seq: int
    """Sequence number of the oldest event that the engine still retains."""

    next_seq: int
    """Sequence number of the first event after the batch."""

    events: Sequence[CacheEvent]
    """The events, in order of their sequence numbers."""


@attrs.frozen(kw_only=True)
class CacheSnapshot:
    """All blocks that an engine held at one point in time."""

    incarnation: str
    """Incarnation of the engine."""

    next_seq: int
    """Sequence number of the first event after the snapshot."""

    keys: Sequence[int]
    """Keys of the blocks held."""


@attrs.define(kw_only=True)
class PrefixHolders:
    """Endpoints that hold the same number of leading blocks of a prompt."""

    blocks: int
    """Number of leading blocks held."""

    mask: int
    """Bit mask of the endpoints, one bit for each slot."""


@attrs.define(kw_only=True)
class _EndpointStream:
    """State of one engine's event stream."""

    slot: int
    incarnation: str = ""
    lost_incarnation: str = ""
    """Last incarnation before the engine became unreachable; it may come back."""

    next_seq: int | None = None
    missing_events: int = 0
    blocks: int = 0
    retired: deque[str] = attrs.field(
        factory=lambda: deque(maxlen=MAX_RETIRED_INCARNATIONS)
    )

    @property
    def bit(self) -> int:
        return 1 << self.slot

    @property
    def needs_snapshot(self) -> bool:
        if self.next_seq is None:
            return True
        return self.missing_events > MAX_MISSING_FRACTION * self.blocks


class CacheIndex:
    """Index of the endpoints that hold the leading blocks of a prompt."""

    def __init__(self, *, max_blocks: int = DEFAULT_MAX_BLOCKS):
        self._table = BlockTable(max_blocks=max_blocks)
        self._streams_by_endpoint: dict[str, _EndpointStream] = {}
        self._free_slots: list[int] = []

    def __len__(self) -> int:
        return len(self._table)

    def add_endpoint(self, endpoint_id: str) -> int:
        """Start tracking an endpoint and return its slot."""
        stream = self._streams_by_endpoint.get(endpoint_id)
        if stream is None:
            slots = self._free_slots
            slot = slots.pop() if slots else len(self._streams_by_endpoint)
            stream = _EndpointStream(slot=slot)
            self._streams_by_endpoint[endpoint_id] = stream
        return stream.slot

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Stop tracking an endpoint and remove its blocks."""
        self.clear(endpoint_id)
        stream = self._streams_by_endpoint.pop(endpoint_id)
        self._free_slots.append(stream.slot)

    def clear(self, endpoint_id: str, *, incarnation: str = "") -> None:
        """Remove an endpoint's blocks.

        Args:
            endpoint_id: The endpoint.
            incarnation: The engine's new incarnation, if known.
        """
        stream = self._streams_by_endpoint[endpoint_id]
        self._table.clear(stream.bit)
        before = stream.incarnation or stream.lost_incarnation
        if incarnation and before not in ("", incarnation):
            stream.retired.append(before)
        stream.lost_incarnation = "" if incarnation else before
        stream.incarnation = incarnation
        stream.next_seq = None
        stream.missing_events = 0
        stream.blocks = 0

    def incarnation(self, endpoint_id: str) -> str:
        """Return the incarnation to which an endpoint's blocks belong."""
        return self._streams_by_endpoint[endpoint_id].incarnation

    def is_retired(self, endpoint_id: str, incarnation: str) -> bool:
        """Return whether a later incarnation than the given one has been seen."""
        return incarnation in self._streams_by_endpoint[endpoint_id].retired

    def block_count(self, endpoint_id: str) -> int:
        """Return the approximate number of blocks indexed for an endpoint."""
        return self._streams_by_endpoint[endpoint_id].blocks

    def in_sync(self, endpoint_id: str) -> bool:
        """Return whether no event is known to be missing since the last snapshot."""
        stream = self._streams_by_endpoint[endpoint_id]
        return stream.next_seq is not None and not stream.missing_events

    def apply_events(self, endpoint_id: str, batch: CacheEvents) -> bool:
        """Apply a batch of events.

        Args:
            endpoint_id: The endpoint.
            batch: Events of one incarnation; duplicates are ignored.

        Returns:
            Whether a snapshot is needed: either the first events are missing, or
            more events than `MAX_MISSING_FRACTION` of the blocks held.
        """
        stream = self._streams_by_endpoint[endpoint_id]
        if batch.incarnation in stream.retired:
            return stream.needs_snapshot
        if batch.incarnation != stream.incarnation:
            self._begin_incarnation(endpoint_id, batch)
        for event in batch.events:
            if stream.next_seq is None or event.seq >= stream.next_seq:
                self._apply_event(stream, event)
        self._table.sweep()
        if stream.next_seq is not None and stream.next_seq < batch.next_seq:
            stream.missing_events += batch.next_seq - stream.next_seq
            stream.next_seq = batch.next_seq
        return stream.needs_snapshot

    def apply_snapshot(self, endpoint_id: str, snapshot: CacheSnapshot) -> None:
        """Replace an endpoint's blocks, unless the snapshot is outdated.

        Args:
            endpoint_id: The endpoint.
            snapshot: All blocks of one incarnation.
        """
        stream = self._streams_by_endpoint[endpoint_id]
        if snapshot.incarnation in stream.retired:
            return
        is_known = snapshot.incarnation == stream.incarnation
        if is_known and (stream.next_seq or 0) > snapshot.next_seq:
            return
        self.clear(endpoint_id, incarnation=snapshot.incarnation)
        self._store(stream, snapshot.keys)
        stream.next_seq = snapshot.next_seq
        self._table.sweep()

    def add_blocks(self, endpoint_id: str, keys: Iterable[int]) -> None:
        """Add blocks that an endpoint holds because it has computed a prompt with them."""
        self._store(self._streams_by_endpoint[endpoint_id], keys)

    def prefix_holders(self, keys: Sequence[int]) -> list[PrefixHolders]:
        """Return the endpoints that hold leading blocks of a prompt.

        Args:
            keys: Chained keys of the prompt's blocks.

        Returns:
            Groups of endpoints, longest prefix first; an endpoint appears in one
            group only.
        """
        first = self._table.mask(keys[0]) if keys else 0
        if not first:
            return []
        groups = []
        last = first & self._table.mask(keys[-1])
        if last:
            groups.append(PrefixHolders(blocks=len(keys), mask=last))
        self._append_groups(keys, 0, first, len(keys) - 1, last, groups)
        return groups

    def _append_groups(
        self,
        keys: Sequence[int],
        low: int,
        low_mask: int,
        high: int,
        high_mask: int,
        groups: list[PrefixHolders],
    ) -> None:
        """Append the groups that end between two blocks, by bisection.

        Engines evict the end of a prompt first, so an endpoint that holds a block
        normally holds those before it too. Where it doesn't, the index is corrected
        when the endpoint has computed the request's prompt.
        """
        if low_mask == high_mask:
            return
        if high - low == 1:
            mask = low_mask & ~high_mask
            groups.append(PrefixHolders(blocks=low + 1, mask=mask))
            return
        middle = (low + high) // 2
        mask = (low_mask & self._table.mask(keys[middle])) | high_mask
        self._append_groups(keys, middle, mask, high, high_mask, groups)
        self._append_groups(keys, low, low_mask, middle, mask, groups)

    def _begin_incarnation(self, endpoint_id: str, batch: CacheEvents) -> None:
        self.clear(endpoint_id, incarnation=batch.incarnation)
        if batch.first_seq == 0:
            # The engine retains all its events, so the index built from them is
            # complete.
            self._streams_by_endpoint[endpoint_id].next_seq = 0

    def _apply_event(self, stream: _EndpointStream, event: CacheEvent) -> None:
        if stream.next_seq is not None:
            stream.missing_events += event.seq - stream.next_seq
            stream.next_seq = event.seq + 1
        if event.kind == CacheEventKind.STORED:
            self._store(stream, event.keys)
        elif event.kind == CacheEventKind.EVICTED:
            self._evict(stream, event.keys)
        elif event.kind == CacheEventKind.CLEARED:
            self._table.clear(stream.bit)
            stream.blocks = 0

    def _store(self, stream: _EndpointStream, keys: Iterable[int]) -> None:
        add = self._table.add
        bit = stream.bit
        stream.blocks += sum([add(key, bit) for key in keys])

    def _evict(self, stream: _EndpointStream, keys: Iterable[int]) -> None:
        discard = self._table.discard
        bit = stream.bit
        stream.blocks -= sum([discard(key, bit) for key in keys])
