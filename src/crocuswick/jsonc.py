"""Parser of JSON with comments that keeps the line number of each value."""

from __future__ import annotations

import functools
import json
from typing import Any

import attrs
from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken
from result import Err, Ok, Result

__all__ = ["JsoncDocument", "JsoncError", "Path", "parse"]


Path = tuple[str | int, ...]
"""Keys and indices from the document's root to a value."""

_LITERALS_BY_RULE = {"true": True, "false": False, "null": None}


@attrs.frozen(kw_only=True)
class JsoncError:
    """A syntax error in a document."""

    line: int
    """Line of the fault, from 1."""

    column: int
    """Column of the fault, from 1."""

    message: str
    """Human-readable description of the fault."""

    def __str__(self) -> str:
        return f"line {self.line}, column {self.column}: {self.message}"


@attrs.frozen(kw_only=True)
class JsoncDocument:
    """A parsed document."""

    value: Any
    """The plain Python value."""

    lines_by_path: dict[Path, int] = attrs.field(repr=False)
    """Line number of each value; for a member of an object, the line of its key."""

    def line_of(self, path: Path) -> int:
        """Return the line of a value, or that of its nearest known ancestor.

        Args:
            path: Keys and indices from the root.

        Returns:
            A line number, from 1.
        """
        for length in range(len(path), -1, -1):
            line = self.lines_by_path.get(tuple(path[:length]))
            if line is not None:
                return line
        return 1


class _BuildError(Exception):  # noqa: N818 - caught in `parse`, never reaches callers
    """Raised for a fault found while values are built."""

    def __init__(self, token: Token, message: str):
        super().__init__(message)
        self.error = JsoncError(
            line=token.line or 1, column=token.column or 1, message=message
        )


class _Builder:
    """Builds Python values from the parse tree and records their lines."""

    def __init__(self) -> None:
        self.lines_by_path: dict[Path, int] = {}

    def build(self, tree: Tree, path: Path) -> Any:
        """Return the value of a subtree.

        Args:
            tree: Parse tree of one value.
            path: Path of the value.

        Returns:
            The Python value.
        """
        self.lines_by_path.setdefault(path, getattr(tree.meta, "line", 1))
        if tree.data == "object":
            return self._build_object(tree, path)
        if tree.data == "array":
            items = [item for item in tree.children if item is not None]
            return [self.build(item, (*path, i)) for i, item in enumerate(items)]
        if tree.data in _LITERALS_BY_RULE:
            return _LITERALS_BY_RULE[tree.data]
        return _scalar(tree.children[0])

    def _build_object(self, tree: Tree, path: Path) -> dict[str, Any]:
        members: dict[str, Any] = {}
        for pair in tree.children:
            if pair is None:
                continue
            key_token, value = pair.children
            key = json.loads(key_token)
            if key in members:
                raise _BuildError(key_token, f"duplicate key {key_token}")
            self.lines_by_path[(*path, key)] = key_token.line
            members[key] = self.build(value, (*path, key))
        return members


def parse(text: str) -> Result[JsoncDocument, JsoncError]:
    """Parse JSON with comments.

    Args:
        text: Text of the document.

    Returns:
        The document, or the first fault with its line and column.
    """
    builder = _Builder()
    try:
        tree = _parser().parse(text)
        value = builder.build(tree.children[0], ())
    except UnexpectedEOF:
        return Err(_error_at_end(text))
    except UnexpectedToken as error:
        if error.token.type == "$END":
            return Err(_error_at_end(text))
        return Err(_error_at(error, f"unexpected {str(error.token)!r}"))
    except UnexpectedCharacters as error:
        return Err(_error_at(error, f"unexpected {error.char!r}"))
    except _BuildError as fault:
        return Err(fault.error)
    except RecursionError:
        return Err(JsoncError(line=1, column=1, message="nested too deeply"))
    return Ok(JsoncDocument(value=value, lines_by_path=builder.lines_by_path))


@functools.cache
def _parser() -> Lark:
    return Lark.open(
        "jsonc.lark",
        rel_to=__file__,
        parser="lalr",
        lexer="basic",
        propagate_positions=True,
    )


def _scalar(token: Token) -> str | int | float:
    value = json.loads(token)
    if value in (float("inf"), float("-inf")):
        raise _BuildError(token, f"the number {token} is too large")
    return value


def _error_at(error: UnexpectedToken | UnexpectedCharacters, message: str) -> Any:
    return JsoncError(
        line=max(error.line, 1), column=max(error.column, 1), message=message
    )


def _error_at_end(text: str) -> JsoncError:
    lines = text.split("\n")
    return JsoncError(
        line=len(lines),
        column=len(lines[-1]) + 1,
        message="unexpected end of the document",
    )
