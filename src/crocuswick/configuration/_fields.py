"""Field declarations for configuration objects: each knows how to check a value."""

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
    "Parsed",
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
    """A value that a field does not take."""

    path: tuple[str | int, ...]
    """Keys and indices below the field, empty for the field itself."""

    message: str
    """What is wrong, in a sentence for people."""

    def under(self, key: str | int) -> FieldProblem:
        """Return the same problem, seen from one level up.

        Args:
            key: Key or index of the value within its parent.
        """
        return attrs.evolve(self, path=(key, *self.path))


@attrs.frozen(kw_only=True)
class Parsed:
    """A value as read, as far as it could be read."""

    value: Any = None
    """The value, or None. Unreadable items of a list are None in it."""

    problems: tuple[FieldProblem, ...] = ()
    """Everything that is wrong; a list may have both items and problems."""


Parse = Callable[[Any], Parsed]
"""Turns a plain JSON value into a field's value."""


@attrs.frozen(kw_only=True)
class FieldSpec:
    """How a field reads its value."""

    parse: Parse
    """Turns a plain JSON value into the field's value, or says what is wrong."""

    refers_to: str = ""
    """Kind of object whose id the field holds, or an empty string."""

    record_name: str = ""
    """Name in set files where it is not the attribute's name."""


def record_name_of(attribute: attrs.Attribute) -> str:
    """Return the name that an attribute has in set files."""
    return spec_of(attribute).record_name or attribute.name


def spec_of(attribute: attrs.Attribute) -> FieldSpec:
    """Return the declaration behind an attrs attribute."""
    return attribute.metadata[_SPEC]


def identifier(*, default: Any = attrs.NOTHING) -> Any:
    """Declare a field that holds an id or another short name."""
    return _field(_parse_identifier, default=default)


def prefix() -> Any:
    """Declare a field that holds one segment of a URL's path."""
    return _field(_parse_prefix)


def reference(kind: str) -> Any:
    """Declare a field that holds another object's id.

    Args:
        kind: Kind of the object referred to.
    """
    return _field(_parse_identifier, refers_to=kind)


def text(*, default: Any = attrs.NOTHING) -> Any:
    """Declare a field of free text."""
    return _field(_parse_text, default=default)


def flag(*, default: bool) -> Any:
    """Declare a field that is true or false."""
    return _field(_parse_flag, default=default)


def address() -> Any:
    """Declare a field that holds an IP number and a port."""
    return _field(_parse_address)


def sha256() -> Any:
    """Declare a field that holds a SHA-256 digest in hexadecimal."""
    return _field(_parse_sha256)


def choice(*options: str, record_name: str = "") -> Any:
    """Declare a field that holds one of a few words.

    Args:
        *options: The words.
        record_name: Name in set files where it is not the attribute's name.
    """

    def parse(value: Any) -> Parsed:
        if value in options:
            return Parsed(value=value)
        return _problem(f"must be one of {', '.join(options)}")

    return _field(parse, record_name=record_name)


def number(*, default: Any = attrs.NOTHING) -> Any:
    """Declare a field that holds a number above zero."""
    return _field(_parse_number, default=default)


def whole_number(*, default: Any = attrs.NOTHING) -> Any:
    """Declare a field that holds a whole number of at least one."""
    return _field(_parse_whole_number, default=default)


def names(*, default: tuple[str, ...]) -> Any:
    """Declare a field that holds a list of identifiers."""
    return _field(lambda value: _parse_list(value, _parse_identifier), default=default)


def list_of(parse_item: Parse) -> Any:
    """Declare a field that holds a list of nested objects."""
    return _field(lambda value: _parse_list(value, parse_item))


def _field(
    parse: Parse,
    *,
    default: Any = attrs.NOTHING,
    refers_to: str = "",
    record_name: str = "",
) -> Any:
    spec = FieldSpec(parse=parse, refers_to=refers_to, record_name=record_name)
    return attrs.field(default=default, metadata={_SPEC: spec})


def _problem(message: str) -> Parsed:
    return Parsed(problems=(FieldProblem(path=(), message=message),))


def _parse_identifier(value: Any) -> Parsed:
    if isinstance(value, str) and _IDENTIFIER.fullmatch(value):
        return Parsed(value=value)
    return _problem(
        "must be 1 to 128 letters, digits or any of . _ : / -, "
        "and start with a letter or a digit"
    )


def _parse_prefix(value: Any) -> Parsed:
    if isinstance(value, str) and _PREFIX.fullmatch(value):
        return Parsed(value=value)
    return _problem("must be one path segment of letters, digits or any of . _ -")


def _parse_text(value: Any) -> Parsed:
    if isinstance(value, str) and len(value) <= _MAX_TEXT_CHARACTERS:
        return Parsed(value=value)
    return _problem(f"must be text of at most {_MAX_TEXT_CHARACTERS} characters")


def _parse_flag(value: Any) -> Parsed:
    if isinstance(value, bool):
        return Parsed(value=value)
    return _problem("must be true or false")


def _parse_sha256(value: Any) -> Parsed:
    if isinstance(value, str) and _SHA256.fullmatch(value):
        return Parsed(value=value)
    return _problem("must be a SHA-256 digest, 64 lower-case hexadecimal digits")


def _parse_number(value: Any) -> Parsed:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return _problem("must be a number")
    if not (math.isfinite(value) and 0 < value <= _MAX_NUMBER):
        return _problem("must be above 0")
    return Parsed(value=float(value))


def _parse_whole_number(value: Any) -> Parsed:
    if isinstance(value, bool) or not isinstance(value, int):
        return _problem("must be a whole number")
    if not 1 <= value <= _MAX_NUMBER:
        return _problem("must be at least 1")
    return Parsed(value=value)


def _parse_address(value: Any) -> Parsed:
    expected = "must be an IP number and a port, such as 10.0.0.7:8000"
    if not isinstance(value, str):
        return _problem(expected)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return _problem(expected)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        return _problem(expected)
    return Parsed(value=value)


def _parse_list(value: Any, parse_item: Parse) -> Parsed:
    if not isinstance(value, list):
        return _problem("must be a list")
    items = [parse_item(item) for item in value]
    problems = [
        problem.under(index)
        for index, item in enumerate(items)
        for problem in item.problems
    ]
    return Parsed(value=tuple(item.value for item in items), problems=tuple(problems))
