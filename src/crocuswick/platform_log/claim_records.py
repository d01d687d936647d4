"""Records of the claims stream and their plain JSON form."""

from __future__ import annotations

import base64
import binascii
import hashlib
import uuid
from typing import TYPE_CHECKING, Any

import attrs
import cattrs

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "ClaimAbandoned",
    "ClaimCompleted",
    "ClaimEndedUnknown",
    "ClaimMade",
    "ClaimRecord",
    "StreamMark",
    "claim_scope",
    "decode_claim_record",
    "encode_claim_record",
    "new_claim_id",
    "scope_of",
]

SCOPE_BYTES = 16
_SCOPE_DIGITS = 2 * SCOPE_BYTES

_types_by_name: dict[str, type] = {}
_names_by_type: dict[type, str] = {}


def _claim_record(name: str) -> Callable[[type], type]:
    def register(record_type: type) -> type:
        _types_by_name[name] = record_type
        _names_by_type[record_type] = name
        return record_type

    return register


@_claim_record("claim")
@attrs.frozen(kw_only=True)
class ClaimMade:
    """A node's claim to run a call; the first claim of a scope may run it."""

    claim_id: str
    """Id of the claim, prefixed with the scope."""

    fingerprint: str
    """Digest of the call's content."""


@_claim_record("done")
@attrs.frozen(kw_only=True)
class ClaimCompleted:
    """The claimed call ran and got a response."""

    claim_id: str
    """Id of the claim."""

    status: int
    """HTTP status of the response."""

    headers: dict[str, str]
    """Response headers to include in a replay."""

    body_base64: str
    """Response body, Base64-encoded."""

    @property
    def body(self) -> bytes:
        """Response body, empty if it cannot be decoded."""
        try:
            return base64.b64decode(self.body_base64, validate=True)
        except binascii.Error:
            return b""


@_claim_record("unknown")
@attrs.frozen(kw_only=True)
class ClaimEndedUnknown:
    """The claimed call was sent but its response was lost."""

    claim_id: str
    """Id of the claim."""


@_claim_record("abandoned")
@attrs.frozen(kw_only=True)
class ClaimAbandoned:
    """The claimed call was not run and will not be run under this claim."""

    claim_id: str
    """Id of the claim."""


@_claim_record("mark")
@attrs.frozen(kw_only=True)
class StreamMark:
    """A heartbeat record in an otherwise idle stream.

    It lets a node prove that the retained records cover a whole window.
    """

    node_id: str
    """Id of the node that wrote the mark."""


ClaimRecord = (
    ClaimMade | ClaimCompleted | ClaimEndedUnknown | ClaimAbandoned | StreamMark
)
"""Any record of the claims stream."""


def claim_scope(*, organisation: str, service: str, key: str) -> str:
    """Return the digest shared by all claims with the same idempotency key.

    Args:
        organisation: Id of the caller's organisation.
        service: Id of the service.
        key: The idempotency key.
    """
    parts = [part.encode() for part in (organisation, service, key)]
    framed = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hashlib.blake2b(framed, digest_size=SCOPE_BYTES).hexdigest()


def new_claim_id(scope: str) -> str:
    """Return a new unique claim id within a scope."""
    return f"{scope}{uuid.uuid4().hex}"


def scope_of(claim_id: str) -> str:
    """Return the scope of a claim."""
    return claim_id[:_SCOPE_DIGITS]


def encode_claim_record(record: ClaimRecord) -> dict[str, Any]:
    """Return the plain JSON form of a record."""
    return {"type": _names_by_type[type(record)], **attrs.asdict(record)}


def decode_claim_record(value: Any) -> ClaimRecord | None:
    """Decode a record, or return None if the value is not a valid one."""
    if not isinstance(value, dict):
        return None
    record_type = _types_by_name.get(str(value.get("type")))
    if record_type is None:
        return None
    try:
        return cattrs.structure(value, record_type)
    except (cattrs.BaseValidationError, ValueError, TypeError):
        return None
