"""Strict reading of HTTP headers, which rejects ambiguous ones."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import BinaryIO

__all__ = ["HeaderFields", "StrictHeaderReader"]

_NAME = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
_FORBIDDEN_IN_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_SINGLE = frozenset(
    {b"content-length", b"host", b"transfer-encoding", b"authorization"}
)
"""Lower-case names of headers whose repetition makes a message ambiguous."""


class HeaderFields(dict):
    """Headers by capitalised name, with a list of the pairs as received."""

    def __init__(self):
        super().__init__()
        self.pairs: list[tuple[str, str]] = []


class StrictHeaderReader:
    """Reads header lines and rejects those that parsers may interpret differently."""

    def __call__(self, rfile: BinaryIO, fields: HeaderFields) -> HeaderFields:
        """Read the headers up to the blank line.

        Args:
            rfile: Input positioned after the request line.
            fields: Mapping to which the headers are added.

        Raises:
            ValueError: A line is malformed or a header is repeated.
        """
        while True:
            line = rfile.readline()
            if line == b"\r\n":
                return fields
            if not line.endswith(b"\r\n"):
                raise ValueError("A header line does not end with CRLF.")
            self._add(line[:-2], fields)

    def _add(self, line: bytes, fields: HeaderFields) -> None:
        name, separator, value = line.partition(b":")
        if not separator or not _NAME.match(name):
            raise ValueError("A header has a malformed name.")
        value = value.strip(b" \t")
        if _FORBIDDEN_IN_VALUE.search(value):
            raise ValueError("A header has a malformed value.")
        title = name.title()
        if title in fields and name.lower() in _SINGLE:
            raise ValueError(f"The header {title.decode()} is repeated.")
        fields[title] = b", ".join((fields[title], value)) if title in fields else value
        fields.pairs.append((name.decode("latin-1"), value.decode("latin-1")))
