"""Numbers the gossip messages for all nodes of a fleet and discards further copies."""

from __future__ import annotations

import uuid
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

import attrs

from crocuswick.gossip.messages import FleetMessage, decode_gossip, encode_gossip

if TYPE_CHECKING:
    from crocuswick.gossip.messages import GossipMessage, NodeAddress

__all__ = ["FleetMessages"]


MAX_STREAMS = 4_096
"""Limit on remembered streams of other nodes, several for each node that has run."""


UNORDERED_PREFIX = "u"
"""Prefix of the streams of unordered messages, each of which has one of its own."""


class FleetMessages:
    """Wraps and unwraps the messages that nodes of other zones forward.

    Args:
        own: This node.
    """

    def __init__(self, *, own: NodeAddress):
        self._own = own
        self._run = uuid.uuid4().hex[:8]
        self._numbers_by_stream: Counter[str] = Counter()
        self._unordered = 0
        self._newest_by_stream: OrderedDict[tuple[str, str], int] = OrderedDict()

    def wrap_unordered(self, gossip: GossipMessage) -> FleetMessage:
        """Return a message that is handled also if a later one arrives before it."""
        self._unordered += 1
        return self._message(gossip, f"{UNORDERED_PREFIX}{self._unordered}", 1)

    def wrap(self, gossip: GossipMessage, *, stream: str = "") -> FleetMessage:
        """Return a message with the next number of a stream of this node.

        Args:
            gossip: The message.
            stream: Name of the stream. Messages that take different paths must not
                share one, because a message that arrives after a later one of its
                stream is discarded.
        """
        self._numbers_by_stream[stream] += 1
        return self._message(gossip, stream, self._numbers_by_stream[stream])

    def _message(self, gossip: GossipMessage, stream: str, number: int) -> FleetMessage:
        return FleetMessage(
            origin=self._own.node_id,
            zone=self._own.zone,
            run=self._run + stream,
            number=number,
            message=encode_gossip(gossip),
        )

    def unwrap(self, wrapped: FleetMessage) -> GossipMessage | None:
        """Return the content of the first copy of a message.

        A copy that arrives after a newer message of its stream is discarded, so that
        the slower of two paths doesn't undo the newer message.

        Args:
            wrapped: The message, from its origin or forwarded.

        Returns:
            The content, or None if it must not be handled or can't be decoded.
        """
        stream = (wrapped.origin, wrapped.run)
        is_old = wrapped.number <= self._newest_by_stream.get(stream, 0)
        if wrapped.origin == self._own.node_id or is_old:
            return None
        self._newest_by_stream[stream] = wrapped.number
        self._newest_by_stream.move_to_end(stream)
        if len(self._newest_by_stream) > MAX_STREAMS:
            self._newest_by_stream.popitem(last=False)
        return decode_gossip(wrapped.message, wrapped.origin).ok()

    def to_forward(self, wrapped: FleetMessage) -> FleetMessage | None:
        """Return what to send to the own zone, or None if its nodes get a message.

        Args:
            wrapped: The first copy of a message.
        """
        if wrapped.is_forwarded or wrapped.zone == self._own.zone:
            return None
        return attrs.evolve(wrapped, is_forwarded=True)
