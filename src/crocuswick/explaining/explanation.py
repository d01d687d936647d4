"""Time line of one request and the likely cause of its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.explaining.causes import Cause, RequestLines, find_cause
from crocuswick.explaining.log_line import LogLine

if TYPE_CHECKING:
    from crocuswick.explaining.log_line import LogLines

__all__ = ["Explanation", "explain_request"]

_END_EVENTS = ("request ended", "request refused")


@attrs.frozen(kw_only=True)
class Explanation:
    """Log lines of a request and the likely cause of its outcome."""

    request_id: str
    lines: tuple[LogLine, ...]
    """Lines from all nodes, ordered by time."""

    cause: Cause

    def text_lines(self) -> list[str]:
        """Return the explanation as human-readable lines of text."""
        start_s = self.lines[0].unix_s
        shown = [f"request {self.request_id}"]
        for line in self.lines:
            elapsed_ms = round((line.unix_s - start_s) * 1000)
            fields = " ".join(
                f"{name}={value}"
                for name, value in line.fields.items()
                if name != "request" and value not in (None, "", False)
            )
            shown.append(f"  +{elapsed_ms} ms  {line.node}  {line.event}  {fields}")
        shown.append(f"likely cause: {self.cause.text}")
        shown += [f"  {evidence}" for evidence in self.cause.evidence]
        return shown

    def json_value(self) -> dict:
        """Return the explanation as a plain JSON value."""
        return {
            "request": self.request_id,
            "lines": [
                {
                    "t": line.unix_s,
                    "node": line.node,
                    "event": line.event,
                    **line.fields,
                }
                for line in self.lines
            ],
            "cause": self.cause.text,
            "evidence": list(self.cause.evidence),
        }


def explain_request(log: LogLines, request_id: str) -> Explanation | None:
    """Explain the outcome of a request.

    A caller may retry with the same id at any node. All its lines are included, and the
    cause explains the last line that ends the request.

    Args:
        log: Log lines of all nodes.
        request_id: Id of the request.

    Returns:
        The explanation, or None if no line names the request.
    """
    lines = tuple(line for line in log.lines if line["request"] == request_id)
    if not lines:
        return None
    ends = [line for line in lines if line.event in _END_EVENTS]
    request = RequestLines(
        log=log,
        attempts=tuple(line for line in lines if line.event == "attempt ended"),
        end=ends[-1] if ends else None,
    )
    return Explanation(request_id=request_id, lines=lines, cause=find_cause(request))
