"""Cache events of engines and KV-cache stores."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from crocuswick.errors import PeerError

__all__ = ["KvEvent", "KvEventReader"]


@attrs.frozen(kw_only=True)
class KvEvent:
    """A segment was added to a cache or evicted from it."""

    salt: str
    segment_id: str
    tokens: int
    """Tokens of the segment that the cache now holds."""

    is_held: bool


class KvEventReader(Protocol):
    """Reader of cache events."""

    def read_newest(
        self, name: str, address: str
    ) -> Result[Sequence[KvEvent], PeerError]:
        """Return the newest events of a cache, oldest first.

        Args:
            name: Engine id or store name for error messages.
            address: ``host:port``.
        """
