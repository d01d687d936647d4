"""Requests, attempts and answers, independent of the wire format."""

from __future__ import annotations

import hashlib

import attrs

from crocuswick.relay.replica import Availability
from crocuswick.relay.serving import Organisation, Route

__all__ = [
    "MISDIRECTED",
    "Attempt",
    "CallerRequest",
    "Prompt",
    "PromptSegment",
    "ResponseHead",
    "RoutedRequest",
]

MISDIRECTED = 421
"""Status of a replica that is not the expected one or serves other weights."""

MAX_KEY_LENGTH = 64
"""Length of a segment's key. Keys are sent to peers, and callers choose the ids."""

KEY_DIGEST_BYTES = 16
"""Bytes in a digest that replaces a longer key."""


@attrs.frozen(kw_only=True)
class PromptSegment:
    """A segment of a prompt that requests may share."""

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """A prompt as described by its caller."""

    model: str
    prompt_tokens: int
    max_output_tokens: int
    segments: tuple[PromptSegment, ...]
    """Segments in order; the last one is specific to the request or its session."""

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """Segments that other requests may share."""
        return self.segments[:-1]

    @property
    def shared_keys(self) -> tuple[str, ...]:
        """Keys of the shared segments, each for this model.

        A key has at most `MAX_KEY_LENGTH` characters.
        """
        return tuple(_key(self.model, segment.id) for segment in self.shared_segments)

    @property
    def shared_segment_id(self) -> str:
        """Id of the last shared segment, empty for none."""
        return self.segments[-2].id if len(self.segments) > 1 else ""

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared segments."""
        return sum(segment.tokens for segment in self.shared_segments)


def _key(model: str, segment_id: str) -> str:
    key = f"{model}/{segment_id}"
    if len(key) <= MAX_KEY_LENGTH:
        return key
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A completely received request of a caller."""

    request_id: str
    """Id of this attempt by the caller."""

    method: str
    target: str
    """Path and query as received."""

    host: str
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers, forwarded unchanged."""

    body: bytes | bytearray
    key: str | None
    """API key of the caller, None if it sent none."""

    time_budget_ms: int | None
    """Time for which the caller waits after the request arrived, None if unknown."""

    last_event_id: int | None
    """Event after which a stream is resumed, None for a new one."""

    prompt: Prompt | None
    received_s: float
    """Monotonic time at which the request had been read completely."""

    stated_tokens: int | None = None
    """Prompt tokens plus maximum output tokens, None if the caller states none."""

    @property
    def path(self) -> str:
        """Path without its query."""
        return self.target.partition("?")[0]


@attrs.frozen(kw_only=True)
class RoutedRequest:
    """A request with its route, service, organisation and deadline."""

    caller: CallerRequest
    route: Route
    service: str
    organisation: Organisation | None
    priority: int
    deadline_s: float
    """Monotonic time by which the caller must have its final answer."""

    configuration_version: int


@attrs.frozen(kw_only=True)
class Attempt:
    """One attempt to serve a request at a replica."""

    replica_id: str
    incarnation: str
    address: str
    zone: str
    tenant: str
    """Name of the caller's organisation, empty for none."""

    engine_priority: int | None
    """Priority at the engine, 0 to 9, where 0 is the highest; None for services without
    engines."""

    cache_salt: str
    """Cache salt of the segments; empty for services without engines."""

    expected_weights_version: int | None
    """Weights version that the engine must serve; None if unknown, and for services
    without engines."""

    shared_segment_id: str
    """Id of the prompt's last shared segment, empty for none."""

    fetch_kv_from: str
    """Address from which the engine fetches cached segments, empty for none."""

    store_kv_to: str
    """Address to which the engine saves segments, empty for none."""

    prefill_tokens: int
    """Tokens that the engine is expected to compute."""


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Status and headers of a replica's response."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers, forwarded unchanged."""

    request_id: str | None
    """Id of the answered request, None if the replica did not send it."""

    is_signed: bool
    """Whether the response has a signature header, which marks it as the replica's own;
    the signature is not verified."""

    is_not_run: bool
    """Whether the replica reports that it did not run the request. No status says so by
    itself: a replica may fail after it has run the request."""

    replica_id: str | None
    """Id of the replica that answered, None if it did not send it."""

    weights_version: int | None
    is_encoded: bool
    """Whether the body has a content encoding, which no request asks for."""

    is_framed: bool = True
    """Whether the body has a length or chunks. Otherwise it ends with its connection, and
    one that is broken off may look complete."""

    availability: Availability = Availability()

    @property
    def media_type(self) -> str:
        """Media type in lower case, empty if the replica sent none."""
        for name, value in self.headers:
            if name.lower() == "content-type":
                return value.partition(";")[0].strip().lower()
        return ""

    def is_continued_by(self, other: ResponseHead) -> bool:
        """Whether another response can go on with the stream that this one has begun."""
        return (self.status, self.media_type) == (other.status, other.media_type)

    def is_misdirected(self, replica_id: str) -> bool:
        """Whether another replica than the expected one has rejected the request.

        Args:
            replica_id: Id of the expected replica.
        """
        return self.status == MISDIRECTED and self.replica_id not in (None, replica_id)

    @property
    def is_anonymous(self) -> bool:
        """Whether it names neither the request nor the replica that answers. It may then
        belong to an earlier request.
        """
        return self.request_id is None and self.replica_id is None
