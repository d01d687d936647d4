"""Messages of placement: what is asked, what is decided and what operators see."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

__all__ = [
    "EndpointDescription",
    "EndpointStatus",
    "NoEndpoint",
    "Placement",
    "PlacementRequest",
]


@attrs.frozen(kw_only=True)
class EndpointDescription:
    """What the configuration and the VM list say of an endpoint."""

    id: str
    """Endpoint id, unique over all zones."""

    address: str
    """``host:port``."""

    zone: str
    """Zone of the endpoint."""

    pool: str
    """Endpoint pool that it belongs to."""

    models: Mapping[str, str] | None = None
    """Weights version wanted for each model, or None if not set."""


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """What placement needs to know of a request."""

    request_id: str
    """Request id."""

    model: str
    """Model name."""

    weights_version: str
    """Weights version that must serve the request."""

    keys: Sequence[int]
    """Salted, chained keys of the prompt's whole blocks."""

    prompt_tokens: int
    """Tokens in the prompt."""

    max_tokens: int
    """Tokens to generate at most."""

    priority: int
    """0 (first) to 9."""

    excluded: frozenset[str] = frozenset()
    """Endpoints that mustn't be chosen, for instance because they failed before."""

    pool: str
    """Endpoint pool."""


@attrs.frozen(kw_only=True)
class Placement:
    """Where a request goes."""

    endpoint_id: str
    """The chosen endpoint."""

    predicted_cached_blocks: int
    """Leading blocks of the prompt that the endpoint is thought to hold."""

    expected_ttft_ms: float
    """Expected time to first token in milliseconds."""

    reason: str
    """Why the endpoint was chosen, in a word for operators."""

    import_from: str | None = None
    """Endpoint from which to import the cached prefix first, if that pays."""


@attrs.frozen(kw_only=True)
class NoEndpoint:
    """No endpoint may serve a request now."""

    reason: str
    """Why, for people."""

    retry_after_s: float
    """Seconds after which a repeat may succeed."""


@attrs.frozen(kw_only=True)
class EndpointStatus:
    """What this node thinks of an endpoint, for operators."""

    id: str
    """Endpoint id."""

    zone: str
    """Zone of the endpoint."""

    pool: str
    """Endpoint pool that it belongs to."""

    state: str
    """State of the last load report, or ``unknown``."""

    weights_versions_by_model: Mapping[str, str]
    """Weights that it serves, by the last load report."""

    is_leaving: bool
    """Whether it gets no new work because it leaves."""

    incarnation: str
    """Incarnation of the last load report."""

    running: int
    """Requests that generated tokens at the last load report."""

    queued: int
    """Requests that waited at the last load report."""

    sent: int
    """Requests of this node that have not finished."""

    indexed_blocks: int
    """About how many blocks it is thought to hold."""

    index_in_sync: bool
    """Whether no cache event is known to be missing."""
