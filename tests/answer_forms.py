"""Whole answers in each form, and the ways in which they are changed."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    "BODY",
    "CHUNKED",
    "EARLY_HINTS",
    "HEAD",
    "LENGTH",
    "Form",
    "changed_heads",
    "event_stream",
    "plain_forms",
    "replaced_bytes",
]

BODY = b'{"seats": 2, "tent": "perth"}'
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
HEAD = STATUS_LINE + b"X-Attempt-Id: 17\r\nX-Replica-Seal: s\r\nConnection: close\r\n"
LENGTH = b"Content-Length: %d\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
FRAMING = (b"Content-Length", b"Transfer-Encoding")
BLANK_LINE = b"\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
REPLACEMENTS = b"0fX :\n\xe0"


@attrs.frozen(kw_only=True)
class Form:
    """A whole answer."""

    name: str
    head: bytes
    framed_body: bytes
    body: bytes
    is_framed: bool = True

    @property
    def answer(self) -> bytes:
        """All bytes of the answer."""
        return self.head + self.framed_body


def chunk(data: bytes, extension: bytes = b"") -> bytes:
    """Return a chunk."""
    return b"%x%b\r\n%b\r\n" % (len(data), extension, data)


def plain_forms(body: bytes, *, head: bytes = HEAD) -> tuple[Form, Form, Form]:
    """Return a success with a length, with chunks, and with neither.

    Args:
        body: The body.
        head: Status line and headers other than those that frame the body.
    """
    trailers = b"0\r\nX-T: 1\r\n\r\n"
    return (
        Form(
            name="length",
            head=head + LENGTH % len(body) + b"\r\n",
            framed_body=body,
            body=body,
        ),
        Form(
            name="chunks",
            head=head + CHUNKED + b"\r\n",
            framed_body=chunk(body[:9]) + chunk(body[9:], b";a=b") + trailers,
            body=body,
        ),
        Form(
            name="unframed",
            head=head + b"\r\n",
            framed_body=body,
            body=body,
            is_framed=False,
        ),
    )


def event_stream(*events: bytes, head: bytes = HEAD) -> Form:
    """Return a stream of events in chunks.

    Args:
        events: The events, each of which is a chunk.
        head: Status line and headers other than those that frame the body.
    """
    return Form(
        name="event stream",
        head=head + b"Content-Type: text/event-stream\r\n" + CHUNKED + b"\r\n",
        framed_body=b"".join(map(chunk, events)) + b"0\r\n\r\n",
        body=b"".join(events),
    )


def replaced_bytes(form: Form) -> Iterator[bytes]:
    """Yield the answer with each byte that frames it replaced by others.

    A value of a header is changed only if it has the form of the body's length, and then
    not to a smaller number.
    """
    for position in framing_positions(form):
        for other in REPLACEMENTS:
            changed = bytearray(form.answer)
            changed[position] = other
            if changed != form.answer and not shrinks_length(form, bytes(changed)):
                yield bytes(changed)


def framing_positions(form: Form) -> list[int]:
    """Return the positions of bytes that frame the body."""
    lines = re.finditer(rb"[^\n]*\n", form.head)
    positions = []
    for line in lines:
        is_framing = line[0].lower().startswith((b"content-length", b"transfer-enc"))
        for offset, byte in enumerate(line[0]):
            if is_framing or byte in b"\r\n:":
                positions.append(line.start() + offset)
    return positions + [len(form.head) + each for each in chunk_marks(form)]


def chunk_marks(form: Form) -> Iterator[int]:
    """Yield the positions in a chunked body of the sizes and of what ends each chunk."""
    position = 0
    while CHUNKED in form.head:
        line_end = form.framed_body.index(b"\r\n", position)
        digits = re.match(rb"[0-9a-f]+", form.framed_body[position:])[0]
        yield from range(position, position + len(digits))
        yield from (line_end, line_end + 1)
        data_end = line_end + 2 + int(digits, 16)
        if data_end == line_end + 2:
            yield from range(len(form.framed_body) - 2, len(form.framed_body))
            return
        yield from (data_end, data_end + 1)
        position = data_end + 2


def shrinks_length(form: Form, changed: bytes) -> bool:
    """Whether a length has become smaller, which only the seal reveals."""
    found = re.search(rb"Content-Length:[ ]*(\d+)[ ]*\r\n", changed)
    return found is not None and int(found[1]) < len(form.body)


def changed_heads(form: Form) -> Iterator[bytes]:
    """Yield the head with each of its lines doubled, dropped and swapped with the next."""
    lines = re.findall(rb"[^\n]*\n", form.head)
    for index, line in enumerate(lines):
        before, after = lines[:index], lines[index + 1 :]
        if line != BLANK_LINE or CHUNKED in form.head:
            yield b"".join([*before, line, line, *after])
        yield b"".join([*before, *after])
        # A header after the blank line is part of the body, which the seal reveals, unless
        # it frames the body.
        if after and (after[0] != BLANK_LINE or line.startswith(FRAMING)):
            yield b"".join([*before, after[0], line, *after[1:]])
