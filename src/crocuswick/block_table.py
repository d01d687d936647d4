"""Compact map from block keys to the set of endpoints that hold the block.

Keys are stored in sorted arrays, split into buckets by their highest bits, so that
search, insertion and deletion run in C code. Each key refers to a holder set by
number; a holder set is a bit mask that many keys share. Clearing an endpoint
rewrites the holder sets and not the keys; keys without holders are swept later,
some buckets at a time.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left

__all__ = ["BlockTable"]

_KEY_BITS = 64
_BUCKET_BITS = 11
_BUCKETS = 1 << _BUCKET_BITS
_SHIFT = _KEY_BITS - _BUCKET_BITS
_SWEEP_BUCKETS = 16
"""Buckets swept by one call."""


class _HolderSets:
    """Numbered bit masks with a reference count each."""

    def __init__(self):
        self._masks: list[int] = []
        self._reference_counts: list[int] = []
        self._number_by_mask: dict[int, int] = {}
        self._free_numbers: list[int] = []

    def __len__(self) -> int:
        return len(self._masks) - len(self._free_numbers)

    def mask(self, number: int) -> int:
        """Return the mask with the given number."""
        return self._masks[number]

    def acquire(self, mask: int) -> int:
        """Return the number of a mask and increment its reference count."""
        number = self._number_by_mask.get(mask)
        if number is None:
            number = self._allocate(mask)
        self._reference_counts[number] += 1
        return number

    def release(self, number: int) -> None:
        """Decrement the reference count of a number, and free it at zero."""
        self._reference_counts[number] -= 1
        if self._reference_counts[number]:
            return
        mask = self._masks[number]
        if self._number_by_mask.get(mask) == number:
            del self._number_by_mask[mask]
        self._free_numbers.append(number)

    def clear_bit(self, bit: int) -> None:
        """Remove a bit from every mask."""
        for number, mask in enumerate(self._masks):
            if mask & bit and self._reference_counts[number]:
                self._masks[number] = mask & ~bit
        # Masks that have become equal keep their numbers; new keys refer to the highest
        # of these numbers.
        self._number_by_mask = {
            mask: number
            for number, mask in enumerate(self._masks)
            if self._reference_counts[number]
        }

    def _allocate(self, mask: int) -> int:
        if self._free_numbers:
            number = self._free_numbers.pop()
            self._masks[number] = mask
        else:
            number = len(self._masks)
            self._masks.append(mask)
            self._reference_counts.append(0)
        self._number_by_mask[mask] = number
        return number


class BlockTable:
    """Maps a bounded number of 64-bit block keys to bit masks of their holders."""

    def __init__(self, *, max_blocks: int):
        self._max_blocks = max_blocks
        self._keys_by_bucket: list[array | None] = [None] * _BUCKETS
        self._sets_by_bucket: list[array | None] = [None] * _BUCKETS
        self._holders = _HolderSets()
        self._count = 0
        self._sweep_position = 0
        self._buckets_to_sweep = 0

    def __len__(self) -> int:
        return self._count

    def mask(self, key: int) -> int:
        """Return the bit mask of a key's holders, 0 if there are none."""
        keys = self._keys_by_bucket[key >> _SHIFT]
        if keys is None:
            return 0
        position = bisect_left(keys, key)
        if position == len(keys) or keys[position] != key:
            return 0
        return self._holders.mask(self._sets_by_bucket[key >> _SHIFT][position])

    def add(self, key: int, bit: int) -> bool:
        """Add a holder to a key.

        Args:
            key: Block key.
            bit: The holder's bit.

        Returns:
            Whether the holder was added.
        """
        bucket = key >> _SHIFT
        keys = self._keys_by_bucket[bucket]
        if keys is None:
            keys = self._create_bucket(bucket)
        sets = self._sets_by_bucket[bucket]
        position = bisect_left(keys, key)
        if position < len(keys) and keys[position] == key:
            return self._update_holders(sets, position, set_bits=bit, clear_bits=0)
        if self._count >= self._max_blocks:
            position = self._evict_one(keys, sets, key)
            if position is None:
                return False
        keys.insert(position, key)
        sets.insert(position, self._holders.acquire(bit))
        self._count += 1
        return True

    def discard(self, key: int, bit: int) -> bool:
        """Remove a holder from a key.

        Args:
            key: Block key.
            bit: The holder's bit.

        Returns:
            Whether the holder was removed.
        """
        bucket = key >> _SHIFT
        keys = self._keys_by_bucket[bucket]
        if keys is None:
            return False
        position = bisect_left(keys, key)
        if position == len(keys) or keys[position] != key:
            return False
        sets = self._sets_by_bucket[bucket]
        changed = self._update_holders(sets, position, set_bits=0, clear_bits=bit)
        if not self._holders.mask(sets[position]):
            self._delete(keys, sets, position)
        return changed

    def clear(self, bit: int) -> None:
        """Remove a holder from all keys."""
        self._holders.clear_bit(bit)
        self._buckets_to_sweep = _BUCKETS

    @property
    def sweep_pending(self) -> bool:
        """Whether there may be keys without holders."""
        return self._buckets_to_sweep > 0

    def sweep(self) -> None:
        """Remove keys without holders from the next few buckets."""
        for _ in range(min(_SWEEP_BUCKETS, self._buckets_to_sweep)):
            self._sweep_bucket(self._sweep_position)
            self._sweep_position = (self._sweep_position + 1) % _BUCKETS
            self._buckets_to_sweep -= 1

    def _create_bucket(self, bucket: int) -> array:
        self._keys_by_bucket[bucket] = array("Q")
        self._sets_by_bucket[bucket] = array("I")
        return self._keys_by_bucket[bucket]

    def _update_holders(
        self, sets: array, position: int, *, set_bits: int, clear_bits: int
    ) -> bool:
        number = sets[position]
        old = self._holders.mask(number)
        new = (old | set_bits) & ~clear_bits
        if new == old:
            return False
        sets[position] = self._holders.acquire(new)
        self._holders.release(number)
        return True

    def _evict_one(self, keys: array, sets: array, key: int) -> int | None:
        # Any key of the bucket may be evicted: the index need not be complete, but its
        # size is bounded.
        if not keys:
            return None
        self._delete(keys, sets, key % len(keys))
        return bisect_left(keys, key)

    def _delete(self, keys: array, sets: array, position: int) -> None:
        self._holders.release(sets[position])
        del keys[position]
        del sets[position]
        self._count -= 1

    def _sweep_bucket(self, bucket: int) -> None:
        keys = self._keys_by_bucket[bucket]
        if keys is None:
            return
        sets = self._sets_by_bucket[bucket]
        for position in range(len(keys) - 1, -1, -1):
            if not self._holders.mask(sets[position]):
                self._delete(keys, sets, position)
