"""Decides when the head of a request is worth parsing."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from crocuswick.intake.received_bytes import ReceivedBytes

__all__ = ["HeadScan"]

_BLANK_LINE = b"\r\n\r\n"
_PLAIN_LINES = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n]*\r\n)*")
MAX_EARLY_PARSES = 3
"""Number of times an incomplete head is parsed because a line looks malformed. It bounds
the work for a head that arrives in many pieces."""


class HeadScan:
    """Follows the head of one request while it arrives.

    A head is parsed once it is complete, too large or ended. It is parsed earlier, so
    that it is refused at once, when its first line is complete or a later line is not
    a plain header.

    Args:
        received: Input of the connection.
        max_bytes: Size limit of the head.
    """

    def __init__(self, received: ReceivedBytes, max_bytes: int):
        self._received = received
        self._max_bytes = max_bytes
        self._blank_offset = 0
        self._line_offset = 0
        self._early_parses = 0

    def should_parse(self) -> bool:
        """Return whether the bytes received since the last call decide something."""
        received = self._received
        # The separator may have begun in the bytes of an earlier call.
        end = received.contains(_BLANK_LINE, max(0, self._blank_offset - 3))
        is_complete = end >= 0
        self._blank_offset = end if is_complete else len(received)
        if is_complete or received.has_ended or len(received) > self._max_bytes:
            return True
        return self._has_suspicious_line()

    def _has_suspicious_line(self) -> bool:
        if self._early_parses >= MAX_EARLY_PARSES:
            return False
        data = self._received.peek(self._line_offset)
        end = data.rfind(b"\n") + 1
        if not end:
            return False
        is_first = self._line_offset == 0
        self._line_offset += end
        if not is_first and _PLAIN_LINES.fullmatch(data, 0, end):
            return False
        self._early_parses += 1
        return True
