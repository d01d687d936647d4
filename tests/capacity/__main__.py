"""Measures the unit costs and updates their table in ``docs/CAPACITY.md``."""

from __future__ import annotations

import datetime
import os
import platform
from pathlib import Path
from typing import TYPE_CHECKING

from absl import app

from tests.capacity.control_slopes import control_figures
from tests.capacity.placement_slopes import placement_figures

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.capacity.placement_slopes import Figure

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
BEGIN_MARKER = "<!-- figures: rewritten by make capacity -->"
END_MARKER = "<!-- end of figures -->"


def figure_lines(figures: Sequence[Figure]) -> list[str]:
    """Return the figures as lines of a Markdown table."""
    lines = ["| figure | value | unit |", "|---|---|---|"]
    for figure in figures:
        digits = 1 if abs(figure.value) < 1000 else 0
        lines.append(f"| {figure.name} | {figure.value:,.{digits}f} | {figure.unit} |")
    return lines


def machine_line() -> str:
    """Return a line with the date and the machine of the measurement."""
    today = datetime.datetime.now(datetime.UTC).date().isoformat()
    load = os.getloadavg()[0]
    return (
        f"{today}, {os.cpu_count()} processors ({platform.machine()}), Python "
        f"{platform.python_version()}, load average {load:.0f}. CPU time of the "
        "thread, least of 5 rounds."
    )


def with_lines_replaced(page: str, lines: Sequence[str]) -> str:
    """Return a page with the text between the markers replaced."""
    before, rest = page.split(BEGIN_MARKER)
    _, after = rest.split(END_MARKER)
    return "\n".join([before + BEGIN_MARKER, "", *lines, "", END_MARKER]) + after


def main(argv: Sequence[str]) -> None:
    """Measure the figures, print them and update the page."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected arguments: {argv[1:]}")
    figures = [*placement_figures(), *control_figures()]
    lines = [machine_line(), "", *figure_lines(figures)]
    print("\n".join(lines))
    PAGE.write_text(with_lines_replaced(PAGE.read_text(), lines))


if __name__ == "__main__":
    app.run(main)
