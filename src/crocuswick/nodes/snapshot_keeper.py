"""Pre-encoded snapshot, so that a herd of starting nodes costs one encoding."""

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

__all__ = ["SnapshotKeeper", "snapshot_order"]

SNAPSHOT_LIFETIME_S = 1.0
"""Time for which the same encoded snapshot is given out."""


class SnapshotKeeper(Actor):
    """Answers snapshot requests and encodes at most about once a second.

    The connections' threads ask it: ``lambda request: keeper.ask(request)``.
    """

    def __init__(
        self,
        *,
        build: Callable[[], SnapshotReply],
        clock_s: Callable[[], float] = time.monotonic,
    ):
        """Create a keeper without a snapshot.

        Args:
            build: Returns the present snapshot; called on the keeper's thread.
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
            request: The request; a newer revision than the kept one forces a new
                snapshot.
        """
        is_old = self._clock_s() - self._built_s > SNAPSHOT_LIFETIME_S
        if is_old or request.min_revision > self._revision:
            self._rebuild()
        return self._encoded

    def _rebuild(self) -> None:
        snapshot = self._build()
        self._encoded = peer_registry.encode(snapshot)
        self._revision = snapshot.configuration_revision
        self._built_s = self._clock_s()


def snapshot_order(
    statuses: Sequence[NodeStatus], *, zone: str, seed: int
) -> list[NodeStatus]:
    """Return the nodes to ask for a snapshot, best first.

    Nodes of the own zone go first, those with the newest configuration before
    others; the rest is random, so that a herd spreads over all that can answer.

    Args:
        statuses: Known nodes without the own one.
        zone: Own zone.
        seed: Seed of the random order, different for each node.
    """
    able = [status for status in statuses if status.configuration_revision > 0]
    random.Random(seed).shuffle(able)
    able.sort(key=lambda status: (status.zone != zone, -status.configuration_revision))
    return able
