"""Positions of records: an offset together with the store's era.

A store that returns from an older copy gives offsets out again, and its era rises. A
position orders records over all eras. It is a single number, so that everything that
compares, stores or sends offsets can use positions instead.
"""

from __future__ import annotations

__all__ = [
    "MAX_ERA",
    "MAX_OFFSET",
    "era_of",
    "offset_of",
    "to_position",
]

OFFSET_BITS = 40
MAX_OFFSET = (1 << OFFSET_BITS) - 1
MAX_ERA = (1 << 13) - 1
"""Largest era. Positions are sent as JSON numbers, whose integers are exact up to 53
bits in many implementations."""


def to_position(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return (era << OFFSET_BITS) + offset


def era_of(position: int) -> int:
    """Return the era of a position; 0 for a negative one, which precedes all records."""
    return max(0, position >> OFFSET_BITS)


def offset_of(position: int) -> int:
    """Return the offset of a position; a negative position stays negative."""
    return position if position < 0 else position & MAX_OFFSET
