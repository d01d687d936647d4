"""Validation of a whole set of objects that reports every fault at once."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import attrs
from result import Err, Ok, Result

from crocuswick.configuration import _conflicts  # noqa: F401 - registers its checks
from crocuswick.configuration._entries import SET_CHECKS, Entry, IndexedFault
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
    """A fault in a set of objects."""

    object: str
    """Kind and id of the object, or its index if it has no id."""

    field: str
    """Path of the field within the object."""

    line: int | None = None
    """Line in the set file, or None if the set was not read from a file."""

    message: str
    """Human-readable description."""

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line is not None else ""
        field = f", {self.field}" if self.field else ""
        return f"{place}{self.object}{field}: {self.message}"


@attrs.frozen(kw_only=True)
class ObjectSet:
    """A valid set of objects."""

    base_revision: int
    """Revision that the set is based on."""

    objects: tuple[ConfigurationObject, ...]
    """The objects."""


def parse_set(document: JsoncDocument) -> Result[ObjectSet, list[Fault]]:
    """Parse and validate a set file.

    Args:
        document: The parsed file.

    Returns:
        The set, or all faults with their lines.
    """
    value = document.value
    if not isinstance(value, dict):
        return Err([_envelope_fault(document, "", "must be an object")])
    faults = _check_envelope(document)
    raw_objects = value.get("objects")
    if not isinstance(raw_objects, list):
        return Err(faults)
    parsed, indexed_faults = _check_raw_objects(raw_objects)
    faults += [
        _to_fault(fault, line=document.line_of(("objects", fault.index, *fault.path)))
        for fault in indexed_faults
    ]
    if faults:
        return Err(faults)
    return Ok(ObjectSet(base_revision=value["base_revision"], objects=parsed))


def check_set(document: JsoncDocument) -> list[Fault]:
    """Return all faults of a set file, an empty list if it is valid."""
    checked = parse_set(document)
    return checked.unwrap_err() if checked.is_err() else []


def check_objects(
    raw_objects: list[Any],
) -> Result[tuple[ConfigurationObject, ...], list[Fault]]:
    """Validate a list of plain objects that was not read from a file.

    Args:
        raw_objects: Plain JSON objects, each with its ``kind``.

    Returns:
        The objects, or all faults, without lines.
    """
    parsed, indexed_faults = _check_raw_objects(raw_objects)
    if indexed_faults:
        return Err([_to_fault(fault, line=None) for fault in indexed_faults])
    return Ok(parsed)


def check_revision(
    unchanged: Sequence[ConfigurationObject], raw_objects: Sequence[Any]
) -> Result[tuple[ConfigurationObject, ...], list[Fault]]:
    """Validate a new revision without parsing its unchanged objects again.

    Args:
        unchanged: Objects of the previous revision that stay as they are.
        raw_objects: Plain JSON objects that are new or replace one.

    Returns:
        All objects, or all faults, without lines.
    """
    parsed, indexed_faults = _check_raw_objects(raw_objects, unchanged=unchanged)
    if indexed_faults:
        return Err([_to_fault(fault, line=None) for fault in indexed_faults])
    return Ok((*unchanged, *parsed))


def _check_raw_objects(
    raw_objects: Sequence[Any], *, unchanged: Sequence[ConfigurationObject] = ()
) -> tuple[tuple[ConfigurationObject, ...], list[IndexedFault]]:
    faults: list[IndexedFault] = []
    items: list[ConfigurationObject] = []
    # Unchanged objects are already parsed, so only checks across objects apply.
    entries = [
        Entry(index=-1, kind=item.kind_name, values_by_field=vars(item))
        for item in unchanged
    ]
    for index, raw in enumerate(raw_objects):
        kind_problem = _kind_problem(raw)
        if kind_problem is not None:
            faults.append(_indexed_fault(index, raw, kind_problem))
            continue
        kind = KINDS_BY_NAME[raw["kind"]]
        parsed = parse_object(kind.object_type, raw, ignored=frozenset({"kind"}))
        faults += [_indexed_fault(index, raw, problem) for problem in parsed.problems]
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
    return FieldProblem(path=("kind",), message=f"{name!r} is not a known kind{hint}")


def _indexed_fault(index: int, raw: Any, problem: FieldProblem) -> IndexedFault:
    return IndexedFault(
        index=index,
        label=_raw_label(index, raw),
        path=problem.path,
        message=problem.message,
    )


def _check_references(entries: list[Entry]) -> Iterator[IndexedFault]:
    ids_by_kind: dict[str, set[str]] = {name: set() for name in KINDS_BY_NAME}
    for entry in entries:
        ids_by_kind[entry.kind].add(entry.get("id") or "")
    hints_left = MAX_REFERENCE_HINTS
    for entry in entries:
        for field, kind in _reference_fields(entry.kind):
            target = entry.get(field)
            if target is None or target in ids_by_kind[kind]:
                continue
            # Finding the closest name takes milliseconds in a large set, so only the
            # first faults get a hint.
            hint = nearest_name(target, ids_by_kind[kind]) if hints_left else ""
            hints_left = max(0, hints_left - 1)
            message = f"the set has no {kind} {target!r}{hint}"
            yield entry.fault((field,), message)


@functools.cache
def _reference_fields(kind: str) -> tuple[tuple[str, str], ...]:
    """Return the reference fields of a kind, each with the referenced kind."""
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
        faults.append(_envelope_fault(document, "base_revision", message))
    if not isinstance(value.get("objects"), list):
        faults.append(_envelope_fault(document, "objects", "must be a list"))
    for name in value:
        if name not in _SET_FIELDS:
            message = f"is not a known field{nearest_name(name, _SET_FIELDS)}"
            faults.append(_envelope_fault(document, name, message))
    return faults


def _envelope_fault(document: JsoncDocument, field: str, message: str) -> Fault:
    line = document.line_of((field,) if field else ())
    return Fault(object="set", field=field, line=line, message=message)


def _to_fault(fault: IndexedFault, *, line: int | None) -> Fault:
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
