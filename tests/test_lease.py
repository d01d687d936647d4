"""Tests of leases folded from the log."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from crocuswick.lease import (
    ORDER_FLIGHT_MS,
    HeldLease,
    LeaseRequest,
    LeaseTable,
    encode_lease_request,
)
from crocuswick.platform_log import LogRecord

DURATION_MS = 5_000


def request(offset, time_ms, node_id, lease_id=None):
    value = LeaseRequest(
        resource="orders",
        lease_id=lease_id or node_id,
        node_id=node_id,
        attempt=offset,
        duration_ms=DURATION_MS,
    )
    return LogRecord(offset=offset, time_ms=time_ms, value=encode_lease_request(value))


@st.composite
def histories(draw):
    time_ms = 0
    records = []
    for offset in range(draw(st.integers(1, 30))):
        time_ms += draw(st.integers(0, 6_000))
        node = draw(st.sampled_from("abc"))
        records.append(request(offset, time_ms, node))
    return records


class LeaseTableTests(unittest.TestCase):
    def test_next_holder_waits_until_no_order_is_on_its_way(self):
        table = LeaseTable()
        free_ms = DURATION_MS + ORDER_FLIGHT_MS
        self.assertEqual(table.fold(request(3, 0, "a")).fencing_token, 3)
        self.assertIsNone(table.fold(request(4, free_ms - 1, "b")))
        self.assertEqual(table.fold(request(5, free_ms, "b")).fencing_token, 5)

    def test_renewal_keeps_the_token(self):
        table = LeaseTable()
        table.fold(request(0, 0, "a"))
        grant = table.fold(request(1, 4_000, "a"))
        self.assertEqual((grant.fencing_token, grant.ends_ms), (0, 9_000))

    def test_former_holder_gets_a_new_token_after_its_end(self):
        table = LeaseTable()
        table.fold(request(0, 0, "a"))
        late_ms = DURATION_MS + ORDER_FLIGHT_MS
        self.assertEqual(table.fold(request(1, late_ms, "a")).fencing_token, 1)

    def test_after_a_gap_unread_leases_are_waited_out(self):
        table = LeaseTable()
        table.restart()
        self.assertIsNone(table.fold(request(9, 100, "a")))
        free_ms = 100 + DURATION_MS + ORDER_FLIGHT_MS
        self.assertIsNotNone(table.fold(request(10, free_ms, "a")))

    @given(histories())
    def test_holders_never_overlap_and_tokens_rise(self, records):
        table = LeaseTable()
        grants = []
        for record in records:
            grant = table.fold(record)
            if grant is None:
                continue
            if grants and grants[-1][1].fencing_token == grant.fencing_token:
                self.assertEqual(grants[-1][1].node_id, grant.node_id)
            elif grants:
                last_end_ms = grants[-1][1].ends_ms
                self.assertGreaterEqual(record.time_ms, last_end_ms + ORDER_FLIGHT_MS)
                self.assertGreater(grant.fencing_token, grants[-1][1].fencing_token)
            grants.append((record.time_ms, grant))

    @given(histories(), st.data())
    def test_a_later_node_grants_no_lease_that_others_do_not(self, records, data):
        start = data.draw(st.integers(0, len(records) - 1))
        whole, late = LeaseTable(), LeaseTable()
        late.restart()
        whole_grants = [whole.fold(record) for record in records]
        for expected, record in zip(whole_grants[start:], records[start:], strict=True):
            got = late.fold(record)
            if got is not None:
                self.assertIsNotNone(expected)

    def test_holder_stops_sending_before_the_end(self):
        lease = HeldLease(fencing_token=1, ends_s=100.0)
        flight_s = ORDER_FLIGHT_MS / 1000
        self.assertTrue(lease.may_send(100.0 - flight_s))
        self.assertFalse(lease.may_send(100.01 - flight_s))


if __name__ == "__main__":
    unittest.main()
