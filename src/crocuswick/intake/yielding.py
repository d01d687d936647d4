"""Choice of the incomplete request that yields when room is short."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["HeldRequest", "choose_yielding"]

GRACE_S = 0.25
"""Age from which a request is judged by its progress. A lost packet is usually repeated
within this time."""

STALLED_PART_PER_S = 0.05
"""Part of what it holds that a request must receive in a second. One that receives less
is considered stalled."""


@attrs.frozen(kw_only=True)
class HeldRequest:
    """An incomplete request."""

    key: int
    """Descriptor of the connection."""

    address: str
    """IP address of the caller."""

    held_bytes: int
    rate: float
    """Bytes a second that arrived lately."""

    age_s: float
    """Time over which the rate was measured."""

    @property
    def progress(self) -> float:
        """Part of what the request holds that arrives in a second."""
        return self.rate / max(1, self.held_bytes)

    @property
    def is_stalled(self) -> bool:
        """Whether the request holds room and hardly progresses."""
        return self.age_s >= GRACE_S and self.progress < STALLED_PART_PER_S


def choose_yielding(requests: Iterable[HeldRequest]) -> HeldRequest | None:
    """Return the request that yields.

    Stalled requests yield before the others. Among them, requests of the address that
    holds most yield first, so that one address does not displace all others, and of
    these the one with the least progress for what it holds. A request without any
    bytes does not yield, since that would free nothing.

    Args:
        requests: All incomplete requests, including the one that needs room.
    """
    candidates = [request for request in requests if request.held_bytes > 0]
    stalled = [request for request in candidates if request.is_stalled]
    candidates = stalled or [each for each in candidates if each.age_s >= GRACE_S]
    if not candidates:
        return None
    bytes_by_address: dict[str, int] = {}
    for request in candidates:
        held_bytes = bytes_by_address.get(request.address, 0)
        bytes_by_address[request.address] = held_bytes + request.held_bytes
    largest = max(bytes_by_address, key=lambda address: bytes_by_address[address])
    return min(
        (request for request in candidates if request.address == largest),
        key=lambda request: (request.progress, -request.held_bytes),
    )
