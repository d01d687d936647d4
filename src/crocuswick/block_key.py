"""Chained keys of the blocks of a prompt.

A block holds `BLOCK_TOKENS` tokens. The key of a block depends on the cache salt
(organisation, model and weights version), on all blocks before it and on its own
tokens, so it never matches blocks of another organisation or weights version.
"""

from __future__ import annotations

import hashlib

__all__ = [
    "BLOCK_BYTES",
    "BLOCK_TOKENS",
    "KEY_BYTES",
    "TOKEN_BYTES",
    "block_keys",
    "cache_salt",
    "count_tokens",
]

TOKEN_BYTES = 4
"""Bytes of UTF-8 text that count as one token."""

BLOCK_TOKENS = 1024
"""Tokens in one cached block."""

BLOCK_BYTES = BLOCK_TOKENS * TOKEN_BYTES
"""Bytes of prompt text in one cached block."""

KEY_BYTES = 8
"""Bytes in a block key."""


def cache_salt(*, organisation: str, model: str, weights_version: str) -> str:
    """Return the salt that separates organisations, models and weights versions.

    Args:
        organisation: Organisation id.
        model: Model name.
        weights_version: Version of the weights with which the cache is computed.

    Returns:
        16 hexadecimal digits, passed to the engine as ``cache_salt``.
    """
    parts = [part.encode() for part in (organisation, model, weights_version)]
    framed = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hashlib.blake2b(framed, digest_size=KEY_BYTES).hexdigest()


def block_keys(prompt: str, *, salt: str) -> list[int]:
    """Return the chained keys of the complete blocks of a prompt.

    Args:
        prompt: Prompt text; its UTF-8 bytes are split into blocks of `BLOCK_BYTES`.
        salt: Value of `cache_salt`.

    Returns:
        One unsigned 64-bit key for each complete block, in prompt order.
    """
    text = prompt.encode()
    parent = salt.encode()
    keys = []
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = text[start : start + BLOCK_BYTES]
        parent = hashlib.blake2b(parent + block, digest_size=KEY_BYTES).digest()
        keys.append(int.from_bytes(parent, "big"))
    return keys


def count_tokens(text: str) -> int:
    """Return the number of tokens in a text, rounded up."""
    return -(-len(text.encode()) // TOKEN_BYTES)
