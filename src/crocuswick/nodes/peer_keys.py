"""Keys that authenticate messages between nodes."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from result import Err, Ok

from crocuswick.errors import PeerError
from crocuswick.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from result import Result

__all__ = ["MAC_BYTES", "PeerKeys", "read_key_file"]

MAC_BYTES = 16
"""Size of a message authentication code in bytes."""

MIN_SECRET_CHARACTERS = 16
"""Minimum length of a secret."""

_KEY_PURPOSE = b"crocuswick-key"


class PeerKeys:
    """Signs with one key and accepts several, so that keys can be rotated.

    The keys are replaced as one tuple, so any thread may use or replace them.
    """

    def __init__(self, *, keys: Iterable[bytes]):
        """Create the set of keys.

        Args:
            keys: Accepted keys, each of at most 64 bytes; the first one signs.

        Raises:
            ValueError: If there is no key or one is empty.
        """
        self._keys: tuple[bytes, ...] = ()
        self.replace(keys)

    def replace(self, keys: Iterable[bytes]) -> None:
        """Replace the keys.

        Args:
            keys: Keys accepted from now on; the first one signs.

        Raises:
            ValueError: If there is no key or one is empty.
        """
        new_keys = tuple(keys)
        if not all(new_keys) or not new_keys:
            raise ValueError("no key given, or a key is empty")
        self._keys = new_keys

    def sign(self, body: bytes, *, purpose: bytes) -> bytes:
        """Return the authentication code of a message.

        Args:
            body: Message.
            purpose: Name of the protocol, at most 16 bytes; a code for one purpose
                is not valid for another.
        """
        return _code(self._keys[0], body, purpose=purpose)

    def verifies(self, body: bytes, code: bytes, *, purpose: bytes) -> bool:
        """Return whether a message was signed with one of the accepted keys.

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
    """Read keys from a file with one secret per line.

    Args:
        path: File; empty lines and lines that start with ``#`` are ignored. A
            secret is any text of at least 16 characters.

    Returns:
        The keys, the signing one first, or an error if the file cannot be used.
    """
    try:
        lines = [line.strip() for line in path.read_text().splitlines()]
    except (OSError, ValueError) as error:
        return _unusable(path, str(error))
    secrets = [line for line in lines if line and not line.startswith("#")]
    if not secrets:
        return _unusable(path, "the file contains no secret")
    if min(len(secret) for secret in secrets) < MIN_SECRET_CHARACTERS:
        return _unusable(path, f"a secret has under {MIN_SECRET_CHARACTERS} characters")
    return Ok([_key(secret) for secret in secrets])


def _key(secret: str) -> bytes:
    return hashlib.blake2b(secret.encode(), person=_KEY_PURPOSE).digest()


def _unusable(path: Path, detail: str) -> Err[PeerError]:
    return Err(
        PeerError(
            step="read key", peer=str(path), detail=detail, outcome=Outcome.NOT_RUN
        )
    )


def _code(key: bytes, body: bytes, *, purpose: bytes) -> bytes:
    return hashlib.blake2b(
        body, key=key, digest_size=MAC_BYTES, person=purpose
    ).digest()
