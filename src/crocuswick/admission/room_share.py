"""Division of free room among nodes that decide at the same time."""

from __future__ import annotations

__all__ = ["contenders", "may_claim"]

NOTICE_DELAY_S = 0.05
"""Time after which a node is notified of a large request that a peer has sent."""


def contenders(*, nodes: int, held: int, arrivals_per_s: float) -> float:
    """Return the expected number of nodes that want to send a large request now.

    Each node assumes that its peers hold as many as itself and receive as many new ones
    within the delay of a notice. A node sends its first request before the others.

    Args:
        nodes: Number of nodes, this one included.
        held: Large requests that this node holds.
        arrivals_per_s: Rate of this node's new large requests.
    """
    of_each_peer = min(1.0, held + arrivals_per_s * NOTICE_DELAY_S)
    return 1 + max(0, nodes - 1) * of_each_peer


def may_claim(room: float, ahead: int, contending: float, draw: float) -> bool:
    """Return whether a request takes room now.

    On average all nodes together claim no more than the room.

    Args:
        room: Number of requests that the replicas have room for.
        ahead: Requests of this node that go first. The peers' first requests go before
            them as well.
        contending: Result of `contenders`.
        draw: Random number, at least 0 and below 1.
    """
    left = room - ahead * contending
    return left >= 1 and draw < left / contending
