"""Access to the scenario files."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from tests.scenarios.language import read

if TYPE_CHECKING:
    from tests.scenarios.language import Scenario

__all__ = ["find", "load_all"]

FOLDER = Path(__file__).parent / "files"


def load_all(folder: Path = FOLDER) -> dict[str, Scenario]:
    """Read every scenario file.

    Returns:
        Scenarios by name, in alphabetical order.

    Raises:
        ValueError: A file name differs from the name of its scenario.
    """
    scenarios_by_name = {}
    for path in sorted(folder.glob("*.scenario")):
        scenario = read(path)
        if scenario.name != path.stem:
            raise ValueError(f"{path.name} holds the scenario {scenario.name}")
        scenarios_by_name[scenario.name] = scenario
    return scenarios_by_name


def find(name: str) -> Scenario | None:
    """Return the scenario with a name, or None if there is none."""
    return load_all().get(name)
