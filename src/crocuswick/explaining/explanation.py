"""The time line of one request and the likely cause of its end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.explaining.causes import Cause, RequestLines, find_cause
from crocuswick.explaining.log_line import LogLine

if TYPE_CHECKING:
    from crocuswick.explaining.log_line import LogLines

__all__ = ["Explanation", "explain_request"]

_ENDS = ("request ended", "request refused")


@attrs.frozen(kw_only=True)
class Explanation:
    """What the logs tell of a request."""

    request_id: str
    lines: tuple[LogLine, ...]
    """Its lines at all nodes, in order of their time."""

    cause: Cause

    def text_lines(self) -> list[str]:
        """Return the explanation for people."""
        start_s = self.lines[0].unix_s
        shown = [f"request {self.request_id}"]
        for line in self.lines:
            passed_ms = round((line.unix_s - start_s) * 1000)
            fields = " ".join(
                f"{name}={value}"
                for name, value in line.fields.items()
                if name != "request" and value not in (None, "", False)
            )
            shown.append(f"  +{passed_ms} ms  {line.node}  {line.event}  {fields}")
        shown.append(f"likely cause: {self.cause.text}")
        shown += [f"  {evidence}" for evidence in self.cause.evidence]
        return shown

    def json_value(self) -> dict:
        """Return the explanation for programs."""
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
    """Explain the end of a request.

    A caller that comes back under the same id, at any node, is part of the story; the
    cause is that of the last end.

    Args:
        log: Lines of all nodes.
        request_id: Id of the request.

    Returns:
        None if no line names the request.
    """
    lines = tuple(line for line in log.lines if line["request"] == request_id)
    if not lines:
        return None
    ends = [line for line in lines if line.event in _ENDS]
    request = RequestLines(
        log=log,
        attempts=tuple(line for line in lines if line.event == "attempt ended"),
        end=ends[-1] if ends else None,
    )
    return Explanation(request_id=request_id, lines=lines, cause=find_cause(request))
