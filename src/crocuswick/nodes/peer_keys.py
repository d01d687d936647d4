"""Keys that authenticate messages between nodes."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from result import Err, Ok

from crocuswick.errors import PeerError

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from result import Result

__all__ = ["MAC_BYTES", "PeerKeys", "read_key_file"]

MAC_BYTES = 16
"""Bytes in a message authentication code."""

MIN_KEY_BYTES = 16
"""Bytes that a key must have at least."""

MAX_KEY_BYTES = 64
"""Bytes that a key can have at most."""


class PeerKeys:
    """Signs with one key and accepts several, so that keys can be replaced.

    The keys are swapped as one tuple; any thread may use or replace them.
    """

    def __init__(self, *, keys: Iterable[bytes]):
        """Create the set of keys.

        Args:
            keys: Keys in force; the first one signs.

        Raises:
            ValueError: If there is no key or one has a wrong length.
        """
        self._keys: tuple[bytes, ...] = ()
        self.replace(keys)

    def replace(self, keys: Iterable[bytes]) -> None:
        """Put other keys in force.

        Args:
            keys: Keys in force from now on; the first one signs.

        Raises:
            ValueError: If there is no key or one has a wrong length.
        """
        new_keys = tuple(keys)
        if not new_keys:
            raise ValueError("no key given")
        for key in new_keys:
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise ValueError(
                    f"a key has {len(key)} bytes, needs {MIN_KEY_BYTES} to "
                    f"{MAX_KEY_BYTES}"
                )
        self._keys = new_keys

    def sign(self, body: bytes, *, purpose: bytes) -> bytes:
        """Return the authentication code of a message.

        Args:
            body: Message.
            purpose: Name of the protocol, of 16 bytes at most; a code for one
                purpose is worthless for another.
        """
        return _code(self._keys[0], body, purpose=purpose)

    def verifies(self, body: bytes, code: bytes, *, purpose: bytes) -> bool:
        """Return whether a message was signed with one of the keys in force.

        Args:
            body: Message.
            code: Authentication code that came with it.
            purpose: Name of the protocol.
        """
        return any(
            hmac.compare_digest(_code(key, body, purpose=purpose), code)
            for key in self._keys
        )


def read_key_file(path: Path) -> Result[list[bytes], PeerError]:
    """Read keys from a file with one key a line in hexadecimal digits.

    Args:
        path: File; empty lines and lines that start with ``#`` are ignored.

    Returns:
        The keys, the signing one first, or why the file cannot be used.
    """
    try:
        lines = [line.strip() for line in path.read_text().splitlines()]
        keys = [
            bytes.fromhex(line) for line in lines if line and not line.startswith("#")
        ]
        PeerKeys(keys=keys)
    except (OSError, ValueError) as error:
        return Err(PeerError(step="read key", peer=str(path), detail=str(error)))
    return Ok(keys)


def _code(key: bytes, body: bytes, *, purpose: bytes) -> bytes:
    return hashlib.blake2b(
        body, key=key, digest_size=MAC_BYTES, person=purpose
    ).digest()
