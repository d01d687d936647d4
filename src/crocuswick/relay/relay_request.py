"""A caller's request as the relay handles it, free of any wire format."""

from __future__ import annotations

import attrs

from crocuswick.relay.serving import Organisation, Route

__all__ = [
    "AnswerHead",
    "Attempt",
    "CallerRequest",
    "Prompt",
    "PromptPart",
    "RoutedRequest",
]


@attrs.frozen(kw_only=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """What a caller says of its prompt."""

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    """Parts in order; the last one belongs to the request or its session."""

    @property
    def shared_segments(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may have in common with this one."""
        return self.parts[:-1]

    @property
    def shared_segment_id(self) -> str:
        """Id of the last shared part, empty for none."""
        return self.parts[-2].id if len(self.parts) > 1 else ""

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(segment.tokens for segment in self.shared_segments)


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request as it was received, whole."""

    request_id: str
    """Id of this attempt of the caller."""

    method: str
    target: str
    """Path and query as received."""

    host: str
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers that are passed on unchanged."""

    body: bytes
    key: str | None
    """Key that the caller presented, if any."""

    time_budget_ms: int | None
    """Time that the caller will wait, from the arrival of the request."""

    last_event_id: int | None
    """Event after which a resumed stream goes on."""

    prompt: Prompt | None
    received_s: float
    """Monotonic time at which the request had been read."""

    @property
    def path(self) -> str:
        """Path without its query."""
        return self.target.partition("?")[0]


@attrs.frozen(kw_only=True)
class RoutedRequest:
    """A request with everything that the configuration says of it."""

    caller: CallerRequest
    route: Route
    service: str
    organisation: Organisation | None
    priority: int
    deadline_s: float
    """Monotonic time at which the caller has its final answer at the latest."""

    configuration_version: int


@attrs.frozen(kw_only=True)
class Attempt:
    """One sending of a request to a replica."""

    replica_id: str
    incarnation: str
    address: str
    zone: str
    tenant: str
    """Name of the caller's organisation, empty for none."""

    engine_priority: int | None
    """Urgency for a model engine, 0 to 9 with 0 first; None for plain services."""

    cache_salt: str
    """Text under which an engine caches parts; empty for plain services."""

    expected_weights: int | None
    """Version that the engine must serve, None for plain services."""

    shared_segment: str
    """Id of the prompt's last shared part, empty for none."""

    fetch_kv_from: str
    """Address that the engine fetches cached parts from, empty for none."""

    store_kv_to: str
    """Address that the engine saves parts to, empty for none."""

    prefill_tokens: int
    """Tokens that the engine is expected to compute."""


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Status and headers of a replica's answer."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    """End-to-end headers, passed on unchanged."""

    request_id: str | None
    """Id of the request that is answered."""

    has_receipt: bool
    """Whether the replica vouches for the answer as its own."""

    is_not_run: bool
    """Whether the replica says that it did not run the request."""

    replica_id: str | None
    """Id of the replica that answered, where it says so."""

    weights_version: int | None
    is_encoded: bool
    """Whether the body is in a content encoding that nobody asked for."""
