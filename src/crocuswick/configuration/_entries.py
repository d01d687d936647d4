"""Objects and faults with their place in a set, and the registry of checks."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

__all__ = ["SET_CHECKS", "Entry", "PlacedFault", "SetCheck", "set_check"]


@attrs.frozen(kw_only=True)
class PlacedFault:
    """A fault at an index of the list, before its line is looked up."""

    index: int
    """Index of the object."""

    label: str
    """Kind and id of the object, or its place in the list."""

    path: tuple[str | int, ...]
    """Path of the field within the object."""

    message: str
    """What is wrong, in a sentence for people."""


@attrs.frozen(kw_only=True)
class Entry:
    """An object as far as it could be read, with its place in the list."""

    index: int
    """Index of the object."""

    kind: str
    """Kind of the object."""

    values_by_field: Mapping[str, Any]
    """The fields that could be read."""

    @property
    def label(self) -> str:
        """Kind and id of the object, or its place in the list."""
        object_id = self.values_by_field.get("id")
        return f"{self.kind} {object_id}" if object_id else f"objects[{self.index}]"

    def get(self, field: str) -> Any:
        """Return a field's value, or None if it could not be read."""
        return self.values_by_field.get(field)

    def fault(self, path: tuple[str | int, ...], message: str) -> PlacedFault:
        """Return a fault of this object.

        Args:
            path: Path of the field within the object.
            message: What is wrong.
        """
        return PlacedFault(
            index=self.index, label=self.label, path=path, message=message
        )


SetCheck = Callable[[list[Entry]], Iterator[PlacedFault]]
"""Yields the faults that objects have together."""

SET_CHECKS: list[SetCheck] = []
"""Every check over a whole set, filled by `set_check`."""


def set_check(check: SetCheck) -> SetCheck:
    """Register a check over the objects of a set."""
    SET_CHECKS.append(check)
    return check
