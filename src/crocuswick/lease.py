"""Leases recorded in the platform's log, with the grant's offset as fencing token."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from crocuswick.platform_log import LogRecord

__all__ = [
    "LEASE_DURATION_MS",
    "MAX_ORDER_DELAY_MS",
    "UNKNOWN_TOKEN",
    "HeldLease",
    "LeaseGrant",
    "LeaseRequest",
    "LeaseTable",
    "decode_lease_request",
    "encode_lease_request",
]

LEASE_DURATION_MS = 15_000
MAX_ORDER_DELAY_MS = 3_000
"""Longest time after sending in which an order can still take effect."""

UNKNOWN_TOKEN = -1
"""Value of `LeaseRequest.previous_token` if the node has not seen any grant."""


@attrs.frozen(kw_only=True)
class LeaseRequest:
    """A node's request to acquire or renew a lease."""

    resource: str
    """Name of the leased resource."""

    lease_id: str
    """Id that the node chose for its lease."""

    node_id: str
    """Id of the requesting node."""

    previous_token: int
    """Token of the last grant that the node has seen, or `UNKNOWN_TOKEN`."""

    duration_ms: int
    """Requested duration."""


@attrs.frozen(kw_only=True)
class LeaseGrant:
    """A granted lease, the same at every node."""

    lease_id: str
    """Id of the lease."""

    node_id: str
    """Id of the node that holds the lease."""

    fencing_token: int
    """Offset of the record that granted or last renewed the lease."""

    ends_ms: int
    """Log time at which the lease ends."""


@attrs.frozen(kw_only=True)
class HeldLease:
    """A lease held by this node, timed on its monotonic clock."""

    fencing_token: int
    """Token to send with orders."""

    ends_s: float
    """Monotonic time by which the lease must be considered ended."""

    def can_send(self, now_s: float) -> bool:
        """Return whether an order sent now takes effect before the lease ends.

        Args:
            now_s: Monotonic time.
        """
        return now_s + MAX_ORDER_DELAY_MS / 1000 <= self.ends_s


def encode_lease_request(request: LeaseRequest) -> dict[str, Any]:
    """Return the JSON-serialisable form of a request."""
    return {"type": "lease", **attrs.asdict(request)}


def decode_lease_request(value: Any) -> LeaseRequest | None:
    """Decode a request, or return None if the value is not a valid one."""
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
    """The leases granted by the log; every node computes the same grants.

    After a lease ends, another node gets it only once a further
    `MAX_ORDER_DELAY_MS` has passed, so that no order of the previous holder can
    still take effect.

    A request contains the token of the last grant that its node has seen. After a
    gap in the log, these tokens show which of the requests read since were granted.
    The table grants nothing until it reads such a token, or until every unread lease
    must have ended.
    """

    def __init__(self) -> None:
        self._grants_by_resource: dict[str, LeaseGrant] = {}
        self._undecided_by_resource: dict[str, list[_LoggedRequest]] = {}
        self._has_gap = False
        self._first_time_ms: int | None = None

    def restart(self) -> None:
        """Clear the table after the log dropped records before they were read."""
        self._grants_by_resource.clear()
        self._undecided_by_resource.clear()
        self._has_gap = True
        self._first_time_ms = None

    def grant(self, resource: str) -> LeaseGrant | None:
        """Return the last grant of a resource, even if it has ended."""
        return self._grants_by_resource.get(resource)

    def lease_id_at(self, resource: str, time_ms: int) -> str:
        """Return the id of the lease that is valid at a time, or an empty string.

        Args:
            resource: Name of the leased resource.
            time_ms: Log time.
        """
        grant = self.grant(resource)
        return grant.lease_id if grant and time_ms < grant.ends_ms else ""

    def apply(self, record: LogRecord) -> LeaseGrant | None:
        """Apply the next record.

        Args:
            record: The record.

        Returns:
            The grant if the record acquires or renews a lease, else None.
        """
        if self._first_time_ms is None:
            self._first_time_ms = record.time_ms
        request = decode_lease_request(record.value)
        if request is None:
            return None
        logged = _LoggedRequest(
            request=request, offset=record.offset, time_ms=record.time_ms
        )
        if self._has_gap and request.resource not in self._grants_by_resource:
            return self._apply_after_gap(logged)
        return self._evaluate(logged)

    def _evaluate(self, logged: _LoggedRequest) -> LeaseGrant | None:
        resource = logged.request.resource
        current = self._grants_by_resource.get(resource)
        if current is not None and not _is_grantable(logged, current):
            return None
        grant = logged.grant()
        self._grants_by_resource[resource] = grant
        return grant

    def _apply_after_gap(self, logged: _LoggedRequest) -> LeaseGrant | None:
        request = logged.request
        undecided = self._undecided_by_resource.setdefault(request.resource, [])
        last_ms = undecided[-1].time_ms if undecided else self._first_time_ms
        confirmed = [
            each for each in undecided if each.offset == request.previous_token
        ]
        undecided.append(logged)
        if confirmed:
            # The requesting node saw this request granted. Evaluate the later ones.
            self._grants_by_resource[request.resource] = confirmed[0].grant()
            later = undecided[undecided.index(confirmed[0]) + 1 :]
            del self._undecided_by_resource[request.resource]
            return [self._evaluate(each) for each in later][-1]
        idle_ms = logged.time_ms - last_ms
        if (
            request.previous_token == UNKNOWN_TOKEN
            and idle_ms >= LEASE_DURATION_MS + MAX_ORDER_DELAY_MS
        ):
            # Any earlier lease has ended without renewal.
            del self._undecided_by_resource[request.resource]
            return self._evaluate(logged)
        return None


@attrs.frozen(kw_only=True)
class _LoggedRequest:
    """A request with its offset and time in the log."""

    request: LeaseRequest
    offset: int
    time_ms: int

    def grant(self) -> LeaseGrant:
        """Return the grant that results if the request succeeds."""
        return LeaseGrant(
            lease_id=self.request.lease_id,
            node_id=self.request.node_id,
            fencing_token=self.offset,
            ends_ms=self.time_ms + self.request.duration_ms,
        )


def _is_grantable(logged: _LoggedRequest, current: LeaseGrant) -> bool:
    request = logged.request
    has_current_token = request.previous_token == current.fencing_token
    if request.lease_id == current.lease_id and logged.time_ms < current.ends_ms:
        return has_current_token
    is_available = logged.time_ms >= current.ends_ms + MAX_ORDER_DELAY_MS
    return is_available and (
        has_current_token or request.previous_token == UNKNOWN_TOKEN
    )
