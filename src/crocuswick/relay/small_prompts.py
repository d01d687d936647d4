"""Batching of the messages that broadcast small prompts to peers."""

from __future__ import annotations

import attrs

from crocuswick.gossip.messages import SmallPromptsSent

__all__ = ["SmallPrompts"]


@attrs.define(kw_only=True)
class _Collected:
    tokens_by_segment: dict[str, int] = attrs.Factory(dict)
    other_tokens: int = 0


class SmallPrompts:
    """Merges small prompts by replica and cache salt into one message each."""

    def __init__(self):
        self._collected: dict[tuple[str, str], _Collected] = {}

    def add(self, sent: SmallPromptsSent) -> None:
        """Add one prompt."""
        key = (sent.incarnation, sent.salt)
        collected = self._collected.setdefault(key, _Collected())
        collected.tokens_by_segment.update(sent.tokens_by_part)
        collected.other_tokens += sent.other_tokens

    def take(self) -> list[SmallPromptsSent]:
        """Return and clear the collected messages, one per replica and salt."""
        taken, self._collected = self._collected, {}
        return [
            SmallPromptsSent(
                incarnation=incarnation,
                salt=salt,
                tokens_by_part=collected.tokens_by_segment,
                other_tokens=collected.other_tokens,
            )
            for (incarnation, salt), collected in taken.items()
        ]
