"""Choice of the connections from peers that are closed under load."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = [
    "MAX_UNFINISHED_BYTES",
    "MAX_UNGREETED_BYTES",
    "ReceiverState",
    "fullest_receiver",
    "max_receivers",
    "surplus_receiver",
]

MAX_UNGREETED_BYTES = 64 * 1024
"""Limit on the first message of a connection, which names at most all nodes of a fleet: some
50 bytes for each of 195."""

MAX_UNFINISHED_BYTES = 32 * 1024 * 1024
"""Limit on the unfinished messages of all connections together. One message may have 16
MiB; the smallest VMs have 128 MB."""

RECEIVER_PART = 4
"""A quarter of the descriptors that are not reserved may be connections from peers: 359
with 1,638 descriptors. A fleet has up to 195 nodes."""

RESERVED_DESCRIPTORS = 200


@attrs.frozen(kw_only=True)
class ReceiverState:
    """What decides whether the connection from a peer is closed under load."""

    number: int
    host: str
    has_greeted: bool
    """Whether the peer has named itself."""

    last_data_s: float
    unfinished_bytes: int
    """Bytes of the message that has not arrived completely."""


def max_receivers(max_descriptors: int) -> int:
    """Return the limit on the connections from peers, 0 for none.

    Args:
        max_descriptors: Descriptors that the process may open, 0 if the number is not known.
    """
    return max(0, max_descriptors - RESERVED_DESCRIPTORS) // RECEIVER_PART


def surplus_receiver(states: Sequence[ReceiverState]) -> int:
    """Return the number of the connection that is closed if there are too many.

    Peers that have not named themselves yield first, and otherwise those of the address
    with most connections; among them the one that has been silent for longest.

    Args:
        states: All connections, at least one.
    """
    counts_by_host = Counter(state.host for state in states if state.has_greeted)
    return min(
        states,
        key=lambda state: (
            state.has_greeted,
            -counts_by_host[state.host] if state.has_greeted else 0,
            state.last_data_s,
        ),
    ).number


def fullest_receiver(states: Sequence[ReceiverState]) -> int:
    """Return the number of the connection with the longest unfinished message.

    Args:
        states: All connections, at least one.
    """
    return max(states, key=lambda state: state.unfinished_bytes).number
