"""Objects and faults with their index in a set, and the registry of checks."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

__all__ = ["SET_CHECKS", "Entry", "IndexedFault", "SetCheck", "set_check"]


@attrs.frozen(kw_only=True)
class IndexedFault:
    """A fault located by object index, before its line is determined."""

    index: int
    """Index of the object."""

    label: str
    """Kind and id of the object, or its index if it has no id."""

    path: tuple[str | int, ...]
    """Path of the field within the object."""

    message: str
    """Human-readable description."""


@attrs.frozen(kw_only=True)
class Entry:
    """The fields of an object that could be parsed, with its index in the list."""

    index: int
    """Index of the object, or -1 if it is unchanged from the previous revision."""

    kind: str
    """Kind of the object."""

    values_by_field: Mapping[str, Any]
    """Values of the fields that could be parsed."""

    @property
    def label(self) -> str:
        """Kind and id of the object, or its index if it has no id."""
        object_id = self.values_by_field.get("id")
        return f"{self.kind} {object_id}" if object_id else f"objects[{self.index}]"

    def get(self, field: str) -> Any:
        """Return a field's value, or None if it could not be parsed."""
        return self.values_by_field.get(field)

    def fault(self, path: tuple[str | int, ...], message: str) -> IndexedFault:
        """Return a fault of this object.

        Args:
            path: Path of the field within the object.
            message: Human-readable description.
        """
        return IndexedFault(
            index=self.index, label=self.label, path=path, message=message
        )


SetCheck = Callable[[list[Entry]], Iterator[IndexedFault]]
"""Yields the faults that it finds in the objects of a set."""

SET_CHECKS: list[SetCheck] = []
"""All registered checks, filled by `set_check`."""


def set_check(check: SetCheck) -> SetCheck:
    """Register a check of the objects of a set."""
    SET_CHECKS.append(check)
    return check
