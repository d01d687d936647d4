"""The order lease: which node holds it and when that node may send orders.

The newest record of a log topic is the lease. A node acquires or renews it by an
append that is conditional on the topic's end position. The position of its record is the
fencing token of its orders. Engines may ignore fencing tokens, so timing also
separates two holders: a holder stops sending orders `LEASE_VALID_S` after it sent its
last renewal, and the next holder waits until the handover time has passed since the
last order that the previous holder can have sent.
"""

from __future__ import annotations

import json

import attrs

from crocuswick.malformed import MALFORMED

__all__ = [
    "LEASE_VALID_S",
    "LeaseRecord",
    "OrderLease",
    "Release",
    "decode_lease",
    "encode_lease",
]

LEASE_VALID_S = 1.2
"""Time for which a renewal is valid; an append takes a fraction of that time."""

MAX_CLOCK_SKEW_S = 2.5
"""Largest difference between the clocks of two nodes, one of which may be set wrong."""

ORDER_DELIVERY_S = 0.3
"""Longest time for an order to reach its engine."""


LATE_APPENDS = 1
"""Records that a holder may append after its last lease, by a renewal that was on its way
when it released that lease."""


@attrs.frozen(kw_only=True)
class Release:
    """Announcement of a node that it sends no more orders under its lease."""

    token: int
    """Position of the lease's last record."""

    last_order_s: float
    """Time of the last order under that lease or an earlier one."""

    def covers(self, acquired_token: int) -> bool:
        """Whether no other node can have held the lease until it was acquired.

        Otherwise the node's last record is a later claim, which it may never have used.
        """
        return acquired_token <= self.token + LATE_APPENDS + 1


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """Record with which a node acquired or renewed the lease."""

    node_id: str
    nonce: str
    """Random value that distinguishes this append from the node's other ones."""

    clock_s: float
    """Unix time at the node when the append was sent."""

    era: int = 0
    """Era of the store as the node knew it. A record in a later era is void."""


def encode_lease(record: LeaseRecord) -> bytes:
    """Encode a lease record."""
    return json.dumps(attrs.asdict(record)).encode()


def decode_lease(value: bytes) -> LeaseRecord | None:
    """Decode a lease record, or return None if the content is not one."""
    try:
        fields = json.loads(value)
        return LeaseRecord(
            node_id=str(fields["node_id"]),
            nonce=str(fields["nonce"]),
            clock_s=float(fields["clock_s"]),
            era=int(fields.get("era", 0)),
        )
    except MALFORMED:
        return None


class OrderLease:
    """A node's view of the order lease.

    All times except those in records are from a clock that also advances while the
    machine is suspended.

    Args:
        node_id: This node.
        handover_s: Minimum time between the last order of one holder and the first
            order of the next.
    """

    def __init__(self, *, node_id: str, handover_s: float):
        self._node_id = node_id
        self._handover_s = handover_s
        self._token: int | None = None
        self._acquired_token = -1
        self._valid_until_s = float("-inf")
        self._not_before_s = float("-inf")
        self._previous_holder = ""
        self._earlier_order_s = float("-inf")
        self._releases_by_node: dict[str, Release] = {}

    @property
    def token(self) -> int | None:
        """Position of this node's last record, None if it does not hold the lease."""
        return self._token

    @property
    def earlier_order_s(self) -> float:
        """Time up to which earlier holders may have sent orders, as far as known."""
        return self._earlier_order_s

    def set_handover_time(self, handover_s: float) -> None:
        """Set the minimum time between the orders of two holders."""
        self._handover_s = handover_s

    def may_order(self, now_s: float) -> bool:
        """Whether an order may be sent now."""
        is_valid = now_s + ORDER_DELIVERY_S < self._valid_until_s
        return self._token is not None and is_valid and now_s >= self._not_before_s

    def needs_renewal(self, now_s: float) -> bool:
        """Whether the lease must be renewed before an order can be sent."""
        return (
            self._token is None or now_s + 2 * ORDER_DELIVERY_S >= self._valid_until_s
        )

    def remaining_wait_s(self, now_s: float) -> float:
        """Return the time until this node may send its first order under the lease."""
        return max(0.0, self._not_before_s - now_s)

    def renewed(self, token: int, *, sent_s: float) -> None:
        """Record a renewal: no other node's record lies between this node's records.

        Args:
            token: Position of the new record.
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
        era_since_s: float | None = None,
    ) -> None:
        """Record that this node acquired the lease.

        Args:
            token: Position of the new record.
            sent_s: Time at which the append was sent.
            now_s: Time of the response.
            previous: Preceding record, None for the first one of the topic.
            clock_s: Unix time at this node.
            era_since_s: Time since which the store's era is known if the record is the
                first valid one of that era, else None. The records of the last holders
                are lost then.
        """
        self.renewed(token, sent_s=sent_s)
        self._acquired_token = token
        if era_since_s is not None:
            # An earlier holder can't have renewed its lease in the new era.
            self._previous_holder = ""
            self._wait_after(min(now_s, era_since_s) + LEASE_VALID_S)
            return
        self._previous_holder = previous.node_id if previous else ""
        if previous is None or previous.node_id == self._node_id:
            return
        last_order_s = now_s + LEASE_VALID_S
        expired_for_s = clock_s - previous.clock_s - LEASE_VALID_S - MAX_CLOCK_SKEW_S
        if expired_for_s > 0:
            last_order_s = min(last_order_s, now_s - expired_for_s)
        release = self._releases_by_node.get(previous.node_id)
        if release is not None and release.covers(token):
            last_order_s = min(last_order_s, release.last_order_s)
        self._wait_after(last_order_s)

    def lost(self) -> None:
        """Record that another node holds the lease, or may hold it."""
        self._token = None
        self._valid_until_s = float("-inf")

    def holder_released(self, node_id: str, release: Release) -> None:
        """Record that a node sends no more orders until it acquires the lease again.

        A late append by that node does not matter, because the node does not use it.

        Args:
            node_id: The node.
            release: Its announcement.
        """
        self._releases_by_node[node_id] = release
        if node_id == self._previous_holder and release.covers(self._acquired_token):
            self._wait_after(min(self._earlier_order_s, release.last_order_s))

    def other_acquired(self, node_id: str) -> None:
        """Record that another node has acquired the lease."""
        self._releases_by_node.pop(node_id, None)

    def _wait_after(self, last_order_s: float) -> None:
        self._earlier_order_s = last_order_s
        self._not_before_s = last_order_s + self._handover_s + ORDER_DELIVERY_S
