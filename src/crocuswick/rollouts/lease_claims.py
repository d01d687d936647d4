"""Acquires and renews the order lease by conditional appends to the log."""

from __future__ import annotations

import time
import uuid
from collections import deque
from typing import TYPE_CHECKING

import attrs

from crocuswick.boot_clock import boot_clock_s
from crocuswick.records.position import era_of, offset_of
from crocuswick.rollouts.order_lease import (
    LEASE_VALID_S,
    MAX_CLOCK_SKEW_S,
    LeaseRecord,
    decode_lease,
    encode_lease,
)

if TYPE_CHECKING:
    from crocuswick.records.store import RecordStore
    from crocuswick.records.store_era import StoreEra

__all__ = ["EXPIRED_S", "LeaseClaim", "LeaseClaims"]

INITIAL_POSITION = 0
"""Position that a node without knowledge of the topic tries first."""

EXPIRED_S = LEASE_VALID_S + MAX_CLOCK_SKEW_S
"""Age of a record, by this node's clock, from which its lease has expired."""


MAX_OWN_RECORDS = 16
"""Unacknowledged records of this node that are read to find the holder before them. A
holder renews its lease after half a second, so that they go back further than an earlier
holder's orders matter."""


@attrs.frozen(kw_only=True)
class LeaseClaim:
    """Result of an attempt to acquire or renew the lease."""

    token: int | None
    """Position of the new record, None if the append is not known to have succeeded."""

    sent_s: float
    """Time at which the append was sent, from `boot_clock_s`."""

    previous: LeaseRecord | None = None
    """Record of the preceding holder, None for the first one of the topic."""

    last_position: int = -1
    """Position of the topic's last record if the append's condition failed, else -1."""

    is_renewal: bool = False
    """Whether this node renewed its own lease: no other record lies between its two."""

    is_contested: bool = False
    """Whether another node appended a record of which this node did not know."""

    era_since_s: float | None = None
    """Time since which the store's era is known if this is the first valid record of
    the era, from `boot_clock_s`; else None."""

    error: str = ""


class LeaseClaims:
    """Appends lease records; used by one worker at a time.

    Args:
        node_id: This node.
        topic: Topic of the lease records.
        store: Client of the store.
        era: The store's era, as that client knows it.
    """

    def __init__(self, *, node_id: str, topic: str, store: RecordStore, era: StoreEra):
        self._era = era
        self._node_id = node_id
        self._topic = topic
        self._store = store
        self._expected_end = INITIAL_POSITION
        self._acknowledged_nonces: deque[str] = deque(maxlen=MAX_OWN_RECORDS)

    def claim(self, own_token: int | None, *, newest_token: int = -1) -> LeaseClaim:
        """Renew the lease, or take it over from a holder that does not renew it.

        The first claim after an unknown record fails if that record's lease may still
        be valid. The next one succeeds unless the lease was renewed in between.

        Args:
            own_token: Position of this node's last record, None if it does not hold the
                lease.
            newest_token: Position of the newest record known from gossip messages, -1
                if none is.

        Returns:
            The result. After an error the append may still take effect later.
        """
        self._expected_end = max(self._expected_end, newest_token + 1)
        claim = self._claim(own_token)
        known = claim.last_position if claim.token is None else claim.token
        self._expected_end = max(self._expected_end, known + 1)
        return claim

    def _claim(self, own_token: int | None) -> LeaseClaim:
        record = LeaseRecord(
            node_id=self._node_id,
            nonce=uuid.uuid4().hex[:12],
            clock_s=time.time(),
            era=self._era.current,
        )
        if own_token is not None:
            claim = self._append(record, own_token + 1)
            if claim.token is None and not claim.error:
                # If both nodes kept taking the lease back, neither could use it.
                return attrs.evolve(claim, error="another node has acquired the lease")
            return attrs.evolve(claim, is_renewal=True)
        claim = self._append(record, self._expected_end)
        if claim.token is not None or claim.error:
            return self._with_previous(claim, self._expected_end - 1)
        is_unknown = claim.last_position >= self._expected_end
        if is_unknown and not self._may_replace(self._read_record(claim.last_position)):
            return attrs.evolve(
                claim, is_contested=True, error="another node has just claimed it"
            )
        return self._claim_after(record, claim.last_position)

    def _may_replace(self, record: LeaseRecord | None) -> bool:
        """Whether a record's lease has expired or is this node's own."""
        return record is not None and (
            record.node_id == self._node_id or time.time() - record.clock_s > EXPIRED_S
        )

    def _read_record(self, position: int) -> LeaseRecord | None:
        tail = self._store.read_tail(self._topic, start=position)
        found = tail.ok_value if tail.is_ok() else None
        return decode_lease(found.records[0]) if found and found.records else None

    def _append(self, record: LeaseRecord, at: int) -> LeaseClaim:
        sent_s = boot_clock_s()
        ack = self._store.append(self._topic, encode_lease(record), at=at)
        if ack.is_err():
            return LeaseClaim(token=None, sent_s=sent_s, error=str(ack.err_value))
        position = ack.ok_value.position
        if not ack.ok_value.is_appended:
            return LeaseClaim(token=None, sent_s=sent_s, last_position=position - 1)
        if era_of(position) != record.era:
            return LeaseClaim(
                token=None,
                sent_s=sent_s,
                last_position=position,
                error="the store returned from an older copy during the claim",
            )
        self._acknowledged_nonces.append(record.nonce)
        return LeaseClaim(token=position, sent_s=sent_s)

    def _claim_after(self, record: LeaseRecord, last: int) -> LeaseClaim:
        claim = self._append(record, last + 1)
        if claim.token is None:
            return attrs.evolve(
                claim,
                is_contested=not claim.error,
                error=claim.error or "a concurrent append came first",
            )
        return self._with_previous(claim, last)

    def _with_previous(self, claim: LeaseClaim, last: int) -> LeaseClaim:
        """Add the record of the preceding holder to a claim that was appended."""
        if claim.token is None or claim.token == 0:
            return claim
        era = era_of(claim.token)
        previous = self._find_holder(last) if offset_of(claim.token) else None
        is_first_of_era = offset_of(claim.token) == 0 or (
            previous is not None and previous.era != era
        )
        if is_first_of_era:
            return attrs.evolve(claim, previous=previous, era_since_s=self._era.since_s)
        if previous is None:
            # The store may drop records immediately, so the previous holder may have
            # just sent an order.
            previous = LeaseRecord(node_id="", nonce="", clock_s=time.time())
        return attrs.evolve(claim, previous=previous)

    def _find_holder(self, last: int) -> LeaseRecord | None:
        """Return the last record whose node may have used its lease, None if unknown.

        A record of this node that was not acknowledged gave it no lease. It hides the
        holder before it, as does that of an earlier process of this node.

        Args:
            last: Position of the last record.
        """
        record = self._read_record(last)
        for position in range(last - 1, last - MAX_OWN_RECORDS, -1):
            if record is None or not self._is_unacknowledged(record):
                return record
            if position < 0 or era_of(position) != era_of(last):
                return record
            before = self._read_record(position)
            if before is None or before.era != record.era:
                return before
            record = before
        # An earlier holder had its last record before this one.
        return None if record is None else attrs.evolve(record, node_id="", nonce="")

    def _is_unacknowledged(self, record: LeaseRecord) -> bool:
        return (
            record.node_id == self._node_id
            and record.nonce not in self._acknowledged_nonces
        )
