"""Batching of the messages that broadcast small prompts to peers."""

from __future__ import annotations

import attrs

from crocuswick.gossip.messages import SmallPromptsSent

__all__ = ["SmallPrompts"]


@attrs.define(kw_only=True)
class _Collected:
    tokens_by_part: dict[str, int] = attrs.Factory(dict)
    other_tokens: int = 0


class SmallPrompts:
    """Merges small prompts by replica and cache salt into one message each."""

    def __init__(self):
        self._collected: dict[tuple[str, str], _Collected] = {}

    def add(self, used: SmallPromptsSent) -> None:
        """Add one prompt."""
        key = (used.incarnation, used.salt)
        collected = self._collected.setdefault(key, _Collected())
        collected.tokens_by_part.update(used.tokens_by_part)
        collected.other_tokens += used.other_tokens

    def take(self) -> list[SmallPromptsSent]:
        """Return and clear the collected messages, one per replica and salt."""
        taken, self._collected = self._collected, {}
        return [
            SmallPromptsSent(
                incarnation=incarnation,
                salt=salt,
                tokens_by_part=collected.tokens_by_part,
                other_tokens=collected.other_tokens,
            )
            for (incarnation, salt), collected in taken.items()
        ]
