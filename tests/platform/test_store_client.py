"""Tests of the client of the platform's store: its era and malformed headers."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import unittest

from crocuswick.platform.store_client import StoreClient
from crocuswick.records.position import MAX_OFFSET, to_position
from crocuswick.records.store_era import StoreEra
from tests.platform.metadata_store import MetadataStore

TOPIC = "keyed.op"


class RepeatingStore:
    """A store that sends a late copy of its first answer before the second one."""

    def __init__(self, answers):
        self._answers = answers
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        self._socket.close()

    def _run(self):
        pending = list(self._answers)
        with contextlib.suppress(OSError):
            while pending:
                connection, _ = self._socket.accept()
                connection.settimeout(1.0)
                last = None
                with connection, contextlib.suppress(TimeoutError):
                    while pending and _read_request(connection):
                        if last is not None:
                            connection.sendall(last)
                        last = pending.pop(0)
                        connection.sendall(last)


def _read_request(connection):
    """Read a whole request; its head and body may arrive apart."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65_536)
        if not received:
            return b""
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += connection.recv(65_536)
    return data


def tail_answer(end, *records):
    """Return an answer to a read."""
    body = struct.pack(">QQ", end, 0)
    body += b"".join(struct.pack(">I", len(each)) + each for each in records)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def ack_answer(status, body):
    """Return an answer to an append."""
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


class LateCopyTests(unittest.TestCase):
    """A late copy of an answer must not be taken for the answer to the next call."""

    def client(self, *answers):
        store = RepeatingStore(answers)
        self.addCleanup(store.stop)
        return StoreClient(address=store.address)

    def test_a_copy_of_an_earlier_read_is_an_error(self):
        """Its records would get the positions of later ones."""
        client = self.client(
            tail_answer(2, b"\x01a1", b"\x01b1"), tail_answer(3, b"\x01a2")
        )
        first = client.read_keyed(TOPIC, start=0, wait_ms=0)
        self.assertEqual(first.ok_value.end, 2)
        second = client.read_keyed(TOPIC, start=2, wait_ms=0)
        self.assertTrue(second.is_err())

    def test_a_copy_of_an_earlier_acknowledgement_does_not_grant_a_write(self):
        """A node would believe that it has renewed the order lease."""
        client = self.client(
            ack_answer(b"200 OK", b'{"Offset": 4, "End": 5}'),
            ack_answer(b"412 Precondition Failed", b'{"End": 9}'),
        )
        first = client.append("leases", b"r", at=4)
        self.assertTrue(first.ok_value.is_appended)
        second = client.append("leases", b"r", at=5)
        self.assertFalse(second.ok_value.is_appended)


class StoreClientTests(unittest.TestCase):
    def setUp(self):
        self.store = MetadataStore()
        self.addCleanup(self.store.stop)
        self.era = StoreEra()
        self.client = StoreClient(address=self.store.address, era=self.era)
        self.store.put(TOPIC, "a", 1)
        self.store.put(TOPIC, "b", 2)

    def end(self):
        return self.client.list_newest(TOPIC).ok_value.end

    def test_positions_rise_over_a_return_from_an_older_copy(self):
        copy = self.store.copy()
        self.store.put(TOPIC, "c", 3)
        self.assertEqual(self.end(), 3)
        self.store.return_from(copy)
        self.assertEqual(self.end(), to_position(1, 2))

    def test_a_read_from_before_the_return_asks_for_a_listing(self):
        """Offsets are given out again, so that a read from the old end would skip what
        was written since."""
        end = self.end()
        self.store.return_from(self.store.copy())
        read = self.client.read_keyed(TOPIC, start=end, wait_ms=10)
        self.assertIsNone(read.ok_value)
        self.assertEqual(self.era.current, 1)

    def test_a_read_past_the_end_of_the_copy_asks_for_a_listing(self):
        copy = self.store.copy()
        self.store.put(TOPIC, "c", 3)
        end = self.end()
        self.store.return_from(copy)
        self.assertIsNone(self.client.read_keyed(TOPIC, start=end, wait_ms=10).ok_value)

    def test_a_condition_from_before_the_return_fails_and_names_the_new_end(self):
        """The offset may fit by chance, but other records lie before it now."""
        self.store.return_from(self.store.copy())
        self.end()
        ack = self.client.append(TOPIC, b"\x01kv", at=2).ok_value
        self.assertEqual((ack.is_appended, ack.position), (False, to_position(1, 2)))

    def test_a_condition_in_the_current_era_holds(self):
        self.store.return_from(self.store.copy())
        end = self.end()
        ack = self.client.append(TOPIC, b"\x01kv", at=end).ok_value
        self.assertEqual((ack.is_appended, ack.position), (True, end))

    def test_an_answer_of_an_earlier_era_is_an_error(self):
        self.store.era_header = "5"
        self.end()
        self.store.era_header = "4"
        read = self.client.list_newest(TOPIC)
        self.assertIn("earlier era", str(read.err_value))
        self.store.era_header = "5"
        self.assertEqual(self.end(), to_position(5, 2))

    def test_malformed_eras_change_nothing(self):
        self.store.era_header = "5"
        self.end()
        for header in (None, "", "x", "-1", "5.5", "1e3", "9" * 400, "\xb2"):
            with self.subTest(header=header):
                self.store.era_header = header
                self.assertEqual(self.end(), to_position(5, 2))
        self.assertEqual(self.era.current, 5)

    def test_no_topic_ends_at_the_offset_that_always_fails(self):
        ack = self.client.append(TOPIC, b"\x01kv", at=MAX_OFFSET).ok_value
        self.assertFalse(ack.is_appended)
