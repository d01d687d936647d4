"""Sockets that simulate a network partition."""

from __future__ import annotations

import socket
import unittest

from tests.scenarios.cut_daemon import TIMEVAL, CutSocket, cut_ports


class CutSocketTests(unittest.TestCase):
    def setUp(self):
        self.addCleanup(cut_ports.clear)
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        self.address = self.server.getsockname()

    def connect(self) -> tuple[CutSocket, socket.socket]:
        client = CutSocket(socket.AF_INET, socket.SOCK_STREAM)
        self.addCleanup(client.close)
        client.settimeout(0.1)
        client.connect(self.address)
        served, _ = self.server.accept()
        self.addCleanup(served.close)
        served.settimeout(1.0)
        return client, served

    def test_connecting_waits_and_fails(self):
        cut_ports.add(self.address[1])
        client = CutSocket(socket.AF_INET, socket.SOCK_STREAM)
        self.addCleanup(client.close)
        client.settimeout(0.1)
        with self.assertRaises(TimeoutError):
            client.connect(self.address)

    def test_reading_waits_until_the_partition_heals(self):
        client, served = self.connect()
        served.sendall(b"late")
        cut_ports.add(self.address[1])
        with self.assertRaises(TimeoutError):
            client.recv(10)
        cut_ports.clear()
        self.assertEqual(client.recv(10), b"late")

    def test_a_connection_that_lost_data_is_reset(self):
        client, served = self.connect()
        cut_ports.add(self.address[1])
        client.sendall(b"lost")
        cut_ports.clear()
        with self.assertRaises(ConnectionResetError):
            client.sendall(b"more")
        served.settimeout(0.1)
        with self.assertRaises(TimeoutError):
            served.recv(10)

    def test_a_socket_made_from_a_descriptor_is_cut_too(self):
        client, served = self.connect()
        adopted = CutSocket(client.family, client.type, fileno=client.detach())
        self.addCleanup(adopted.close)
        timeval = TIMEVAL.pack(0, 100_000)
        adopted.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval)
        served.sendall(b"late")
        cut_ports.add(self.address[1])
        with self.assertRaises(TimeoutError):
            adopted.recv(10)
        cut_ports.clear()
        self.assertEqual(adopted.recv(10), b"late")

    def test_datagrams_are_lost(self):
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(receiver.close)
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(1.0)
        sender = CutSocket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        cut_ports.add(receiver.getsockname()[1])
        self.assertEqual(sender.sendto(b"lost", receiver.getsockname()), 4)
        cut_ports.clear()
        sender.sendto(b"kept", receiver.getsockname())
        self.assertEqual(receiver.recv(10), b"kept")


if __name__ == "__main__":
    unittest.main()
