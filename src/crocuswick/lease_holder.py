"""Decides when to request one lease, and tracks its validity on the monotonic clock."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING

from crocuswick.lease import (
    LEASE_DURATION_MS,
    MAX_ORDER_DELAY_MS,
    UNKNOWN_TOKEN,
    HeldLease,
    LeaseRequest,
)

if TYPE_CHECKING:
    from crocuswick.lease import LeaseGrant

__all__ = ["LeaseHolder"]

REQUEST_JITTER_S = 3.0
"""Longest random delay of a request, so that nodes do not all request at once."""

RENEWALS_PER_LEASE = 3


class LeaseHolder:
    """Decides when a node requests or renews a lease, and whether it holds the lease.

    Not thread-safe; does no I/O. A lease is timed from just before its request was
    sent, so that it never ends later here than in the log.
    """

    def __init__(self, *, resource: str, node_id: str, now_s: float):
        self._resource = resource
        self._node_id = node_id
        self._lease_id = ""
        self._held: HeldLease | None = None
        self._sent_s_by_offset: dict[int, float] = {}
        self._last_grant: LeaseGrant | None = None
        self._next_request_s = now_s + random.uniform(0, REQUEST_JITTER_S)

    @property
    def lease_id(self) -> str:
        """Id of the lease that this node requests or holds, empty before a request."""
        return self._lease_id

    def held(self, now_s: float) -> HeldLease | None:
        """Return the lease, or None if this node does not hold it.

        Args:
            now_s: Monotonic time.
        """
        if self._held is not None and now_s >= self._held.ends_s:
            self._held = None
        return self._held

    def due_request(self, now_s: float) -> LeaseRequest | None:
        """Return the request to append now, or None if none is due.

        Args:
            now_s: Monotonic time.
        """
        if now_s < self._next_request_s:
            return None
        self._next_request_s = now_s + LEASE_DURATION_MS / 1000 / RENEWALS_PER_LEASE
        if self.held(now_s) is None:
            self._lease_id = uuid.uuid4().hex
        token = self._last_grant.fencing_token if self._last_grant else UNKNOWN_TOKEN
        return LeaseRequest(
            resource=self._resource,
            lease_id=self._lease_id,
            node_id=self._node_id,
            previous_token=token,
            duration_ms=LEASE_DURATION_MS,
        )

    def record_append(self, offset: int, sent_s: float) -> None:
        """Record that a request was appended.

        Args:
            offset: Offset of the request in the log.
            sent_s: Monotonic time just before the request was sent.
        """
        self._sent_s_by_offset[offset] = sent_s
        if self._last_grant is not None and self._last_grant.fencing_token == offset:
            self._set_held(self._last_grant)

    def record_grant(self, grant: LeaseGrant, now_s: float) -> None:
        """Record a grant or renewal, to this or another node.

        Args:
            grant: The grant.
            now_s: Monotonic time.
        """
        self._last_grant = grant
        if grant.lease_id == self._lease_id:
            self._set_held(grant)
            return
        self._held = None
        wait_s = (LEASE_DURATION_MS + MAX_ORDER_DELAY_MS) / 1000
        jitter_s = random.uniform(0, REQUEST_JITTER_S)
        self._next_request_s = now_s + wait_s + jitter_s

    def drop(self) -> None:
        """Stop using the lease because an engine has seen a newer token."""
        self._held = None

    def _set_held(self, grant: LeaseGrant) -> None:
        sent_s = self._sent_s_by_offset.pop(grant.fencing_token, None)
        if sent_s is None:
            # The append's response was lost, so the send time is unknown and the
            # lease must not be extended.
            return
        self._sent_s_by_offset.clear()
        ends_s = sent_s + LEASE_DURATION_MS / 1000
        self._held = HeldLease(fencing_token=grant.fencing_token, ends_s=ends_s)
