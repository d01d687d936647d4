"""Rendezvous (highest random weight) hashing with integer keys.

Every process that knows the same members computes the same choice without
talking to any other, and a member that joins or leaves moves only its own keys.
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
_MAX_REMEMBERED = 512


def stable_hash(text: str) -> int:
    """Return a 64-bit hash of a text that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class Rendezvous:
    """Chooses members for keys by highest random weight."""

    def __init__(self, *, members: Iterable[str]):
        self._members = sorted(set(members))
        self._hashes = [
            stable_hash(member) >> _KEY_SHIFT | 1 for member in self._members
        ]
        self._remembered: dict[tuple[int, int], list[str]] = {}

    @property
    def members(self) -> Sequence[str]:
        """All members, in order of their names."""
        return self._members

    def choose(self, key: int) -> str | None:
        """Return the member for a key, or None if there are no members."""
        chosen = self.choose_many(key, count=1)
        return chosen[0] if chosen else None

    def choose_many(self, key: int, *, count: int) -> Sequence[str]:
        """Return the members for a key, best first.

        Args:
            key: 64-bit key.
            count: The number of members wanted.

        Returns:
            At most ``count`` members.
        """
        chosen = self._remembered.get((key, count))
        if chosen is None:
            chosen = self._choose_many(key, count)
            if len(self._remembered) >= _MAX_REMEMBERED:
                self._remembered.clear()
            self._remembered[key, count] = chosen
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
        # Multiplicative hashing in 30 bits, which fit one digit of Python's integers;
        # the loops run in the interpreter's C code.
        multiplier = key >> _KEY_SHIFT | 1
        products = map(operator.mul, itertools.repeat(multiplier), self._hashes)
        return list(map(operator.and_, products, itertools.repeat(_MASK)))
