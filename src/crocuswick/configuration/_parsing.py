"""Turns plain JSON objects into attrs objects, reporting every bad field."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any

import attrs

from crocuswick.configuration._fields import (
    FieldProblem,
    Parse,
    Parsed,
    record_name_of,
    spec_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ParsedObject", "nearest_name", "parse_nested", "parse_object"]


@attrs.frozen(kw_only=True)
class ParsedObject:
    """An object as read, as far as it could be read."""

    object_type: type
    """The attrs class."""

    values_by_field: dict[str, Any] = attrs.Factory(dict)
    """The fields that were given and could be read."""

    problems: tuple[FieldProblem, ...] = ()
    """Everything that is wrong with the object itself."""

    def build(self) -> Any:
        """Return the attrs object; only for one without problems."""
        return self.object_type(**self.values_by_field)


def nearest_name(name: str, known: Iterable[str]) -> str:
    """Return a hint that names the closest known name, or an empty string."""
    close = difflib.get_close_matches(name, list(known), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def parse_object(
    object_type: type, value: Any, *, ignored: frozenset[str] = frozenset()
) -> ParsedObject:
    """Read an attrs object from a plain JSON object.

    Args:
        object_type: The attrs class, its fields declared by `_fields`.
        value: The plain value.
        ignored: Members that are no fields but may be there.

    Returns:
        The fields that could be read, and every problem found.
    """
    if not isinstance(value, dict):
        problem = FieldProblem(path=(), message="must be an object")
        return ParsedObject(object_type=object_type, problems=(problem,))
    attributes_by_name = {
        record_name_of(attribute): attribute for attribute in attrs.fields(object_type)
    }
    problems = _unknown_fields(value, set(attributes_by_name), ignored)
    values_by_field = {}
    for name, attribute in attributes_by_name.items():
        if name not in value:
            if attribute.default is attrs.NOTHING:
                problems.append(FieldProblem(path=(name,), message="is missing"))
            continue
        parsed = spec_of(attribute).parse(value[name])
        problems += [problem.under(name) for problem in parsed.problems]
        if parsed.value is not None:
            values_by_field[attribute.name] = parsed.value
    return ParsedObject(
        object_type=object_type,
        values_by_field=values_by_field,
        problems=tuple(problems),
    )


def parse_nested(object_type: type) -> Parse:
    """Return a parser of nested objects, for `_fields.list_of`.

    Args:
        object_type: The attrs class of the nested objects.
    """

    def parse(value: Any) -> Parsed:
        parsed = parse_object(object_type, value)
        item = None if parsed.problems else parsed.build()
        return Parsed(value=item, problems=parsed.problems)

    return parse


def _unknown_fields(
    value: dict[str, Any], known: set[str], ignored: frozenset[str]
) -> list[FieldProblem]:
    return [
        FieldProblem(
            path=(name,), message=f"is no known field{nearest_name(name, known)}"
        )
        for name in value
        if name not in known and name not in ignored
    ]
