"""Declares the fields of settings and checks plain values against them."""

from __future__ import annotations

import difflib
import ipaddress
from collections.abc import Callable
from typing import Any

import attrs

__all__ = ["SettingFault", "host", "integer", "section", "structure", "text", "texts"]

_CHECK = "crocuswick_check"
_SECTION = "crocuswick_section"
_KEPT = object()

Check = Callable[[Any], str | None]


@attrs.frozen(kw_only=True)
class SettingFault:
    """A value in the settings that can't be used."""

    path: tuple[str, ...]
    """Names that lead to the value."""

    message: str
    """What is wrong, for people."""


def text(*, default: Any = attrs.NOTHING, choices: tuple[str, ...] = ()) -> Any:
    """Declare a text, optionally one of a few."""

    def check(value: Any) -> str | None:
        if not isinstance(value, str):
            return "must be a text"
        if choices and value not in choices:
            return f"must be one of {', '.join(choices)}"
        if default is attrs.NOTHING and not value:
            return "must not be empty"
        return None

    return attrs.field(default=default, metadata={_CHECK: check})


def host(*, default: Any = attrs.NOTHING) -> Any:
    """Declare an IP number."""

    def check(value: Any) -> str | None:
        try:
            ipaddress.ip_address(value)
        except ValueError:
            return "must be an IP number"
        return None

    return attrs.field(default=default, metadata={_CHECK: check})


def integer(*, low: int, high: int, unit: str, default: Any = attrs.NOTHING) -> Any:
    """Declare a whole number within a range.

    Args:
        low: Smallest value.
        high: Largest value.
        unit: Unit named in faults, for instance ``"ms"``.
        default: Value when the setting is left out.
    """

    def check(value: Any) -> str | None:
        if isinstance(value, bool) or not isinstance(value, int):
            return f"must be a whole number of {unit}"
        if not low <= value <= high:
            return f"must be from {low} to {high} {unit}"
        return None

    return attrs.field(default=default, metadata={_CHECK: check})


def texts(*, default: tuple[str, ...] = ()) -> Any:
    """Declare a list of texts."""

    def check(value: Any) -> str | None:
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return None
        return "must be a list of texts"

    return attrs.field(default=default, converter=tuple, metadata={_CHECK: check})


def section(section_type: type, *, required: bool = True) -> Any:
    """Declare a nested section."""
    default = attrs.NOTHING if required else attrs.Factory(section_type)
    return attrs.field(default=default, metadata={_SECTION: section_type})


def structure(
    settings_type: type, value: Any, path: tuple[str, ...], faults: list[SettingFault]
) -> Any:
    """Build an attrs object from a plain value, collecting every fault.

    Args:
        settings_type: The attrs class.
        value: Plain value, an object expected.
        path: Names that lead to the value.
        faults: Receives the faults.

    Returns:
        The object, or None if it or a part of it has faults.
    """
    if not isinstance(value, dict):
        faults.append(SettingFault(path=path, message="must be an object"))
        return None
    fields_by_name = {field.name: field for field in attrs.fields(settings_type)}
    before = len(faults)
    _check_names(value, fields_by_name, path, faults)
    arguments = {
        name: _field_value(field, value, path, faults)
        for name, field in fields_by_name.items()
    }
    if len(faults) > before:
        return None
    given = {name: part for name, part in arguments.items() if part is not _KEPT}
    return settings_type(**given)


def _check_names(
    value: dict[str, Any],
    fields_by_name: dict[str, attrs.Attribute],
    path: tuple[str, ...],
    faults: list[SettingFault],
) -> None:
    for name in value.keys() - fields_by_name.keys():
        near = difflib.get_close_matches(name, fields_by_name, n=1)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        faults.append(
            SettingFault(path=(*path, name), message=f"unknown setting{hint}")
        )


def _field_value(
    field: attrs.Attribute,
    value: dict[str, Any],
    path: tuple[str, ...],
    faults: list[SettingFault],
) -> Any:
    here = (*path, field.name)
    if field.name not in value:
        if field.default is attrs.NOTHING:
            faults.append(SettingFault(path=here, message="is missing"))
        return _KEPT
    given = value[field.name]
    if _SECTION in field.metadata:
        return structure(field.metadata[_SECTION], given, here, faults)
    message = field.metadata[_CHECK](given)
    if message is not None:
        faults.append(SettingFault(path=here, message=message))
    return given
