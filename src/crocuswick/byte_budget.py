"""Limit on the bytes of request bodies that a node buffers."""

from __future__ import annotations

from result import Err, Ok, Result

from crocuswick.errors import Refusal

__all__ = ["ByteBudget"]

RETRY_AFTER_S = 1.0


class ByteBudget:
    """Tracks reserved bytes; not thread-safe, has a single owner.

    Args:
        capacity_bytes: Maximum number of bytes reserved at the same time.
    """

    def __init__(self, *, capacity_bytes: int):
        self._capacity_bytes = capacity_bytes
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self) -> int:
        """Number of bytes currently reserved."""
        return self._reserved_bytes

    def reserve(self, size_bytes: int) -> Result[None, Refusal]:
        """Reserve bytes for a body before it is read.

        Args:
            size_bytes: Size of the body.

        Returns:
            A refusal if the capacity would be exceeded.
        """
        if self._reserved_bytes + size_bytes > self._capacity_bytes:
            return Err(_node_full())
        self._reserved_bytes += size_bytes
        return Ok(None)

    def release(self, size_bytes: int) -> None:
        """Release reserved bytes."""
        self._reserved_bytes -= size_bytes


def _node_full() -> Refusal:
    return Refusal(
        status=503,
        title="node-full",
        detail="This node has reached its limit on buffered request bytes.",
        step="admission",
        retry_after_s=RETRY_AFTER_S,
    )
