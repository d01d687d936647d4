"""Tests of the parser of JSON with comments."""

from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from crocuswick import jsonc

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


class ParseTests(unittest.TestCase):
    @given(JSON_VALUES, st.sampled_from([None, 2]), st.booleans())
    def test_agrees_with_json(self, value, indent, ascii_only):
        text = json.dumps(value, indent=indent, ensure_ascii=ascii_only)
        self.assertEqual(jsonc.parse(text).unwrap().value, json.loads(text))

    def test_comments_and_trailing_commas(self):
        text = '// top\n{"a": [1, 2,], /* x\n ** / */ "b": "// no", }\n// end'
        document = jsonc.parse(text).unwrap()
        self.assertEqual(document.value, {"a": [1, 2], "b": "// no"})
        self.assertEqual(document.line_of(("a", 1)), 2)
        self.assertEqual(document.line_of(("b",)), 3)
        self.assertEqual(document.line_of(("a", 9, "missing")), 2)

    def test_faults_have_line_and_column(self):
        cases = {
            '{\n  "a": nope\n}': (2, 8),
            '{"a": 1\n "b": 2}': (2, 2),
            '{"a": 1,\n "a": 2}': (2, 2),
            "[1,\n2": (2, 2),
            "": (1, 1),
            "[1e999]": (1, 2),
            '["\\x"]': (1, 2),
            "[01]": (1, 3),
            "[,]": (1, 2),
            "/* open": (1, 1),
        }
        for text, position in cases.items():
            with self.subTest(text=text):
                error = jsonc.parse(text).unwrap_err()
                self.assertEqual((error.line, error.column), position)

    def test_deep_nesting_is_an_error(self):
        self.assertTrue(jsonc.parse("[" * 100_000 + "]" * 100_000).is_err())
