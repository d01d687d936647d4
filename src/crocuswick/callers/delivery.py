"""One generated token on its way to the caller."""

from __future__ import annotations

import attrs

__all__ = ["Delivery"]


@attrs.frozen(kw_only=True)
class Delivery:
    """One generated token with its resume token and the token counts."""

    text: str
    """Text of the token."""

    finish_reason: str | None
    """Set on the last token only."""

    resume_token: str
    """Token with which the stream can be resumed after this delivery."""

    endpoint_id: str
    """Endpoint that produced the token."""

    prompt_tokens: int
    """Number of tokens in the prompt."""

    cached_tokens: int
    """Number of prompt tokens found in the first endpoint's cache."""

    completion_tokens: int
    """Number of tokens delivered so far, including this one."""
