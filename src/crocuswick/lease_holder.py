"""Competes for one lease and knows, on the monotonic clock, while it holds."""

from __future__ import annotations

import random
import uuid
from typing import TYPE_CHECKING

from crocuswick.lease import (
    LEASE_DURATION_MS,
    ORDER_FLIGHT_MS,
    UNKNOWN_TOKEN,
    HeldLease,
    LeaseRequest,
)

if TYPE_CHECKING:
    from crocuswick.lease import LeaseGrant

__all__ = ["LeaseHolder"]

REQUEST_JITTER_S = 3.0
RENEWALS_IN_LEASE = 3


class LeaseHolder:
    """Decides when to ask for a lease; owned by one task, makes no calls itself.

    A lease counts from the moment before its request was sent, so that it never
    ends later here than in the log.
    """

    def __init__(self, *, resource: str, node_id: str, now_s: float):
        self._resource = resource
        self._node_id = node_id
        self._lease_id = ""
        self._held: HeldLease | None = None
        self._sent_s_by_offset: dict[int, float] = {}
        self._granted: LeaseGrant | None = None
        self._next_request_s = now_s + random.uniform(0, REQUEST_JITTER_S)

    @property
    def lease_id(self) -> str:
        """Id of the lease that this node asks for or holds."""
        return self._lease_id

    def held(self, now_s: float) -> HeldLease | None:
        """Return the lease if this node holds it.

        Args:
            now_s: Monotonic time.
        """
        if self._held is not None and now_s >= self._held.ends_s:
            self._held = None
        return self._held

    def due_request(self, now_s: float) -> LeaseRequest | None:
        """Return a request to append now, or None.

        Args:
            now_s: Monotonic time.
        """
        if now_s < self._next_request_s:
            return None
        self._next_request_s = now_s + LEASE_DURATION_MS / 1000 / RENEWALS_IN_LEASE
        if self.held(now_s) is None:
            self._lease_id = uuid.uuid4().hex
        token = self._granted.fencing_token if self._granted else UNKNOWN_TOKEN
        return LeaseRequest(
            resource=self._resource,
            lease_id=self._lease_id,
            node_id=self._node_id,
            previous_token=token,
            duration_ms=LEASE_DURATION_MS,
        )

    def note_sent(self, offset: int, sent_s: float) -> None:
        """Note that a request was appended.

        Args:
            offset: Its offset.
            sent_s: Monotonic time before it was sent.
        """
        self._sent_s_by_offset[offset] = sent_s
        if self._granted is not None and self._granted.fencing_token == offset:
            self._hold(self._granted)

    def note_grant(self, grant: LeaseGrant, now_s: float) -> None:
        """Note that the log granted or renewed the lease, to any node.

        Args:
            grant: The grant.
            now_s: Monotonic time.
        """
        self._granted = grant
        if grant.lease_id == self._lease_id:
            self._hold(grant)
            return
        self._held = None
        wait_s = (LEASE_DURATION_MS + ORDER_FLIGHT_MS) / 1000
        jitter_s = random.uniform(0, REQUEST_JITTER_S)
        self._next_request_s = now_s + wait_s + jitter_s

    def give_up(self) -> None:
        """Stop holding, since an engine has seen a newer token."""
        self._held = None

    def _hold(self, grant: LeaseGrant) -> None:
        sent_s = self._sent_s_by_offset.pop(grant.fencing_token, None)
        if sent_s is None:
            # The append's answer was lost: the lease is not known to be longer.
            return
        self._sent_s_by_offset.clear()
        ends_s = sent_s + LEASE_DURATION_MS / 1000
        self._held = HeldLease(fencing_token=grant.fencing_token, ends_s=ends_s)
