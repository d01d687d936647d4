"""The scenario files of this folder."""

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
        Scenarios by name, in the order of their names.

    Raises:
        ValueError: A file is not named after its scenario.
    """
    scenarios_by_name = {}
    for path in sorted(folder.glob("*.scenario")):
        scenario = read(path)
        if scenario.name != path.stem:
            raise ValueError(f"{path.name} holds the scenario {scenario.name}")
        scenarios_by_name[scenario.name] = scenario
    return scenarios_by_name


def find(name: str) -> Scenario | None:
    """Return the scenario of a name, or None."""
    return load_all().get(name)
