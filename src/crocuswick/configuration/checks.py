"""Checks a whole set of objects and reports every fault at once."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from crocuswick.configuration import _conflicts  # noqa: F401 - registers its checks
from crocuswick.configuration._entries import SET_CHECKS, Entry, PlacedFault
from crocuswick.configuration._fields import FieldProblem, spec_of
from crocuswick.configuration._parsing import nearest_name, parse_object
from crocuswick.configuration.objects import KINDS_BY_NAME, ConfigurationObject

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from crocuswick.jsonc import JsoncDocument

__all__ = [
    "Fault",
    "ObjectSet",
    "check_objects",
    "check_revision",
    "check_set",
    "parse_set",
]

MAX_REFERENCE_HINTS = 20

_SET_FIELDS = frozenset({"base_revision", "objects"})


@attrs.frozen(kw_only=True)
class Fault:
    """One thing that is wrong with a set."""

    object: str
    """Kind and id of the object, or the object's place in the list."""

    field: str
    """Path of the field within the object."""

    line: int | None = None
    """Line in the set file, or None when the set came without a file."""

    message: str
    """What is wrong, in a sentence for people."""

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line is not None else ""
        field = f", {self.field}" if self.field else ""
        return f"{place}{self.object}{field}: {self.message}"


@attrs.frozen(kw_only=True)
class ObjectSet:
    """A checked set of objects."""

    base_revision: int
    """Revision that the set was written against."""

    objects: tuple[ConfigurationObject, ...]
    """The objects."""


def parse_set(document: JsoncDocument) -> Result[ObjectSet, list[Fault]]:
    """Read and check a set file.

    Args:
        document: The parsed file.

    Returns:
        The set, or every fault with its line.
    """
    value = document.value
    if not isinstance(value, dict):
        return Err([_set_fault(document, "", "must be an object")])
    faults = _check_envelope(document)
    raw_objects = value.get("objects")
    if not isinstance(raw_objects, list):
        return Err(faults)
    parsed, placed = _check_raw_objects(raw_objects)
    faults += [
        _place(fault, line=document.line_of(("objects", fault.index, *fault.path)))
        for fault in placed
    ]
    if faults:
        return Err(faults)
    return Ok(ObjectSet(base_revision=value["base_revision"], objects=parsed))


def check_set(document: JsoncDocument) -> list[Fault]:
    """Return every fault of a set file, an empty list if it is sound."""
    checked = parse_set(document)
    return checked.unwrap_err() if checked.is_err() else []


def check_objects(
    raw_objects: list[Any],
) -> Result[tuple[ConfigurationObject, ...], list[Fault]]:
    """Check a list of plain objects that came without a file.

    Args:
        raw_objects: Plain JSON objects, each with its ``kind``.

    Returns:
        The objects, or every fault, without lines.
    """
    parsed, placed = _check_raw_objects(raw_objects)
    if placed:
        return Err([_place(fault, line=None) for fault in placed])
    return Ok(parsed)


def check_revision(
    kept: Sequence[ConfigurationObject], raw_objects: Sequence[Any]
) -> Result[tuple[ConfigurationObject, ...], list[Fault]]:
    """Check the objects of a new revision of which most are not changed.

    Args:
        kept: Objects taken over from a checked revision.
        raw_objects: Plain JSON objects that are new or replace one.

    Returns:
        All objects, or every fault, without lines.
    """
    parsed, placed = _check_raw_objects(raw_objects, kept=kept)
    if placed:
        return Err([_place(fault, line=None) for fault in placed])
    return Ok((*kept, *parsed))


def _check_raw_objects(
    raw_objects: Sequence[Any], *, kept: Sequence[ConfigurationObject] = ()
) -> tuple[tuple[ConfigurationObject, ...], list[PlacedFault]]:
    faults: list[PlacedFault] = []
    items: list[ConfigurationObject] = []
    # Kept objects were parsed before, so only what they refer to is checked.
    entries = [
        Entry(index=-1, kind=item.kind_name, values_by_field=vars(item))
        for item in kept
    ]
    for index, raw in enumerate(raw_objects):
        kind_problem = _kind_problem(raw)
        if kind_problem is not None:
            faults.append(_fault(index, raw, kind_problem))
            continue
        kind = KINDS_BY_NAME[raw["kind"]]
        parsed = parse_object(kind.object_type, raw, ignored=frozenset({"kind"}))
        faults += [_fault(index, raw, problem) for problem in parsed.problems]
        entries.append(
            Entry(index=index, kind=kind.name, values_by_field=parsed.values_by_field)
        )
        if not parsed.problems:
            items.append(parsed.build())
    faults += _check_references(entries)
    for check in SET_CHECKS:
        faults += check(entries)
    faults.sort(key=lambda fault: fault.index)
    return tuple(items), faults


def _kind_problem(raw: Any) -> FieldProblem | None:
    if not isinstance(raw, dict):
        return FieldProblem(path=(), message="must be an object")
    if "kind" not in raw:
        return FieldProblem(path=("kind",), message="is missing")
    name = raw["kind"]
    if isinstance(name, str) and name in KINDS_BY_NAME:
        return None
    hint = nearest_name(str(name), KINDS_BY_NAME)
    return FieldProblem(path=("kind",), message=f"{name!r} is no known kind{hint}")


def _fault(index: int, raw: Any, problem: FieldProblem) -> PlacedFault:
    return PlacedFault(
        index=index,
        label=_raw_label(index, raw),
        path=problem.path,
        message=problem.message,
    )


def _check_references(entries: list[Entry]) -> Iterator[PlacedFault]:
    ids_by_kind: dict[str, set[str]] = {name: set() for name in KINDS_BY_NAME}
    for entry in entries:
        ids_by_kind[entry.kind].add(entry.get("id") or "")
    hints_left = MAX_REFERENCE_HINTS
    for entry in entries:
        for field, kind in _reference_fields(entry.kind):
            target = entry.get(field)
            if target is None or target in ids_by_kind[kind]:
                continue
            # A search for the nearest name costs milliseconds in a large set.
            hint = nearest_name(target, ids_by_kind[kind]) if hints_left else ""
            hints_left = max(0, hints_left - 1)
            message = f"the set has no {kind} {target!r}{hint}"
            yield entry.fault((field,), message)


@functools.cache
def _reference_fields(kind: str) -> tuple[tuple[str, str], ...]:
    """Return the fields of a kind that refer to objects, and to which kind."""
    attributes = attrs.fields(KINDS_BY_NAME[kind].object_type)
    return tuple(
        (attribute.name, spec_of(attribute).refers_to)
        for attribute in attributes
        if spec_of(attribute).refers_to
    )


def _check_envelope(document: JsoncDocument) -> list[Fault]:
    value = document.value
    faults = []
    base = value.get("base_revision")
    if isinstance(base, bool) or not isinstance(base, int) or base < 0:
        message = "must be a whole number of at least 0"
        faults.append(_set_fault(document, "base_revision", message))
    if not isinstance(value.get("objects"), list):
        faults.append(_set_fault(document, "objects", "must be a list"))
    for name in value:
        if name not in _SET_FIELDS:
            message = f"is no known field{nearest_name(name, _SET_FIELDS)}"
            faults.append(_set_fault(document, name, message))
    return faults


def _set_fault(document: JsoncDocument, field: str, message: str) -> Fault:
    line = document.line_of((field,) if field else ())
    return Fault(object="set", field=field, line=line, message=message)


def _place(fault: PlacedFault, *, line: int | None) -> Fault:
    return Fault(
        object=fault.label,
        field=_field_text(fault.path),
        line=line,
        message=fault.message,
    )


def _field_text(path: tuple[str | int, ...]) -> str:
    parts = [f"[{key}]" if isinstance(key, int) else f".{key}" for key in path]
    return "".join(parts).removeprefix(".")


def _raw_label(index: int, raw: Any) -> str:
    if isinstance(raw, dict) and isinstance(raw.get("id"), str):
        return f"{raw.get('kind', 'object')} {raw['id']}"
    return f"objects[{index}]"
