"""The text that the fake engine generates, a pure function of the preceding text.

Any test can therefore compute the expected answer, and another engine that
continues from the prompt and the text so far generates the same answer.
"""

from __future__ import annotations

import base64
import hashlib

__all__ = ["CONTEXT_BYTES", "expected_answer", "next_token", "prompt_digest"]

CONTEXT_BYTES = 48
"""Bytes of preceding text on which the next token depends."""

_DIGEST_BYTES = 5
_TOKEN_LETTERS = 7


def next_token(text: str) -> str:
    """Return the token that follows a text.

    Args:
        text: Prompt and answer so far; only its last bytes matter.

    Returns:
        A space and seven characters.
    """
    # The cut may split the first character, but only bytes are hashed.
    tail = text.encode()[-CONTEXT_BYTES:]
    digest = hashlib.blake2b(tail, digest_size=_DIGEST_BYTES).digest()
    return " " + base64.b32encode(digest).decode().lower()[:_TOKEN_LETTERS]


def expected_answer(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to a prompt."""
    # The last 48 characters hold at least the last 48 bytes.
    text = prompt[-CONTEXT_BYTES:]
    answer = ""
    for _ in range(max_tokens):
        token = next_token(text)
        answer += token
        text = (text + token)[-CONTEXT_BYTES:]
    return answer


def prompt_digest(prompt: str) -> str:
    """Return the digest that identifies a prompt in histories."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()
