"""Leases as records of the platform's log; the grant's offset fences orders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from crocuswick.platform_log import LogRecord

__all__ = [
    "LEASE_DURATION_MS",
    "ORDER_FLIGHT_MS",
    "UNKNOWN_TOKEN",
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

UNKNOWN_TOKEN = -1
"""Stands for the last grant in a request of a node that knows of none."""


@attrs.frozen(kw_only=True)
class LeaseRequest:
    """A node wants a lease, or wants to keep the one it has."""

    resource: str
    """What is leased."""

    lease_id: str
    """Id that the node chose for its lease."""

    node_id: str
    """The node."""

    previous_token: int
    """Token of the last grant that the node knows, or `UNKNOWN_TOKEN`."""

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
    """Offset of the record that the lease was granted or last renewed by."""

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
    numbers = [value.get(name) for name in ("previous_token", "duration_ms")]
    if not all(isinstance(text, str) for text in texts):
        return None
    if not all(type(number) is int for number in numbers):
        return None
    if not 0 < value["duration_ms"] <= LEASE_DURATION_MS:
        return None
    fields = attrs.fields_dict(LeaseRequest)
    return LeaseRequest(**{name: value[name] for name in fields})


class LeaseTable:
    """Folds lease requests; every node grants the same ones.

    A lease that has ended is granted to another node only after a further
    `ORDER_FLIGHT_MS`, so that no order of the former holder is still on its way.

    A request names the last grant that its node knows. A node that starts after
    records were dropped learns from this which of the requests it has read were
    granted, and grants nothing itself before.
    """

    def __init__(self) -> None:
        self._grants_by_resource: dict[str, LeaseGrant] = {}
        self._unjudged_by_resource: dict[str, list[_PlacedRequest]] = {}
        self._has_gap = False
        self._covers_from_ms: int | None = None

    def restart(self) -> None:
        """Forget everything, since records were dropped before they were read."""
        self._grants_by_resource.clear()
        self._unjudged_by_resource.clear()
        self._has_gap = True
        self._covers_from_ms = None

    def grant(self, resource: str) -> LeaseGrant | None:
        """Return the last grant of a resource, which may have ended."""
        return self._grants_by_resource.get(resource)

    def holder_at(self, resource: str, time_ms: int) -> str:
        """Return the id of the lease in force, or an empty string.

        Args:
            resource: What is leased.
            time_ms: Log time.
        """
        grant = self.grant(resource)
        return grant.lease_id if grant and time_ms < grant.ends_ms else ""

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
        placed = _PlacedRequest(
            request=request, offset=record.offset, time_ms=record.time_ms
        )
        if self._has_gap and request.resource not in self._grants_by_resource:
            return self._fold_after_gap(placed)
        return self._judge(placed)

    def _judge(self, placed: _PlacedRequest) -> LeaseGrant | None:
        resource = placed.request.resource
        current = self._grants_by_resource.get(resource)
        if current is not None and not _may_follow(placed, current):
            return None
        grant = placed.grant()
        self._grants_by_resource[resource] = grant
        return grant

    def _fold_after_gap(self, placed: _PlacedRequest) -> LeaseGrant | None:
        request = placed.request
        unjudged = self._unjudged_by_resource.setdefault(request.resource, [])
        last_ms = unjudged[-1].time_ms if unjudged else self._covers_from_ms
        named = [each for each in unjudged if each.offset == request.previous_token]
        unjudged.append(placed)
        if named:
            # Its node saw this grant, so it is one; judge what came after it.
            self._grants_by_resource[request.resource] = named[0].grant()
            later = unjudged[unjudged.index(named[0]) + 1 :]
            del self._unjudged_by_resource[request.resource]
            return [self._judge(each) for each in later][-1]
        silent_ms = placed.time_ms - last_ms
        if (
            request.previous_token == UNKNOWN_TOKEN
            and silent_ms >= LEASE_DURATION_MS + ORDER_FLIGHT_MS
        ):
            # Whatever was granted before has ended without a renewal.
            del self._unjudged_by_resource[request.resource]
            return self._judge(placed)
        return None


@attrs.frozen(kw_only=True)
class _PlacedRequest:
    """A request with its place in the log."""

    request: LeaseRequest
    offset: int
    time_ms: int

    def grant(self) -> LeaseGrant:
        """Return the grant that the request leads to if it is granted."""
        return LeaseGrant(
            lease_id=self.request.lease_id,
            node_id=self.request.node_id,
            fencing_token=self.offset,
            ends_ms=self.time_ms + self.request.duration_ms,
        )


def _may_follow(placed: _PlacedRequest, current: LeaseGrant) -> bool:
    request = placed.request
    names_current = request.previous_token == current.fencing_token
    if request.lease_id == current.lease_id and placed.time_ms < current.ends_ms:
        return names_current
    is_over = placed.time_ms >= current.ends_ms + ORDER_FLIGHT_MS
    return is_over and (names_current or request.previous_token == UNKNOWN_TOKEN)
