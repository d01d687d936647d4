"""Rendezvous (highest random weight) hashing with integer keys.

All processes that know the same members compute the same choice without any
communication. When a member joins or leaves, only its own keys move.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import operator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ["Rendezvous", "stable_hash"]

_HASH_BITS = 30
_MASK = (1 << _HASH_BITS) - 1
_KEY_SHIFT = 64 - _HASH_BITS
_MAX_CACHED_CHOICES = 512


def stable_hash(text: str) -> int:
    """Return a 64-bit hash of a text that is identical in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class Rendezvous:
    """Chooses members for keys by highest random weight."""

    def __init__(self, *, members: Iterable[str]):
        self._members = sorted(set(members))
        self._hashes = [
            stable_hash(member) >> _KEY_SHIFT | 1 for member in self._members
        ]
        self._choices_cache: dict[tuple[int, int], list[str]] = {}

    @property
    def members(self) -> Sequence[str]:
        """All members, sorted by name."""
        return self._members

    def choose(self, key: int) -> str | None:
        """Return the member for a key, or None if there are no members."""
        chosen = self.choose_many(key, count=1)
        return chosen[0] if chosen else None

    def choose_many(self, key: int, *, count: int) -> Sequence[str]:
        """Return the members for a key, best first.

        Args:
            key: 64-bit key.
            count: Maximum number of members to return.

        Returns:
            At most ``count`` members.
        """
        chosen = self._choices_cache.get((key, count))
        if chosen is None:
            chosen = self._choose_many(key, count)
            if len(self._choices_cache) >= _MAX_CACHED_CHOICES:
                self._choices_cache.clear()
            self._choices_cache[key, count] = chosen
        return chosen

    def _choose_many(self, key: int, count: int) -> list[str]:
        if not self._members:
            return []
        weights = self._weights(key)
        if count == 1:
            return [self._members[weights.index(max(weights))]]
        best = heapq.nlargest(count, range(len(weights)), key=weights.__getitem__)
        return [self._members[position] for position in best]

    def _weights(self, key: int) -> list[int]:
        # Multiplicative hashing with 30 bits, the size of one digit of a Python integer.
        # `map` runs the loops in C code.
        multiplier = key >> _KEY_SHIFT | 1
        products = map(operator.mul, itertools.repeat(multiplier), self._hashes)
        return list(map(operator.and_, products, itertools.repeat(_MASK)))
