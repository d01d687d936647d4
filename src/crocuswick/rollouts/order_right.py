"""The right to give orders: who holds it, and from when to when it may be used.

The right is the newest record of a log topic. A node takes or renews it by an append
on condition of the topic's end, and the offset of its record fences its orders.
Engines may ignore fences, so times keep two holders apart: a holder stops by itself
`LEASE_VALID_S` after it has sent its last renewal, and the next holder waits until the
lease time has passed since the last order that the one before can have given.
"""

from __future__ import annotations

import json

import attrs

__all__ = ["LEASE_VALID_S", "LeaseRecord", "OrderLease", "decode_lease", "encode_lease"]

LEASE_VALID_S = 1.2
"""Time for which a renewal may be used, a few times that of an append."""

MAX_CLOCK_SKEW_S = 2.5
"""Largest difference of two nodes' clocks, one of which may have been set wrongly."""

ORDER_DELIVERY_S = 0.3
"""Time in which an order that was sent reaches its engine."""


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """A record by which a node took or renewed the right."""

    node_id: str
    nonce: str
    """Tells this append from others of the node."""

    clock_s: float
    """Unix time at the node when it sent the append."""


def encode_lease(record: LeaseRecord) -> bytes:
    """Return the content of a record."""
    return json.dumps(attrs.asdict(record)).encode()


def decode_lease(value: bytes) -> LeaseRecord | None:
    """Read a record, or return None if it is none."""
    try:
        fields = json.loads(value)
        return LeaseRecord(
            node_id=str(fields["node_id"]),
            nonce=str(fields["nonce"]),
            clock_s=float(fields["clock_s"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


class OrderLease:
    """What one node knows of the right.

    All times but those of records are of a clock that goes on while the machine is
    suspended.

    Args:
        node_id: This node.
        handover_s: Time between the last order of one holder and the first of the next.
    """

    def __init__(self, *, node_id: str, handover_s: float):
        self._node_id = node_id
        self._handover_s = handover_s
        self._token: int | None = None
        self._valid_until_s = float("-inf")
        self._not_before_s = float("-inf")
        self._previous_holder = ""
        self._last_order_s_by_released: dict[str, float] = {}

    @property
    def token(self) -> int | None:
        """Offset of this node's last record, None if another node took the right."""
        return self._token

    def set_handover_time(self, handover_s: float) -> None:
        """Set the time between the orders of two holders."""
        self._handover_s = handover_s

    def may_order(self, now_s: float) -> bool:
        """Whether an order may be sent now."""
        is_valid = now_s + ORDER_DELIVERY_S < self._valid_until_s
        return self._token is not None and is_valid and now_s >= self._not_before_s

    def needs_renewal(self, now_s: float) -> bool:
        """Whether the right must be renewed before it can be used."""
        return (
            self._token is None or now_s + 2 * ORDER_DELIVERY_S >= self._valid_until_s
        )

    def remaining_wait_s(self, now_s: float) -> float:
        """Return the time until a node that took the right may use it."""
        return max(0.0, self._not_before_s - now_s)

    def renewed(self, token: int, *, sent_s: float) -> None:
        """Note a renewal: no other node's record stands between.

        Args:
            token: Offset of the new record.
            sent_s: Time at which the append was sent.
        """
        self._token = token
        self._valid_until_s = sent_s + LEASE_VALID_S

    def acquired(
        self,
        token: int,
        *,
        sent_s: float,
        now_s: float,
        previous: LeaseRecord | None,
        clock_s: float,
    ) -> None:
        """Note that the right was taken over.

        Args:
            token: Offset of the new record.
            sent_s: Time at which the append was sent.
            now_s: Time of its answer.
            previous: Record before it, None where there is none.
            clock_s: Unix time at this node.
        """
        self.renewed(token, sent_s=sent_s)
        self._previous_holder = previous.node_id if previous else ""
        if previous is None or previous.node_id == self._node_id:
            return
        last_order_s = now_s + LEASE_VALID_S
        unused_s = clock_s - previous.clock_s - LEASE_VALID_S - MAX_CLOCK_SKEW_S
        if unused_s > 0:
            last_order_s = min(last_order_s, now_s - unused_s)
        released_s = self._last_order_s_by_released.get(previous.node_id)
        if released_s is not None:
            last_order_s = min(last_order_s, released_s)
        self._not_before_s = self._usable_from_s(last_order_s)

    def lost(self) -> None:
        """Note that another node has taken the right, or that this is not known."""
        self._token = None
        self._valid_until_s = float("-inf")

    def holder_released(self, node_id: str, last_order_s: float) -> None:
        """Note that a node gives no more orders until it takes the right anew.

        An append of its own that is carried out late does not matter: the node does
        not use it.

        Args:
            node_id: The node.
            last_order_s: Time of its last order.
        """
        self._last_order_s_by_released[node_id] = last_order_s
        if node_id == self._previous_holder:
            self._not_before_s = min(
                self._not_before_s, self._usable_from_s(last_order_s)
            )

    def other_acquired(self, node_id: str) -> None:
        """Note that another node has taken the right."""
        self._last_order_s_by_released.pop(node_id, None)

    def _usable_from_s(self, last_order_s: float) -> float:
        return last_order_s + self._handover_s + ORDER_DELIVERY_S
