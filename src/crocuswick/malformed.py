"""What decoding content of another writer raises when the content is malformed."""

from __future__ import annotations

__all__ = ["MALFORMED"]

MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
