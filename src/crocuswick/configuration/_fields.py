"""Field declarations for configuration objects, with parsing and validation."""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable
from typing import Any

import attrs

__all__ = [
    "FieldProblem",
    "FieldSpec",
    "ParsedValue",
    "address",
    "choice",
    "flag",
    "identifier",
    "list_of",
    "names",
    "number",
    "prefix",
    "record_name_of",
    "reference",
    "sha256",
    "spec_of",
    "text",
    "whole_number",
]

_SPEC = "crocuswick_field_spec"
_IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
_PREFIX = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_MAX_TEXT_CHARACTERS = 1024
_MAX_NUMBER = 1e15


@attrs.frozen(kw_only=True)
class FieldProblem:
    """A value that a field does not accept."""

    path: tuple[str | int, ...]
    """Keys and indices below the field, empty for the field itself."""

    message: str
    """Human-readable description."""

    def with_parent_key(self, key: str | int) -> FieldProblem:
        """Return the same problem with its path extended by one parent level.

        Args:
            key: Key or index of the value within its parent.
        """
        return attrs.evolve(self, path=(key, *self.path))


@attrs.frozen(kw_only=True)
class ParsedValue:
    """The result of parsing a value, which may be partial."""

    value: Any = None
    """The value, or None if it is invalid. Invalid items of a list are None in it."""

    problems: tuple[FieldProblem, ...] = ()
    """All problems found; a list may have both items and problems."""


Parser = Callable[[Any], ParsedValue]
"""Parses a plain JSON value into a field's value."""


@attrs.frozen(kw_only=True)
class FieldSpec:
    """The declaration of a field."""

    parse: Parser
    """Parses a plain JSON value into the field's value or reports problems."""

    refers_to: str = ""
    """Kind of object whose id the field holds, or an empty string."""

    record_name: str = ""
    """Name in set files if it differs from the attribute's name."""


def record_name_of(attribute: attrs.Attribute) -> str:
    """Return the name of an attribute in set files."""
    return spec_of(attribute).record_name or attribute.name


def spec_of(attribute: attrs.Attribute) -> FieldSpec:
    """Return the field declaration of an attrs attribute."""
    return attribute.metadata[_SPEC]


def identifier(*, default: Any = attrs.NOTHING) -> Any:
    """Declare a field that holds an id or another short name."""
    return _field(_parse_identifier, default=default)


def prefix() -> Any:
    """Declare a field that holds one segment of a URL path."""
    return _field(_parse_prefix)


def reference(kind: str) -> Any:
    """Declare a field that holds another object's id.

    Args:
        kind: Kind of the referenced object.
    """
    return _field(_parse_identifier, refers_to=kind)


def text(*, default: Any = attrs.NOTHING) -> Any:
    """Declare a field that holds free text."""
    return _field(_parse_text, default=default)


def flag(*, default: bool) -> Any:
    """Declare a boolean field."""
    return _field(_parse_flag, default=default)


def address() -> Any:
    """Declare a field that holds an IP address and a port."""
    return _field(_parse_address)


def sha256() -> Any:
    """Declare a field that holds a SHA-256 digest in hexadecimal."""
    return _field(_parse_sha256)


def choice(*options: str, record_name: str = "") -> Any:
    """Declare a field that holds one of several fixed values.

    Args:
        *options: The allowed values.
        record_name: Name in set files if it differs from the attribute's name.
    """

    def parse(value: Any) -> ParsedValue:
        if value in options:
            return ParsedValue(value=value)
        return _problem(f"must be one of {', '.join(options)}")

    return _field(parse, record_name=record_name)


def number(*, default: Any = attrs.NOTHING) -> Any:
    """Declare a field that holds a positive number."""
    return _field(_parse_number, default=default)


def whole_number(*, default: Any = attrs.NOTHING) -> Any:
    """Declare a field that holds a positive integer."""
    return _field(_parse_whole_number, default=default)


def names(*, default: tuple[str, ...]) -> Any:
    """Declare a field that holds a list of identifiers."""
    return _field(lambda value: _parse_list(value, _parse_identifier), default=default)


def list_of(parse_item: Parser) -> Any:
    """Declare a field that holds a list of nested objects."""
    return _field(lambda value: _parse_list(value, parse_item))


def _field(
    parse: Parser,
    *,
    default: Any = attrs.NOTHING,
    refers_to: str = "",
    record_name: str = "",
) -> Any:
    spec = FieldSpec(parse=parse, refers_to=refers_to, record_name=record_name)
    return attrs.field(default=default, metadata={_SPEC: spec})


def _problem(message: str) -> ParsedValue:
    return ParsedValue(problems=(FieldProblem(path=(), message=message),))


def _parse_identifier(value: Any) -> ParsedValue:
    if isinstance(value, str) and _IDENTIFIER.fullmatch(value):
        return ParsedValue(value=value)
    return _problem(
        "must be 1 to 128 letters, digits or any of . _ : / -, "
        "and start with a letter or a digit"
    )


def _parse_prefix(value: Any) -> ParsedValue:
    if isinstance(value, str) and _PREFIX.fullmatch(value):
        return ParsedValue(value=value)
    return _problem("must be one path segment of letters, digits or any of . _ -")


def _parse_text(value: Any) -> ParsedValue:
    if isinstance(value, str) and len(value) <= _MAX_TEXT_CHARACTERS:
        return ParsedValue(value=value)
    return _problem(f"must be text of at most {_MAX_TEXT_CHARACTERS} characters")


def _parse_flag(value: Any) -> ParsedValue:
    if isinstance(value, bool):
        return ParsedValue(value=value)
    return _problem("must be true or false")


def _parse_sha256(value: Any) -> ParsedValue:
    if isinstance(value, str) and _SHA256.fullmatch(value):
        return ParsedValue(value=value)
    return _problem("must be a SHA-256 digest, 64 lower-case hexadecimal digits")


def _parse_number(value: Any) -> ParsedValue:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return _problem("must be a number")
    if not (math.isfinite(value) and 0 < value <= _MAX_NUMBER):
        return _problem("must be above 0")
    return ParsedValue(value=float(value))


def _parse_whole_number(value: Any) -> ParsedValue:
    if isinstance(value, bool) or not isinstance(value, int):
        return _problem("must be a whole number")
    if not 1 <= value <= _MAX_NUMBER:
        return _problem("must be at least 1")
    return ParsedValue(value=value)


def _parse_address(value: Any) -> ParsedValue:
    expected = "must be an IP address and a port, such as 10.0.0.7:8000"
    if not isinstance(value, str):
        return _problem(expected)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return _problem(expected)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return _problem(expected)
    return ParsedValue(value=value)


def _parse_list(value: Any, parse_item: Parser) -> ParsedValue:
    if not isinstance(value, list):
        return _problem("must be a list")
    items = [parse_item(item) for item in value]
    problems = [
        problem.with_parent_key(index)
        for index, item in enumerate(items)
        for problem in item.problems
    ]
    return ParsedValue(
        value=tuple(item.value for item in items), problems=tuple(problems)
    )
