"""Tests for leases recorded in the log."""

from __future__ import annotations

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from crocuswick.lease import (
    LEASE_DURATION_MS,
    MAX_ORDER_DELAY_MS,
    UNKNOWN_TOKEN,
    HeldLease,
    LeaseRequest,
    LeaseTable,
    encode_lease_request,
)
from crocuswick.lease_holder import LeaseHolder
from crocuswick.platform_log import LogRecord

DURATION_MS = 5_000


def request(offset, time_ms, node_id, previous_token=UNKNOWN_TOKEN):
    value = LeaseRequest(
        resource="orders",
        lease_id=node_id,
        node_id=node_id,
        previous_token=previous_token,
        duration_ms=DURATION_MS,
    )
    return LogRecord(offset=offset, time_ms=time_ms, value=encode_lease_request(value))


@st.composite
def histories(draw):
    """Draw requests of nodes that have read the log up to different offsets."""
    time_ms = 0
    records = []
    tokens = [UNKNOWN_TOKEN]
    table = LeaseTable()
    for offset in range(draw(st.integers(1, 30))):
        time_ms += draw(st.integers(0, 9_000))
        known = draw(st.sampled_from((UNKNOWN_TOKEN, *tokens[-3:])))
        records.append(request(offset, time_ms, draw(st.sampled_from("abc")), known))
        if table.apply(records[-1]) is not None:
            tokens.append(offset)
    return records


class LeaseTableTests(unittest.TestCase):
    def test_next_holder_waits_until_no_order_can_take_effect(self):
        table = LeaseTable()
        free_ms = DURATION_MS + MAX_ORDER_DELAY_MS
        self.assertEqual(table.apply(request(3, 0, "a")).fencing_token, 3)
        self.assertIsNone(table.apply(request(4, free_ms - 1, "b")))
        self.assertEqual(table.apply(request(5, free_ms, "b")).fencing_token, 5)

    def test_renewal_gives_a_new_token(self):
        table = LeaseTable()
        table.apply(request(0, 0, "a"))
        grant = table.apply(request(1, 4_000, "a", 0))
        self.assertEqual((grant.fencing_token, grant.ends_ms), (1, 9_000))
        self.assertIsNone(table.apply(request(2, 4_500, "a", 0)))
        self.assertEqual(table.lease_id_at("orders", 8_999), "a")
        self.assertEqual(table.lease_id_at("orders", 9_000), "")

    def test_former_holder_is_not_renewed_after_the_end(self):
        table = LeaseTable()
        table.apply(request(0, 0, "a"))
        self.assertIsNone(table.apply(request(1, DURATION_MS, "a", 0)))

    def test_after_a_gap_grants_wait_until_unread_leases_end(self):
        table = LeaseTable()
        table.restart()
        self.assertIsNone(table.apply(request(9, 100, "a")))
        free_ms = 100 + LEASE_DURATION_MS + MAX_ORDER_DELAY_MS
        self.assertIsNotNone(table.apply(request(10, free_ms, "a")))

    def test_after_a_gap_a_renewal_shows_the_holder(self):
        table = LeaseTable()
        table.restart()
        table.apply(request(9, 100, "a", 4))
        table.apply(request(10, 200, "b"))
        grant = table.apply(request(11, 300, "a", 9))
        self.assertEqual((grant.lease_id, grant.fencing_token), ("a", 11))

    @given(histories())
    def test_holders_never_overlap_and_tokens_increase(self, records):
        table = LeaseTable()
        last = None
        for record in records:
            grant = table.apply(record)
            if grant is None:
                continue
            if last is not None:
                self.assertGreater(grant.fencing_token, last.fencing_token)
                is_renewal = grant.lease_id == last.lease_id
                if not (is_renewal and record.time_ms < last.ends_ms):
                    free_ms = last.ends_ms + MAX_ORDER_DELAY_MS
                    self.assertGreaterEqual(record.time_ms, free_ms)
            last = grant

    @given(histories(), st.data())
    def test_a_later_node_grants_no_lease_that_others_do_not(self, records, data):
        start = data.draw(st.integers(0, len(records) - 1))
        whole, late = LeaseTable(), LeaseTable()
        late.restart()
        whole_grants = [whole.apply(record) for record in records]
        for expected, record in zip(whole_grants[start:], records[start:], strict=True):
            got = late.apply(record)
            if got is not None:
                self.assertEqual(got, expected)

    def test_holder_stops_sending_before_the_end(self):
        lease = HeldLease(fencing_token=1, ends_s=100.0)
        delay_s = MAX_ORDER_DELAY_MS / 1000
        self.assertTrue(lease.can_send(100.0 - delay_s))
        self.assertFalse(lease.can_send(100.01 - delay_s))


class LeaseHolderTests(unittest.TestCase):
    def setUp(self):
        self.holder = LeaseHolder(resource="orders", node_id="a", now_s=0.0)
        self.table = LeaseTable()
        self.offset = 0

    def append(self, now_s, *, has_response=True):
        """Append the due request and read it back a second later."""
        due = self.holder.due_request(now_s)
        value = encode_lease_request(due)
        record = LogRecord(
            offset=self.offset, time_ms=int(now_s * 1000) + 500, value=value
        )
        if has_response:
            self.holder.record_append(self.offset, now_s)
        self.offset += 1
        grant = self.table.apply(record)
        if grant is not None:
            self.holder.record_grant(grant, now_s + 1)

    def test_lease_is_timed_from_before_the_request(self):
        self.append(10.0)
        end_s = 10.0 + LEASE_DURATION_MS / 1000
        self.assertEqual(self.holder.held(11.0).ends_s, end_s)
        # A holder that was paused past the end no longer holds the lease.
        self.assertIsNone(self.holder.held(end_s))

    def test_lost_response_does_not_extend_the_lease(self):
        self.append(10.0)
        before = self.holder.held(15.0)
        self.append(15.0, has_response=False)
        self.assertEqual(self.holder.held(16.0), before)
        self.append(20.0)
        self.assertEqual(self.holder.held(21.0).ends_s, 20.0 + LEASE_DURATION_MS / 1000)

    def test_next_request_waits_until_another_holder_ends(self):
        self.append(10.0)
        other = attrs.evolve(self.table.grant("orders"), lease_id="b", node_id="b")
        self.holder.record_grant(other, 30.0)
        self.assertIsNone(self.holder.held(30.0))
        free_s = 30.0 + (LEASE_DURATION_MS + MAX_ORDER_DELAY_MS) / 1000
        self.assertIsNone(self.holder.due_request(free_s - 0.1))


if __name__ == "__main__":
    unittest.main()
