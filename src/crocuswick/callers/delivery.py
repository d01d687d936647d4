"""One token of an answer on its way to the caller."""

from __future__ import annotations

import attrs

__all__ = ["Delivery"]


@attrs.frozen(kw_only=True)
class Delivery:
    """One token for the caller."""

    text: str
    """Text of the token."""

    finish_reason: str | None
    """Set on the last token only."""

    resume_token: str
    """Token from which the answer can be resumed after this delivery."""

    endpoint_id: str
    """Endpoint that produced the token."""

    prompt_tokens: int
    """Tokens of the prompt."""

    cached_tokens: int
    """Prompt tokens that were found in the first endpoint's cache."""

    completion_tokens: int
    """Tokens delivered up to and including this one."""
