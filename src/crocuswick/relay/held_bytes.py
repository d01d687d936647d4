"""Limit on the bytes of replicas' answers that a node holds."""

from __future__ import annotations

import threading

__all__ = ["HeldBytes"]

MAX_HELD_BYTES = 16 * 1024 * 1024
"""Bytes of all answers that are held until they are complete. The smallest machines have
128 MB."""


class HeldBytes:
    """Counts the bytes of incomplete answers over all threads."""

    def __init__(self):
        self._held_bytes = 0
        self._lock = threading.Lock()

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes.

        Returns:
            False if the limit would be exceeded.
        """
        with self._lock:
            if self._held_bytes + size_bytes > MAX_HELD_BYTES:
                return False
            self._held_bytes += size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Release reserved bytes."""
        with self._lock:
            self._held_bytes -= size_bytes
