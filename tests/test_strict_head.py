"""Tests of strict reading of request headers."""

from __future__ import annotations

import io
import unittest

from crocuswick.strict_head import HeaderFields, StrictHeaderReader


def read(*lines: bytes) -> HeaderFields:
    return StrictHeaderReader()(
        io.BytesIO(b"".join(line + b"\r\n" for line in (*lines, b""))), HeaderFields()
    )


class StrictHeaderReaderTests(unittest.TestCase):
    def test_headers_keep_their_order_spelling_and_repetition(self):
        fields = read(b"x-a: 1", b"X-B:2", b"X-A: 3 ")
        self.assertEqual(fields.pairs, [("x-a", "1"), ("X-B", "2"), ("X-A", "3")])
        self.assertEqual(fields[b"X-A"], b"1, 3")

    def test_ambiguous_headers_are_refused(self):
        for lines in (
            (b"Content-Length: 1", b"Content-Length: 2"),
            (b"Host: a", b"host: b"),
            (b"Transfer-Encoding: chunked", b"Transfer-Encoding: identity"),
            (b"Authorization: Token a", b"Authorization: Token b"),
            (b"Content-Length : 1",),
            (b" folded: 1",),
            (b"no colon",),
            (b": empty",),
            (b"X-A: a\x00b",),
            (b"X-A: a\rX-B: c",),
        ):
            with self.subTest(lines=lines), self.assertRaises(ValueError):
                read(*lines)

    def test_a_bare_line_feed_is_refused(self):
        with self.assertRaises(ValueError):
            StrictHeaderReader()(io.BytesIO(b"X-A: 1\n\r\n"), HeaderFields())
