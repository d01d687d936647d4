"""Numbers the gossip messages for all nodes of a fleet and discards further copies."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import attrs

from crocuswick.gossip.messages import FleetMessage, decode_gossip, encode_gossip

if TYPE_CHECKING:
    from crocuswick.gossip.messages import GossipMessage, NodeAddress

__all__ = ["FleetMessages"]


class FleetMessages:
    """Wraps and unwraps the messages that nodes of other zones forward.

    Args:
        own: This node.
    """

    def __init__(self, *, own: NodeAddress):
        self._own = own
        self._run = uuid.uuid4().hex[:8]
        self._number = 0
        self._newest_by_origin: dict[str, tuple[str, int]] = {}

    def wrap(self, gossip: GossipMessage) -> FleetMessage:
        """Return a message with the next number of this node."""
        self._number += 1
        return FleetMessage(
            origin=self._own.node_id,
            zone=self._own.zone,
            run=self._run,
            number=self._number,
            message=encode_gossip(gossip),
        )

    def unwrap(self, wrapped: FleetMessage) -> GossipMessage | None:
        """Return the content of the first copy of a message.

        A copy that arrives after a newer message of its origin is discarded, so that
        the slower of two paths doesn't undo the newer message.

        Args:
            wrapped: The message, from its origin or forwarded.

        Returns:
            The content, or None if it must not be handled or can't be decoded.
        """
        run, number = self._newest_by_origin.get(wrapped.origin, ("", 0))
        is_old = wrapped.run == run and wrapped.number <= number
        if wrapped.origin == self._own.node_id or is_old:
            return None
        self._newest_by_origin[wrapped.origin] = (wrapped.run, wrapped.number)
        return decode_gossip(wrapped.message, wrapped.origin).ok()

    def to_forward(self, wrapped: FleetMessage) -> FleetMessage | None:
        """Return what to send to the own zone, or None if its nodes get a message.

        Args:
            wrapped: The first copy of a message.
        """
        if wrapped.is_forwarded or wrapped.zone == self._own.zone:
            return None
        return attrs.evolve(wrapped, is_forwarded=True)
