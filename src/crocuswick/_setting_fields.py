"""Declarations of settings fields, and checks of plain values against them."""

from __future__ import annotations

import difflib
import ipaddress
from collections.abc import Callable
from typing import Any

import attrs

__all__ = [
    "FieldFault",
    "host",
    "integer",
    "section",
    "string",
    "strings",
    "structure",
]

_CHECK = "crocuswick_check"
_SECTION = "crocuswick_section"
_USE_DEFAULT = object()

Check = Callable[[Any], str | None]


@attrs.frozen(kw_only=True)
class FieldFault:
    """An invalid value in the settings."""

    path: tuple[str, ...]
    """Keys from the root to the value."""

    message: str
    """Human-readable description of the fault."""


def string(*, default: Any = attrs.NOTHING, choices: tuple[str, ...] = ()) -> Any:
    """Declare a string, optionally restricted to given choices.

    Args:
        default: Value when the setting is left out.
        choices: Allowed values; any string if empty.
    """

    def check(value: Any) -> str | None:
        if not isinstance(value, str):
            return "must be a string"
        if choices and value not in choices:
            return f"must be one of {', '.join(choices)}"
        if default is attrs.NOTHING and not value:
            return "must not be empty"
        return None

    return attrs.field(default=default, metadata={_CHECK: check})


def host(*, default: Any = attrs.NOTHING) -> Any:
    """Declare an IP address."""

    def check(value: Any) -> str | None:
        try:
            ipaddress.ip_address(value)
        except ValueError:
            return "must be an IP address"
        return None

    return attrs.field(default=default, metadata={_CHECK: check})


def integer(*, low: int, high: int, unit: str, default: Any = attrs.NOTHING) -> Any:
    """Declare an integer within a range.

    Args:
        low: Smallest allowed value.
        high: Largest allowed value.
        unit: Unit named in fault messages, for instance ``"ms"``.
        default: Value when the setting is left out.
    """

    def check(value: Any) -> str | None:
        if isinstance(value, bool) or not isinstance(value, int):
            return f"must be a whole number of {unit}"
        if not low <= value <= high:
            return f"must be from {low} to {high} {unit}"
        return None

    return attrs.field(default=default, metadata={_CHECK: check})


def strings(*, default: tuple[str, ...] = ()) -> Any:
    """Declare a list of strings."""

    def check(value: Any) -> str | None:
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return None
        return "must be a list of strings"

    return attrs.field(default=default, converter=tuple, metadata={_CHECK: check})


def section(section_type: type, *, required: bool = True) -> Any:
    """Declare a nested section of settings."""
    default = attrs.NOTHING if required else attrs.Factory(section_type)
    return attrs.field(default=default, metadata={_SECTION: section_type})


def structure(
    settings_type: type, value: Any, path: tuple[str, ...], faults: list[FieldFault]
) -> Any:
    """Build an attrs object from a plain value, collecting every fault.

    Args:
        settings_type: The attrs class.
        value: Plain value, expected to be a dictionary.
        path: Keys from the root to the value.
        faults: List to which faults are appended.

    Returns:
        The object, or None if it or a nested value has faults.
    """
    if not isinstance(value, dict):
        faults.append(FieldFault(path=path, message="must be an object"))
        return None
    fields_by_name = {field.name: field for field in attrs.fields(settings_type)}
    faults_before = len(faults)
    _check_names(value, fields_by_name, path, faults)
    arguments = {
        name: _field_value(field, value, path, faults)
        for name, field in fields_by_name.items()
    }
    if len(faults) > faults_before:
        return None
    given = {
        name: argument
        for name, argument in arguments.items()
        if argument is not _USE_DEFAULT
    }
    return settings_type(**given)


def _check_names(
    value: dict[str, Any],
    fields_by_name: dict[str, attrs.Attribute],
    path: tuple[str, ...],
    faults: list[FieldFault],
) -> None:
    for name in value.keys() - fields_by_name.keys():
        matches = difflib.get_close_matches(name, fields_by_name, n=1)
        hint = f"; did you mean {matches[0]!r}?" if matches else ""
        faults.append(FieldFault(path=(*path, name), message=f"unknown setting{hint}"))


def _field_value(
    field: attrs.Attribute,
    value: dict[str, Any],
    path: tuple[str, ...],
    faults: list[FieldFault],
) -> Any:
    field_path = (*path, field.name)
    if field.name not in value:
        if field.default is attrs.NOTHING:
            faults.append(FieldFault(path=field_path, message="is missing"))
        return _USE_DEFAULT
    given = value[field.name]
    if _SECTION in field.metadata:
        return structure(field.metadata[_SECTION], given, field_path, faults)
    message = field.metadata[_CHECK](given)
    if message is not None:
        faults.append(FieldFault(path=field_path, message=message))
    return given
