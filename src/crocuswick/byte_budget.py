"""Limit on the bytes that a node holds for callers and replicas."""

from __future__ import annotations

import enum
import threading

from crocuswick.errors import Refusal

__all__ = ["ByteBudget", "ByteKind", "node_capacity_bytes", "node_full"]

RETRY_AFTER_S = 1.0

MIB = 1024 * 1024

DEFAULT_VM_MIB = 128
"""Memory of the smallest VMs, assumed where the settings don't state the memory."""

PROCESS_MIB = 72
"""Memory that is not available for requests: 36 MB of a node without load, and room for
the stacks of its threads, the kernel's socket buffers and fragmentation."""

MIN_CAPACITY_MIB = 12
"""Least capacity. It holds the largest legal body (4 MiB) twice."""

BODY_PART = 0.75
"""Part of the capacity that bodies may take. Large bodies leave room for the heads of
other requests and for answers, so that ordinary requests are still served."""


SMALL_PART = 0.1
"""Part of the capacity that bodies, their copies and complete answers leave to heads and
streams. Without it, unread answers alone took all of it, and the head of an ordinary
request found no room."""


class ByteKind(enum.StrEnum):
    """What held bytes belong to."""

    HEAD = "head"
    """A request's head, with a small body that arrives with it."""

    BODY = "body"
    COPY = "copy"
    """Copies of a body on the way to a replica."""

    ANSWER = "answer"
    """Answers that are held until they are complete or sent."""

    STREAM = "stream"
    """Parts of streams that their callers have not read yet."""


_LARGE_KINDS = (ByteKind.BODY, ByteKind.COPY, ByteKind.ANSWER)


class ByteBudget:
    """Counts held bytes by kind over all threads.

    Args:
        capacity_bytes: Maximum number of bytes reserved at the same time.
        max_body_bytes: Maximum for bodies, None for the whole capacity.
        small_bytes: Part of the capacity that only heads and streams may take.
    """

    def __init__(
        self,
        *,
        capacity_bytes: int,
        max_body_bytes: int | None = None,
        small_bytes: int = 0,
    ):
        self._capacity_bytes = capacity_bytes
        self._large_capacity_bytes = capacity_bytes - small_bytes
        self._max_body_bytes = (
            capacity_bytes if max_body_bytes is None else max_body_bytes
        )
        self._total_bytes = 0
        self._bytes_by_kind = dict.fromkeys(ByteKind, 0)
        self._lock = threading.Lock()

    @classmethod
    def of_node(cls, memory_mb: int) -> ByteBudget:
        """Return the budget of a fleet node.

        Args:
            memory_mb: Memory of the VM, 0 if it is not known.
        """
        capacity_bytes = node_capacity_bytes(memory_mb)
        return cls(
            capacity_bytes=capacity_bytes,
            max_body_bytes=int(BODY_PART * capacity_bytes),
            small_bytes=int(SMALL_PART * capacity_bytes),
        )

    @property
    def capacity_bytes(self) -> int:
        """Maximum number of bytes reserved at the same time."""
        return self._capacity_bytes

    @property
    def held_bytes_by_kind(self) -> dict[ByteKind, int]:
        """Number of bytes currently reserved, by kind."""
        with self._lock:
            return dict(self._bytes_by_kind)

    def try_reserve(self, kind: ByteKind, size_bytes: int) -> bool:
        """Reserve bytes.

        Args:
            kind: What the bytes belong to.
            size_bytes: Number of bytes.

        Returns:
            False if the capacity would be exceeded; nothing is reserved then.
        """
        with self._lock:
            held_bytes = self._bytes_by_kind[kind] + size_bytes
            is_large = kind in _LARGE_KINDS
            capacity = self._large_capacity_bytes if is_large else self._capacity_bytes
            if self._total_bytes + size_bytes > capacity:
                return False
            if kind is ByteKind.BODY and held_bytes > self._max_body_bytes:
                return False
            self._total_bytes += size_bytes
            self._bytes_by_kind[kind] = held_bytes
            return True

    def release(self, kind: ByteKind, size_bytes: int) -> None:
        """Release reserved bytes."""
        with self._lock:
            self._total_bytes -= size_bytes
            self._bytes_by_kind[kind] -= size_bytes


def node_capacity_bytes(memory_mb: int) -> int:
    """Return the capacity of a node's budget.

    Args:
        memory_mb: Memory of the VM, 0 if it is not known.
    """
    available_mib = (memory_mb or DEFAULT_VM_MIB) - PROCESS_MIB
    return max(MIN_CAPACITY_MIB, available_mib) * MIB


def node_full() -> Refusal:
    """Return the refusal of a request for which the budget has no room."""
    return Refusal(
        status=503,
        title="node-full",
        detail="This node has reached its limit on buffered request bytes.",
        step="admission",
        retry_after_s=RETRY_AFTER_S,
    )
