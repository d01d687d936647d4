"""Strict reading of HTTP answers on top of the lenient parser of ``http.client``.

``http.client`` skips what it can't parse: from a malformed header line on it ignores all
headers, so that an answer loses its length or chunks, and it doesn't check what follows a
chunk. Here, such an answer is an error (RFC 9112, sections 4 to 7).
"""

from __future__ import annotations

import re
from http.client import (
    HTTPException,
    HTTPMessage,
    HTTPResponse,
    IncompleteRead,
    RemoteDisconnected,
)

from crocuswick.strict_head import HeaderFields, StrictHeaderReader

__all__ = [
    "MalformedAnswerError",
    "StrictAnswer",
    "begins_with_framing",
    "has_lost_framing",
]

_STATUS_LINE = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: ([\t\x20-\x7e\x80-\xff]*))?\r\n"
)
_LENGTH = re.compile(rb"[0-9]{1,15}")
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*(?:\r\n)?")
_EVENT_FIELD = re.compile(rb"(?:data|id|event|retry):", re.IGNORECASE)
_FRAMING_HEADER = re.compile(
    rb"(?:Content-Length:[ \t]*[0-9]+|Transfer-Encoding:[ \t]*chunked)[ \t]*\r\n",
    re.IGNORECASE,
)
_LAST_LINE = b"\r\n"

MAX_LINE_BYTES = 64 * 1024
"""Longest line with the size of a chunk or a trailer."""

_LENGTH_HEADER = b"Content-Length"
_CODING_HEADER = b"Transfer-Encoding"

SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
NOT_MODIFIED = 304


class MalformedAnswerError(HTTPException):
    """The bytes that a server has sent are no HTTP answer."""


class StrictAnswer(HTTPResponse):
    """An answer whose head, length and chunks must be well-formed.

    Interim answers are skipped.
    """

    def begin(self) -> None:
        """Read the head.

        Raises:
            MalformedAnswerError: The head is malformed or ambiguous.
            OSError: The connection failed or has ended.
        """
        if self.headers is not None:
            return
        self.status, fields = self._read_head()
        while 100 <= self.status < 200 and self.status != SWITCHING_PROTOCOLS:
            self.status, fields = self._read_head()
        if self.status == SWITCHING_PROTOCOLS:
            raise MalformedAnswerError("the protocol is switched without a request")
        self.code = self.status
        self.headers = self.msg = HTTPMessage()
        for name, value in fields.pairs:
            self.headers[name] = value
        self._set_framing(fields)
        self.will_close = self._check_close() or not self.is_framed

    @property
    def is_framed(self) -> bool:
        """Whether the body has a length or chunks; otherwise its connection ends it."""
        return self.chunked or self.length is not None

    def _read_head(self) -> tuple[int, HeaderFields]:
        line = self.fp.readline(MAX_LINE_BYTES)
        if not line:
            raise RemoteDisconnected("the connection was closed without an answer")
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            raise MalformedAnswerError("the status line is malformed")
        self.version = 10 + int(found[1])
        self.reason = (found[3] or b"").decode("latin-1").strip()
        try:
            return int(found[2]), StrictHeaderReader()(self.fp, HeaderFields())
        except ValueError as error:
            raise MalformedAnswerError(str(error)) from error

    def _set_framing(self, fields: HeaderFields) -> None:
        coding = fields.get(_CODING_HEADER)
        length = fields.get(_LENGTH_HEADER)
        if length is not None and not _LENGTH.fullmatch(length):
            raise MalformedAnswerError("the length is no number")
        if coding is not None:
            is_known = coding.lower() == b"chunked" and self.version > 10
            if not is_known or length is not None:
                raise MalformedAnswerError("the transfer encoding is ambiguous")
        self.chunked = coding is not None
        self.chunk_left = None
        self.length = None if length is None else int(length)
        if self.status == NO_CONTENT and (self.chunked or self.length):
            raise MalformedAnswerError("an answer without content has a body")
        if self._method == "HEAD" or self.status in (NO_CONTENT, NOT_MODIFIED):
            self.chunked = False
            self.length = 0
        # One wrong byte in the name of its length or chunks makes an answer unframed.
        if not self.is_framed and any(map(_is_misspelt, fields)):
            raise MalformedAnswerError("the header of the length is malformed")

    def _read_next_chunk_size(self) -> int:
        found = _CHUNK_SIZE.fullmatch(self.fp.readline(MAX_LINE_BYTES))
        if found is None:
            raise ValueError("the size of a chunk is malformed")
        return int(found[1], 16)

    def _get_chunk_left(self) -> int | None:
        if self.chunk_left == 0:
            if self._safe_read(len(_LAST_LINE)) != _LAST_LINE:
                raise IncompleteRead(b"")
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_and_discard_trailer(self) -> None:
        while self._read_trailer_line() != _LAST_LINE:
            pass

    def _read_trailer_line(self) -> bytes:
        """Read a line after the last chunk.

        A size that was changed to zero would otherwise end a body too early.

        Raises:
            IncompleteRead: The line is neither a trailer nor the last one. A field of an
                event is none; it belongs to a stream.
        """
        line = self.fp.readline(MAX_LINE_BYTES)
        is_trailer = _TRAILER.fullmatch(line) and not _EVENT_FIELD.match(line)
        if line != _LAST_LINE and not is_trailer:
            raise IncompleteRead(b"")
        return line


def begins_with_framing(body: bytes) -> bool:
    """Whether the body of an unframed answer begins with framing that belongs elsewhere.

    That is a header with the length or the chunks, or the size of a chunk.

    Args:
        body: First bytes of the body, with at least a whole line.
    """
    return bool(_FRAMING_HEADER.match(body) or _CHUNK_SIZE.match(body))


def has_lost_framing(body: bytes) -> bool:
    """Whether an unframed body shows that its head has lost its length or chunks.

    It begins with their header, or consists of chunks up to the last one.

    Args:
        body: The whole body.
    """
    if _FRAMING_HEADER.match(body):
        return True
    position = 0
    while found := _CHUNK_SIZE.match(body, position):
        size_bytes = int(found[1], 16)
        position = found.end() + size_bytes + len(_LAST_LINE)
        if size_bytes == 0:
            return True
        if body[position - len(_LAST_LINE) : position] != _LAST_LINE:
            return False
    return False


def _is_misspelt(name: bytes) -> bool:
    """Whether a name differs by one byte from that of a header that ends the body."""
    return any(
        len(name) == len(known)
        and sum(a != b for a, b in zip(name.lower(), known.lower(), strict=True)) == 1
        for known in (_LENGTH_HEADER, _CODING_HEADER)
    )
