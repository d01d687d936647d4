"""Parses plain JSON objects into attrs objects and reports every invalid field."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any

import attrs

from crocuswick.configuration._fields import (
    FieldProblem,
    ParsedValue,
    Parser,
    record_name_of,
    spec_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ParsedObject", "nearest_name", "parse_nested", "parse_object"]


@attrs.frozen(kw_only=True)
class ParsedObject:
    """The result of parsing an object, which may be partial."""

    object_type: type
    """The attrs class."""

    values_by_field: dict[str, Any] = attrs.Factory(dict)
    """Values of the fields that are present and valid."""

    problems: tuple[FieldProblem, ...] = ()
    """All problems of the object's own fields."""

    def build(self) -> Any:
        """Return the attrs object; valid only if there are no problems."""
        return self.object_type(**self.values_by_field)


def nearest_name(name: str, known: Iterable[str]) -> str:
    """Return a "did you mean" hint with the closest name, or an empty string."""
    close = difflib.get_close_matches(name, list(known), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def parse_object(
    object_type: type, value: Any, *, ignored: frozenset[str] = frozenset()
) -> ParsedObject:
    """Parse an attrs object from a plain JSON object.

    Args:
        object_type: The attrs class, with fields declared by `_fields`.
        value: The plain value.
        ignored: Member names that are allowed although they are not fields.

    Returns:
        The fields that could be parsed and every problem found.
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
        problems += [problem.with_parent_key(name) for problem in parsed.problems]
        if parsed.value is not None:
            values_by_field[attribute.name] = parsed.value
    return ParsedObject(
        object_type=object_type,
        values_by_field=values_by_field,
        problems=tuple(problems),
    )


def parse_nested(object_type: type) -> Parser:
    """Return a parser for nested objects, for use with `_fields.list_of`.

    Args:
        object_type: The attrs class of the nested objects.
    """

    def parse(value: Any) -> ParsedValue:
        parsed = parse_object(object_type, value)
        item = None if parsed.problems else parsed.build()
        return ParsedValue(value=item, problems=parsed.problems)

    return parse


def _unknown_fields(
    value: dict[str, Any], known: set[str], ignored: frozenset[str]
) -> list[FieldProblem]:
    return [
        FieldProblem(
            path=(name,), message=f"is not a known field{nearest_name(name, known)}"
        )
        for name in value
        if name not in known and name not in ignored
    ]
