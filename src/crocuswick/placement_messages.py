"""Data classes of placement: requests, decisions and the status for operators."""

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
    """An endpoint as described by the configuration and the VM list."""

    id: str
    """Endpoint id, unique over all zones."""

    address: str
    """``host:port``."""

    zone: str
    """Zone of the endpoint."""

    pool: str
    """Endpoint pool that it belongs to."""

    models: Mapping[str, str] | None = None
    """Target weights version of each model, or None if not set."""


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """The properties of a request that placement depends on."""

    request_id: str
    """Request id."""

    model: str
    """Model name."""

    weights_version: str
    """Weights version that must serve the request."""

    keys: Sequence[int]
    """Salted, chained keys of the prompt's complete blocks."""

    prompt_tokens: int
    """Tokens in the prompt."""

    max_tokens: int
    """Maximum number of tokens to generate."""

    priority: int
    """0 (highest) to 9 (lowest)."""

    excluded: frozenset[str] = frozenset()
    """Endpoints that must not be chosen, for instance after a failed attempt."""

    pool: str
    """Endpoint pool."""


@attrs.frozen(kw_only=True)
class Placement:
    """The endpoint chosen for a request."""

    endpoint_id: str
    """The chosen endpoint."""

    predicted_cached_blocks: int
    """Leading blocks of the prompt that are predicted to be cached at the endpoint,
    including those to be imported.
    """

    expected_ttft_ms: float
    """Expected time to first token in milliseconds."""

    reason: str
    """Short label for operators of why the endpoint was chosen."""

    import_from: str | None = None
    """Endpoint to import the cached prefix from first, if that saves time."""


@attrs.frozen(kw_only=True)
class NoEndpoint:
    """No endpoint can serve a request now."""

    reason: str
    """Human-readable reason."""

    retry_after_s: float
    """Seconds after which a retry may succeed."""


@attrs.frozen(kw_only=True)
class EndpointStatus:
    """State of an endpoint as known to this node, for operators."""

    id: str
    """Endpoint id."""

    zone: str
    """Zone of the endpoint."""

    pool: str
    """Endpoint pool that it belongs to."""

    state: str
    """State of the last load report, or ``unknown``."""

    weights_versions_by_model: Mapping[str, str]
    """Weights version served for each model, as of the last load report."""

    is_leaving: bool
    """Whether the endpoint is leaving and gets no new requests."""

    incarnation: str
    """Incarnation of the last load report."""

    running: int
    """Requests that were generating tokens at the last load report."""

    queued: int
    """Requests that were waiting at the last load report."""

    sent: int
    """Requests from this node that have not finished."""

    indexed_blocks: int
    """Approximate number of blocks that the cache index lists for the endpoint."""

    index_in_sync: bool
    """Whether no cache event is known to be missing from the index."""
