"""Cache of the encoded snapshot, shared by nodes that start at the same time."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from crocuswick.actor import Actor
from crocuswick.nodes.peer_messages import SnapshotReply, peer_registry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from crocuswick.nodes.node_state import NodeStatus
    from crocuswick.nodes.peer_messages import SnapshotRequest

__all__ = ["SnapshotCache", "snapshot_sources"]

SNAPSHOT_LIFETIME_S = 1.0
"""Time for which an encoded snapshot is reused."""


class SnapshotCache(Actor):
    """Answers snapshot requests from a cache with a lifetime of about a second.

    Many nodes that start together thus cost one encoding instead of one each.

    Connection threads send requests with ``ActorRef.ask``.
    """

    def __init__(
        self,
        *,
        build: Callable[[], SnapshotReply],
        clock_s: Callable[[], float] = time.monotonic,
    ):
        """Create an empty cache.

        Args:
            build: Returns the current snapshot; called on the actor's thread.
            clock_s: Monotonic clock.
        """
        super().__init__()
        self._build = build
        self._clock_s = clock_s
        self._encoded = b""
        self._revision = -1
        self._built_s = float("-inf")

    def on_snapshot_request(self, request: SnapshotRequest) -> bytes:
        """Return the encoded reply to a request.

        Args:
            request: The request; a newer revision than the cached one forces a new
                snapshot.
        """
        is_expired = self._clock_s() - self._built_s > SNAPSHOT_LIFETIME_S
        if is_expired or request.known_revision > self._revision:
            self._rebuild()
        return self._encoded

    def _rebuild(self) -> None:
        snapshot = self._build()
        self._encoded = peer_registry.encode(snapshot)
        self._revision = snapshot.configuration_revision
        self._built_s = self._clock_s()


def snapshot_sources(
    statuses: Sequence[NodeStatus], *, zone: str, seed: int
) -> list[NodeStatus]:
    """Return the nodes to request a snapshot from, best first.

    Nodes of the local zone go first, and within a zone those with the newest
    configuration. Ties are in random order, so that many nodes that start together
    spread their requests.

    Args:
        statuses: Statuses of the other nodes.
        zone: Local zone.
        seed: Seed of the random order, different for each node.
    """
    candidates = [status for status in statuses if status.configuration_revision > 0]
    random.Random(seed).shuffle(candidates)
    candidates.sort(
        key=lambda status: (status.zone != zone, -status.configuration_revision)
    )
    return candidates
