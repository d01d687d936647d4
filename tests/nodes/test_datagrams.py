"""Tests of signed datagrams."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from crocuswick.demand_meter import OrganisationDemand
from crocuswick.nodes import NodeAddress, PeerKeys, read_key_file
from crocuswick.nodes.datagrams import (
    MAX_DATAGRAM_BYTES,
    Heartbeat,
    decode_datagram,
    encode_datagram,
)
from crocuswick.quarantine import CrashReport

KEYS = PeerKeys(keys=[b"a key of these tests"])


def heartbeat(*, demand=0, reports=0):
    """Return a heartbeat with lists of the given lengths."""
    return Heartbeat(
        node_id="n1",
        zone="a",
        incarnation=2**50,
        sequence=7,
        sent_ms=2**40,
        address=NodeAddress(host="10.0.0.1", port=80, peer_port=5000),
        demand=tuple(
            OrganisationDemand(
                organisation=f"organisation-{number}",
                requests_per_s=0.5,
                tokens_per_s=64.0,
            )
            for number in range(demand)
        ),
        crash_reports=tuple(
            CrashReport(fingerprint=f"{number:016x}", endpoint_id="engine-1")
            for number in range(reports)
        ),
    )


class DatagramTests(unittest.TestCase):
    def test_encoding_round_trip(self):
        sent = heartbeat(demand=3, reports=2)
        self.assertEqual(
            decode_datagram(encode_datagram(sent, keys=KEYS), keys=KEYS), sent
        )

    def test_long_lists_are_truncated_to_fit_one_packet(self):
        data = encode_datagram(heartbeat(demand=500, reports=300), keys=KEYS)
        self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)
        self.assertEqual(decode_datagram(data, keys=KEYS).node_id, "n1")

    @settings(max_examples=40, deadline=None)
    @given(position=st.integers(0, 10_000), flip=st.integers(1, 255))
    def test_any_changed_byte_is_rejected(self, position, flip):
        data = bytearray(encode_datagram(heartbeat(demand=1), keys=KEYS))
        data[position % len(data)] ^= flip
        self.assertIsNone(decode_datagram(bytes(data), keys=KEYS))

    @settings(max_examples=40, deadline=None)
    @given(data=st.binary(max_size=200))
    def test_random_bytes_are_rejected(self, data):
        self.assertIsNone(decode_datagram(data, keys=KEYS))

    @settings(max_examples=40, deadline=None)
    @given(
        value=st.recursive(
            st.none() | st.integers(-5, 2**63) | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(st.sampled_from("abcdefghij"), inner, max_size=6)
            ),
            max_leaves=12,
        )
    )
    def test_signed_malformed_message_is_rejected(self, value):
        body = msgpack.packb(value)
        code = KEYS.sign(body, purpose=b"crocuswick-udp")
        self.assertIsNone(decode_datagram(code + body, keys=KEYS))


class KeyFileTests(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "key"
            path.write_text(text)
            return read_key_file(path)

    def test_first_secret_signs_and_all_verify(self):
        keys = self.read("# fleet\nnew secret of the fleet\nold secret of the fleet\n")
        old = self.read("old secret of the fleet\n")
        body, purpose = b"body", b"test"
        code = PeerKeys(keys=old.unwrap()).sign(body, purpose=purpose)
        both = PeerKeys(keys=keys.unwrap())
        self.assertTrue(both.verifies(body, code, purpose=purpose))
        self.assertNotEqual(both.sign(body, purpose=purpose), code)

    def test_error_names_why_a_file_is_unusable(self):
        self.assertIn("no secret", self.read("\n# nothing\n").unwrap_err().detail)
        self.assertIn("16", self.read("short\n").unwrap_err().detail)
        missing = read_key_file(Path("/nonexistent/key")).unwrap_err()
        self.assertEqual(missing.step, "read key")
