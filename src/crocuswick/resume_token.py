"""Authenticated tokens with which any node can resume a response stream."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs
import msgpack
from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ResumePoint", "ResumeTokens", "TokenFault", "TokenIssuer"]

MAC_BYTES = 12
"""Length of the message authentication code in a token."""

ARRAY_OF_9_HEADER = b"\x99"
"""Header byte of a msgpack array with nine items, the fields of a `ResumePoint`."""

INDEX_POSITION = 5
"""Position of ``index`` among the fields; ``delivered`` follows it."""


@attrs.frozen(kw_only=True)
class ResumePoint:
    """The position in an engine's stream at which a response continues."""

    organisation: str
    """Organisation that the response belongs to."""

    pool: str
    """Endpoint pool of the endpoint."""

    endpoint_id: str
    """Endpoint that produces the response."""

    incarnation: str
    """Incarnation of the endpoint."""

    engine_request_id: str
    """Id of the request at the endpoint."""

    index: int
    """Index of the last delivered event in the endpoint's stream."""

    delivered: int
    """Number of tokens delivered to the caller so far, across all endpoints."""

    model: str = ""
    """Model name that the caller asked for."""

    finished: bool = False
    """Whether the last delivered event was the final one of the response."""


@attrs.frozen(kw_only=True)
class TokenFault:
    """The reason why a token is refused."""

    detail: str
    """Human-readable reason."""


class ResumeTokens:
    """Issues and verifies tokens with keys that all nodes share.

    Args:
        keys: Accepted keys, each of at most 64 bytes as for `PeerKeys`; the first one
            signs tokens.
    """

    def __init__(self, *, keys: Iterable[bytes]):
        self._keys: tuple[bytes, ...] = ()
        self.replace(keys)

    def replace(self, keys: Iterable[bytes]) -> None:
        """Replace the accepted keys.

        Args:
            keys: New keys; the first one signs tokens.
        """
        self._keys = tuple(_derive_key(key) for key in keys)

    def issue(self, point: ResumePoint) -> str:
        """Return the token for a resume point, in URL-safe Base64."""
        payload = msgpack.packb(attrs.astuple(point))
        mac = _mac(self._keys[0], payload)
        return base64.urlsafe_b64encode(mac + payload).decode()

    @property
    def signing_key(self) -> bytes:
        """Key that signs new tokens."""
        return self._keys[0]

    def issuer_for(self, point: ResumePoint) -> TokenIssuer:
        """Return an issuer for the tokens of one stream.

        Args:
            point: Any point of the stream; its ``index``, ``delivered`` and
                ``finished`` are not used.
        """
        return TokenIssuer(tokens=self, point=point)

    def read(self, token: str) -> Result[ResumePoint, TokenFault]:
        """Verify and decode a token.

        Args:
            token: Value of a ``Last-Event-ID`` header.

        Returns:
            The resume point, or a `TokenFault` for a token that is malformed or was
            not issued with an accepted key.
        """
        try:
            raw = base64.urlsafe_b64decode(token.encode())
        except (binascii.Error, UnicodeEncodeError, ValueError):
            return Err(TokenFault(detail="not a resume token"))
        mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
        if not any(hmac.compare_digest(mac, _mac(key, payload)) for key in self._keys):
            return Err(TokenFault(detail="not issued by this deployment"))
        names = [field.name for field in attrs.fields(ResumePoint)]
        values = msgpack.unpackb(payload)
        return Ok(ResumePoint(**dict(zip(names, values, strict=True))))


class TokenIssuer:
    """Issues the tokens of one stream, which differ only in index, count and end flag.

    The MAC of the constant head is computed once.

    Args:
        tokens: Provides the keys, which may be replaced during the stream.
        point: Any point of the stream.
    """

    def __init__(self, *, tokens: ResumeTokens, point: ResumePoint):
        self._tokens = tokens
        values = attrs.astuple(point)
        packed = [msgpack.packb(value) for value in values]
        self._head = ARRAY_OF_9_HEADER + b"".join(packed[:INDEX_POSITION])
        self._tail = b"".join(packed[INDEX_POSITION + 2 : -1])
        self._key = b""

    def issue(self, *, index: int, delivered: int, finished: bool = False) -> str:
        """Return the token for one delivered event.

        Args:
            index: Index of the event at the endpoint.
            delivered: Number of tokens delivered so far, across all endpoints.
            finished: Whether the event is the final one of the response.
        """
        key = self._tokens.signing_key
        if key is not self._key:
            self._key = key
            self._head_mac = _new_mac(key)
            self._head_mac.update(self._head)
        counts = msgpack.packb(index) + msgpack.packb(delivered)
        suffix = counts + self._tail + msgpack.packb(finished)
        mac = self._head_mac.copy()
        mac.update(suffix)
        return base64.urlsafe_b64encode(mac.digest() + self._head + suffix).decode()


def _derive_key(key: bytes) -> bytes:
    return hashlib.blake2b(key, person=b"resume-token").digest()


def _mac(key: bytes, payload: bytes) -> bytes:
    mac = _new_mac(key)
    mac.update(payload)
    return mac.digest()


def _new_mac(key: bytes) -> hashlib.blake2b:
    return hashlib.blake2b(key=key, digest_size=MAC_BYTES)
