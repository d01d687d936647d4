"""Typed values of the fields in the platform's records.

What a field may grant is granted only if the record says so: a value of another type is an
error, and null is the stricter choice.
"""

from __future__ import annotations

import ipaddress
import math
from typing import Any

from crocuswick.host_port import HostPort

__all__ = ["address", "flag", "integer", "items", "number", "text"]

MAX_INTEGER = 2**63 - 1
"""Largest number in a record; larger ones can't be converted to times or packed."""


def text(value: Any) -> str:
    """Return a text that is not empty.

    Raises:
        TypeError: It is empty or of another type.
    """
    if not isinstance(value, str) or not value:
        raise TypeError(f"not a non-empty string: {value!r:.60}")
    return value


def integer(value: Any) -> int:
    """Return an integer from 0 to `MAX_INTEGER`.

    Raises:
        TypeError: It is of another type.
        ValueError: It is out of range.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"not an integer: {value!r:.60}")
    if not 0 <= value <= MAX_INTEGER:
        raise ValueError("an integer is out of range")
    return value


def number(entry: dict[str, Any], field: str, *, place: str) -> float:
    """Return a finite number of 0 or more, which must be given.

    Args:
        entry: The record or the part of it that holds the field.
        field: Name of the field.
        place: What the entry describes, for error messages.

    Raises:
        TypeError: It is of another type.
        ValueError: It is negative, too large or not finite.
    """
    value = entry[field]
    name = f"{field} of {place}"
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is not a number: {value!r:.60}")
    if not 0 <= value <= MAX_INTEGER or not math.isfinite(value):
        raise ValueError(f"{name} must be a finite number of 0 or more: {value!r:.60}")
    return value


def flag(entry: dict[str, Any], field: str, *, place: str, if_null: bool) -> bool:
    """Return a flag, false if it is absent.

    Args:
        entry: The part of a record that holds the field.
        field: Name of the field.
        place: What the entry describes, for error messages.
        if_null: Value that grants nothing, used for null.

    Raises:
        TypeError: It is of another type.
    """
    value = entry.get(field, False)
    if value is None:
        return if_null
    if not isinstance(value, bool):
        raise TypeError(f"{field} of {place} is not true or false: {value!r:.60}")
    return value


def items(value: Any) -> list[Any]:
    """Return a list.

    Raises:
        TypeError: It is of another type.
    """
    if not isinstance(value, list):
        raise TypeError(f"not a list: {value!r:.60}")
    return value


def address(value: Any) -> str:
    """Return a ``host:port`` whose host is an IPv4 address.

    Raises:
        TypeError: It is of another type.
        ValueError: It is no such address.
    """
    peer = HostPort.try_parse(text(value))
    if peer is None:
        raise ValueError(f"not a host:port address: {value!r:.60}")
    ipaddress.IPv4Address(peer.host)
    return value
