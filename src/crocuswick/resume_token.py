"""Authenticated tokens from which any node can resume an answer stream."""

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

__all__ = ["ResumePoint", "ResumeTokens", "TokenFault", "TokenSeries"]

MAC_BYTES = 12
"""Bytes of the message authentication code in a token."""

ARRAY_OF_9 = b"\x99"
"""Head of a msgpack array with as many values as a `ResumePoint` has fields."""

INDEX_AT = 5
"""Place of ``index`` among the fields; ``delivered`` follows it."""


@attrs.frozen(kw_only=True)
class ResumePoint:
    """Where in which engine's stream an answer goes on."""

    organisation: str
    """Organisation that the answer belongs to."""

    pool: str
    """Endpoint pool of the endpoint."""

    endpoint_id: str
    """Endpoint that produces the answer."""

    incarnation: str
    """Incarnation of the endpoint."""

    engine_request_id: str
    """Id of the request at the endpoint."""

    index: int
    """Index at the endpoint of the last delivered event."""

    delivered: int
    """Tokens delivered to the caller so far, over all endpoints."""

    model: str = ""
    """Model name that the caller asked for."""

    finished: bool = False
    """Whether the event was the last one of the answer."""


@attrs.frozen(kw_only=True)
class TokenFault:
    """A token that is malformed or was not issued with the shared key."""

    detail: str
    """What is wrong, for people."""


class ResumeTokens:
    """Issues and reads tokens with keys that all nodes share.

    Args:
        keys: Keys in force, each of at most 64 bytes; the first one signs.
    """

    def __init__(self, *, keys: Iterable[bytes]):
        self._keys: tuple[bytes, ...] = ()
        self.replace(keys)

    def replace(self, keys: Iterable[bytes]) -> None:
        """Put other keys in force.

        Args:
            keys: Keys in force from now on; the first one signs.
        """
        self._keys = tuple(_derived(key) for key in keys)

    def issue(self, point: ResumePoint) -> str:
        """Return the token for a resume point, in URL-safe characters."""
        payload = msgpack.packb(attrs.astuple(point))
        mac = _mac(self._keys[0], payload)
        return base64.urlsafe_b64encode(mac + payload).decode()

    @property
    def signing_key(self) -> bytes:
        """Key that signs at present."""
        return self._keys[0]

    def series(self, point: ResumePoint) -> TokenSeries:
        """Return the issuer of the tokens of one stream.

        Args:
            point: Any point of the stream; its counts are not used.
        """
        return TokenSeries(tokens=self, point=point)

    def read(self, token: str) -> Result[ResumePoint, TokenFault]:
        """Verify and decode a token.

        Args:
            token: Value of a ``Last-Event-ID`` header.

        Returns:
            The resume point, or a `TokenFault` for anything that this
            deployment did not issue.
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


class TokenSeries:
    """Issues the tokens of one stream, which differ in their counts only.

    Args:
        tokens: Holds the keys, which may be replaced during the stream.
        point: Any point of the stream.
    """

    def __init__(self, *, tokens: ResumeTokens, point: ResumePoint):
        self._tokens = tokens
        values = attrs.astuple(point)
        packed = [msgpack.packb(value) for value in values]
        self._head = ARRAY_OF_9 + b"".join(packed[:INDEX_AT])
        self._tail = b"".join(packed[INDEX_AT + 2 : -1])
        self._key = b""

    def issue(self, *, index: int, delivered: int, finished: bool = False) -> str:
        """Return the token for one delivered event.

        Args:
            index: Index of the event at the endpoint.
            delivered: Tokens delivered so far, over all endpoints.
            finished: Whether the event is the last one of the answer.
        """
        key = self._tokens.signing_key
        if key is not self._key:
            self._key = key
            self._begun_mac = _keyed(key)
            self._begun_mac.update(self._head)
        counts = msgpack.packb(index) + msgpack.packb(delivered)
        rest = counts + self._tail + msgpack.packb(finished)
        mac = self._begun_mac.copy()
        mac.update(rest)
        return base64.urlsafe_b64encode(mac.digest() + self._head + rest).decode()


def _derived(key: bytes) -> bytes:
    return hashlib.blake2b(key, person=b"resume-token").digest()


def _mac(key: bytes, payload: bytes) -> bytes:
    mac = _keyed(key)
    mac.update(payload)
    return mac.digest()


def _keyed(key: bytes) -> hashlib.blake2b:
    return hashlib.blake2b(key=key, digest_size=MAC_BYTES)
