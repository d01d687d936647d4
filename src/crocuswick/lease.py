"""Leases as records of the platform's log; the grant's offset fences orders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from crocuswick.platform_log import LogRecord

__all__ = [
    "LEASE_DURATION_MS",
    "ORDER_FLIGHT_MS",
    "HeldLease",
    "LeaseGrant",
    "LeaseRequest",
    "LeaseTable",
    "decode_lease_request",
    "encode_lease_request",
]

LEASE_DURATION_MS = 15_000
ORDER_FLIGHT_MS = 3_000
"""Longest time for which an order that was sent can still take effect."""


@attrs.frozen(kw_only=True)
class LeaseRequest:
    """A node wants a lease, or wants to keep the one it has."""

    resource: str
    """What is leased."""

    lease_id: str
    """Id that the node chose for its lease."""

    node_id: str
    """The node."""

    attempt: int
    """Number of the node's request, to tell its own records apart."""

    duration_ms: int
    """Time for which the lease is wanted."""


@attrs.frozen(kw_only=True)
class LeaseGrant:
    """A lease that was granted, as all nodes see it."""

    lease_id: str
    """Id of the lease."""

    node_id: str
    """The holder."""

    fencing_token: int
    """Offset of the record that the lease was granted by."""

    ends_ms: int
    """Log time at which the lease ends."""


@attrs.frozen(kw_only=True)
class HeldLease:
    """A lease as its holder sees it, on its own monotonic clock."""

    fencing_token: int
    """Token for orders."""

    ends_s: float
    """Monotonic time at which the lease ends at the latest."""

    def may_send(self, now_s: float) -> bool:
        """Whether an order sent now has taken effect before the lease ends.

        Args:
            now_s: Monotonic time.
        """
        return now_s + ORDER_FLIGHT_MS / 1000 <= self.ends_s


def encode_lease_request(request: LeaseRequest) -> dict[str, Any]:
    """Return the plain JSON form of a request."""
    return {"type": "lease", **attrs.asdict(request)}


def decode_lease_request(value: Any) -> LeaseRequest | None:
    """Read a request, or return None if the value is none."""
    if not isinstance(value, dict) or value.get("type") != "lease":
        return None
    texts = [value.get(name) for name in ("resource", "lease_id", "node_id")]
    numbers = [value.get(name) for name in ("attempt", "duration_ms")]
    if not all(isinstance(text, str) for text in texts):
        return None
    if not all(type(number) is int and number >= 0 for number in numbers):
        return None
    fields = attrs.fields_dict(LeaseRequest)
    return LeaseRequest(**{name: value[name] for name in fields})


class LeaseTable:
    """Folds lease requests; every node grants the same ones.

    A lease that has ended is granted to another node only after a further
    `ORDER_FLIGHT_MS`, so that no order of the former holder is still on its way.
    """

    def __init__(self) -> None:
        self._grants_by_resource: dict[str, LeaseGrant] = {}
        self._has_gap = False
        self._covers_from_ms: int | None = None

    def restart(self) -> None:
        """Forget everything, since records were dropped before they were read."""
        self._grants_by_resource.clear()
        self._has_gap = True
        self._covers_from_ms = None

    def grant(self, resource: str) -> LeaseGrant | None:
        """Return the last grant of a resource, which may have ended."""
        return self._grants_by_resource.get(resource)

    def fold(self, record: LogRecord) -> LeaseGrant | None:
        """Fold the next record.

        Args:
            record: The record.

        Returns:
            The grant if the record is a request that was granted or renewed.
        """
        if self._covers_from_ms is None:
            self._covers_from_ms = record.time_ms
        request = decode_lease_request(record.value)
        if request is None:
            return None
        current = self._grants_by_resource.get(request.resource)
        if not self._is_free(current, request, record.time_ms):
            return None
        ends_ms = record.time_ms + request.duration_ms
        grant = LeaseGrant(
            lease_id=request.lease_id,
            node_id=request.node_id,
            fencing_token=record.offset,
            ends_ms=ends_ms,
        )
        if current is not None and self._renews(current, request, record.time_ms):
            grant = attrs.evolve(current, ends_ms=max(current.ends_ms, ends_ms))
        self._grants_by_resource[request.resource] = grant
        return grant

    def _is_free(
        self, current: LeaseGrant | None, request: LeaseRequest, time_ms: int
    ) -> bool:
        if current is not None:
            return (
                self._renews(current, request, time_ms)
                or time_ms >= current.ends_ms + ORDER_FLIGHT_MS
            )
        # A lease that was granted before the records read may still be held.
        unread_ends_ms = self._covers_from_ms + request.duration_ms + ORDER_FLIGHT_MS
        return not self._has_gap or time_ms >= unread_ends_ms

    @staticmethod
    def _renews(current: LeaseGrant, request: LeaseRequest, time_ms: int) -> bool:
        return current.lease_id == request.lease_id and time_ms < current.ends_ms
