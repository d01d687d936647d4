"""Output of results as human-readable tables or as JSON."""

from __future__ import annotations

import contextlib
import json
import sys
from typing import TYPE_CHECKING, Any

from rich.console import Console
from rich.table import Table
from rich.text import Text

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

__all__ = ["Output"]

PIPE_WIDTH_COLUMNS = 200
"""Width of tables in columns where standard output is not a terminal."""


class Output:
    """Standard output and standard error of a command."""

    def __init__(self, *, is_json: bool):
        self.is_json = is_json
        width = None if sys.stdout.isatty() else PIPE_WIDTH_COLUMNS
        self._console = Console(width=width, highlight=False)
        self._errors = Console(stderr=True, highlight=False, soft_wrap=True)

    def json(self, value: Any) -> None:
        """Write a value as JSON to standard output."""
        print(json.dumps(value, indent=2))

    def line(self, text: str, *, style: str = "") -> None:
        """Write a line of text to standard output."""
        self._console.print(Text(text, style=style), soft_wrap=True)

    def error(self, text: str) -> None:
        """Write a line to standard error."""
        self._errors.print(Text(text, style="red"))

    def table(self, columns: Sequence[str], rows: Sequence[Mapping[str, Any]]) -> None:
        """Write a table to standard output.

        Args:
            columns: Names of the columns, each a key of every row.
            rows: The rows.
        """
        table = Table(box=None, pad_edge=False, header_style="bold")
        for column in columns:
            table.add_column(column.upper().replace("_", " "))
        for row in rows:
            table.add_row(*(_cell(row.get(column)) for column in columns))
        self._console.print(table)

    @contextlib.contextmanager
    def progress(self, text: str) -> Iterator[Any]:
        """Show a status line while waiting; only if standard error is a terminal.

        Args:
            text: Initial text of the line.

        Yields:
            A function that replaces the text.
        """
        if not self._errors.is_terminal:
            yield lambda text: None
            return
        with self._errors.status(text) as status:
            yield status.update


def _cell(value: Any) -> Text:
    if value is None:
        return Text("-")
    if isinstance(value, bool):
        return Text("yes" if value else "no")
    return Text(str(value))
