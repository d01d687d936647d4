"""Registry of the checkers, and the types of their findings."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from tests.scenarios.history import Record

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from tests.scenarios.history import History

    Checker = Callable[[History], Iterator["Violation | Checked"]]

__all__ = [
    "Checked",
    "Verdict",
    "Violation",
    "check",
    "checker",
    "checkers_by_property",
    "title_of",
]


@attrs.frozen(kw_only=True)
class Checked:
    """One fact that a checker examined.

    A property without examined facts does not hold, so an empty run can't pass.
    """

    record: Record


@attrs.frozen(kw_only=True)
class Violation:
    """One violation of a property."""

    reason: str
    record: Record


@attrs.frozen(kw_only=True)
class Verdict:
    """The result of checking a property in a history."""

    property_name: str
    checked: int
    violations: tuple[Violation, ...]

    @property
    def holds(self) -> bool:
        """Whether at least one fact was examined and no violation was found."""
        return self.checked > 0 and not self.violations


checkers_by_property: dict[str, Checker] = {}
_titles_by_property: dict[str, str] = {}


def checker(*, property_name: str, title: str) -> Callable[[Checker], Checker]:
    """Register a function as the checker of a property.

    Args:
        property_name: Name used in scenario files.
        title: The property as one sentence.

    Returns:
        A decorator that registers and returns the function.
    """

    def register(function: Checker) -> Checker:
        checkers_by_property[property_name] = function
        _titles_by_property[property_name] = title
        return function

    return register


def title_of(property_name: str) -> str:
    """Return the sentence that states a property."""
    return _titles_by_property[property_name]


def check(property_name: str, history: History) -> Verdict:
    """Check one property of a history."""
    findings = list(checkers_by_property[property_name](history))
    violations = [item for item in findings if isinstance(item, Violation)]
    return Verdict(
        property_name=property_name,
        checked=len(findings) - len(violations),
        violations=tuple(violations),
    )
