"""Strict, incremental framing of request bodies from untrusted callers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from crocuswick.errors import Refusal

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["BodyFraming", "ChunkedBody", "LengthBody", "body_framing"]

_CHUNK_SIZE = re.compile(rb"^([0-9A-Fa-f]{1,8})[ \t]*(;[^\r\n]*)?\r\n$")
_PLAIN_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")
MAX_CHUNK_LINE_BYTES = 1_024
MAX_TRAILERS = 32


class BodyFraming:
    """A body that arrives in pieces.

    It is held in one buffer, which grows with what has arrived and not with what is
    announced.
    """

    def __init__(self):
        self.body = bytearray()
        self.is_complete = False
        self.refusal: Refusal | None = None
        """Reason for which the body is refused; the connection must then be closed."""

    @property
    def is_decided(self) -> bool:
        """Whether the body is complete or refused."""
        return self.is_complete or self.refusal is not None

    def feed(self, data: bytes) -> int:
        """Add received bytes.

        Args:
            data: The bytes.

        Returns:
            Number of bytes that belong to the body; the others follow it.
        """
        position = 0
        while position < len(data) and not self.is_decided:
            position = self._advance(data, position)
        return position

    def end(self) -> None:
        """Refuse the body if it is incomplete; the caller sends no more."""
        if not self.is_decided:
            self._refuse(self._early_end())

    def _advance(self, data: bytes, position: int) -> int:
        """Add bytes from a position and return the position behind them."""
        raise NotImplementedError

    def _early_end(self) -> str:
        """Return the fault of a body that ends now."""
        raise NotImplementedError

    def _refuse(self, detail: str) -> None:
        self.refusal = _malformed(detail)


class LengthBody(BodyFraming):
    """A body of a known length.

    Args:
        length: Announced length.
        max_bytes: Size limit.
    """

    def __init__(self, length: int, max_bytes: int):
        super().__init__()
        self._missing_bytes = length
        self.is_complete = length == 0
        if length > max_bytes:
            self.refusal = _too_large(max_bytes)

    def _advance(self, data: bytes, position: int) -> int:
        end = min(len(data), position + self._missing_bytes)
        self.body += memoryview(data)[position:end]
        self._missing_bytes -= end - position
        self.is_complete = self._missing_bytes == 0
        return end

    def _early_end(self) -> str:
        return "The body ended early."


class ChunkedBody(BodyFraming):
    """A body in chunks.

    Args:
        max_bytes: Size limit of the decoded body.
    """

    def __init__(self, max_bytes: int):
        super().__init__()
        self._max_bytes = max_bytes
        self._line = bytearray()
        self._missing_bytes = 0
        self._trailers = 0
        # Not a bound method: it would refer to this object, whose bytes would then stay in
        # memory until the next collection of cycles.
        self._read = ChunkedBody._read_size

    def _advance(self, data: bytes, position: int) -> int:
        return self._read(self, data, position)

    def _read_size(self, data: bytes, position: int) -> int:
        if not self._line:
            position = self._read_whole_chunks(data, position)
            if position == len(data):
                return position
        line, position = self._read_line(data, position)
        if line is None:
            return position
        size_line = _CHUNK_SIZE.match(line)
        if size_line is None:
            self._refuse("A chunk has a malformed size.")
            return position
        size = int(size_line[1], 16)
        if size == 0:
            self._read = ChunkedBody._read_trailer
        elif len(self.body) + size > self._max_bytes:
            self.refusal = _too_large(self._max_bytes)
        else:
            self._missing_bytes = size
            self._read = ChunkedBody._read_chunk
        return position

    def _read_whole_chunks(self, data: bytes, position: int) -> int:
        """Add the chunks that are there completely and have nothing unusual.

        It makes chunks of a few bytes cheap, of which a body may have millions.
        """
        body = self.body
        while (size_line := _PLAIN_CHUNK_SIZE.match(data, position)) is not None:
            size = int(size_line[1], 16)
            start = size_line.end()
            end = start + size
            if data[end : end + 2] != b"\r\n" or not size:
                return position
            if len(body) + size > self._max_bytes:
                return position
            body += data[start:end]
            position = end + 2
        return position

    def _read_chunk(self, data: bytes, position: int) -> int:
        end = min(len(data), position + self._missing_bytes)
        self.body += memoryview(data)[position:end]
        self._missing_bytes -= end - position
        if not self._missing_bytes:
            self._read = ChunkedBody._read_chunk_end
        return end

    def _read_chunk_end(self, data: bytes, position: int) -> int:
        end = min(len(data), position + 2 - len(self._line))
        self._line += data[position:end]
        if len(self._line) == 2:
            if self._line != b"\r\n":
                self._refuse(self._early_end())
            self._line.clear()
            self._read = ChunkedBody._read_size
        return end

    def _read_trailer(self, data: bytes, position: int) -> int:
        line, position = self._read_line(data, position)
        if line is None:
            return position
        self._trailers += 1
        if line == b"\r\n":
            self.is_complete = True
        elif (
            not line.endswith(b"\r\n")
            or b":" not in line
            or self._trailers == MAX_TRAILERS
        ):
            self._refuse(self._early_end())
        return position

    def _read_line(self, data: bytes, position: int) -> tuple[bytes | None, int]:
        """Return a line, None if it is incomplete, and the position behind it.

        A line of the largest size that has no end is returned as it is.
        """
        limit = position + MAX_CHUNK_LINE_BYTES - len(self._line)
        end = data.find(b"\n", position, limit) + 1
        if not end:
            end = min(len(data), limit)
            self._line += data[position:end]
            if len(self._line) < MAX_CHUNK_LINE_BYTES:
                return None, end
            return self._take_line(), end
        if not self._line:
            return data[position:end], end
        self._line += data[position:end]
        return self._take_line(), end

    def _take_line(self) -> bytes:
        line = bytes(self._line)
        self._line.clear()
        return line

    def _early_end(self) -> str:
        if self._read is ChunkedBody._read_size:
            return "A chunk has a malformed size."
        if self._read is ChunkedBody._read_trailer:
            return "The trailers are malformed."
        return "The length of a chunk differs from its announced size."


def body_framing(headers: Mapping[bytes, bytes], *, max_bytes: int) -> BodyFraming:
    """Return the framing of a request's body.

    Args:
        headers: Checked headers by capitalised name.
        max_bytes: Size limit of the body.
    """
    if headers.get(b"Transfer-Encoding"):
        return ChunkedBody(max_bytes)
    return LengthBody(int(headers.get(b"Content-Length", b"0")), max_bytes)


def _too_large(max_bytes: int) -> Refusal:
    return Refusal(
        status=413,
        title="body-too-large",
        detail=f"A body may have at most {max_bytes} bytes.",
        step="read body",
        field="Content-Length",
    )


def _malformed(detail: str) -> Refusal:
    return Refusal(
        status=400, title="bad-request", detail=detail, step="read body", field="body"
    )
