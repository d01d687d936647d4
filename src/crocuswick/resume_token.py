"""Authenticated tokens from which any node can resume an answer stream."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

import attrs
import msgpack
from result import Err, Ok, Result

__all__ = ["ResumePoint", "ResumeTokens", "TokenFault"]

MAC_BYTES = 12
"""Bytes of the message authentication code in a token."""


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


@attrs.frozen(kw_only=True)
class TokenFault:
    """A token that is malformed or was not issued with the shared key."""

    detail: str
    """What is wrong, for people."""


class ResumeTokens:
    """Issues and reads tokens with a key that all nodes share.

    Args:
        key: Secret of any length; all nodes of a deployment hold the same.
    """

    def __init__(self, *, key: bytes):
        self._key = hashlib.blake2b(key, person=b"resume-token").digest()

    def issue(self, point: ResumePoint) -> str:
        """Return the token for a resume point, in URL-safe characters."""
        payload = msgpack.packb(attrs.astuple(point))
        return base64.urlsafe_b64encode(self._mac(payload) + payload).decode()

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
        if not hmac.compare_digest(mac, self._mac(payload)):
            return Err(TokenFault(detail="not issued by this deployment"))
        names = [field.name for field in attrs.fields(ResumePoint)]
        values = msgpack.unpackb(payload)
        return Ok(ResumePoint(**dict(zip(names, values, strict=True))))

    def _mac(self, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, key=self._key, digest_size=MAC_BYTES).digest()
