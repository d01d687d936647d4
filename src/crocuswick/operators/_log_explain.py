"""Explanation of a request from log files."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from crocuswick.explaining import explain_request, read_log_lines
from crocuswick.operators.exit_code import ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from crocuswick.operators._reports import Context

__all__ = ["explain_from_logs"]

STANDARD_INPUT = "-"


def explain_from_logs(context: Context, request_id: str) -> ExitCode:
    """Print the time line of a request and the likely cause of its outcome.

    Args:
        context: Context of the command.
        request_id: Id of the request.
    """
    try:
        log = read_log_lines(_lines_of(context.log_files))
    except (OSError, UnicodeDecodeError) as error:
        context.output.error(str(error))
        return ExitCode.USAGE
    if log.unreadable or log.dropped:
        context.output.error(
            f"log lines unreadable: {log.unreadable}, dropped by nodes: {log.dropped}"
        )
    explanation = explain_request(log, request_id)
    if explanation is None:
        context.output.error(f"no log line names request {request_id}")
        return ExitCode.FAULTY
    if context.output.is_json:
        context.output.json(explanation.json_value())
    else:
        for text in explanation.text_lines():
            context.output.line(text)
    return ExitCode.OK


def _lines_of(files: Sequence[str]) -> Iterator[str]:
    for name in files:
        if name == STANDARD_INPUT:
            yield from sys.stdin
        else:
            with Path(name).open(encoding="utf-8") as file:
                yield from file
