"""What engines and stores of KV cache tell of the parts that they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from crocuswick.errors import PeerError

__all__ = ["KvEvent", "KvEvents"]


@attrs.frozen(kw_only=True)
class KvEvent:
    """A part came into a cache or was evicted."""

    salt: str
    part_id: str
    tokens: int
    """Tokens of the part that the cache holds now."""

    is_held: bool


class KvEvents(Protocol):
    """Reads events."""

    def newest(self, name: str, address: str) -> Result[Sequence[KvEvent], PeerError]:
        """Return the newest events of a cache, the oldest of them first.

        Args:
            name: Id of the engine or name of the store, used in errors.
            address: ``host:port``.
        """
