"""Tests of the relay's faults."""

from __future__ import annotations

import socket
import unittest
from typing import Any

from tests.fakes.launcher import Launcher, Process

SILENCE_S = 0.2


class RelayTest(unittest.TestCase):
    launcher: Launcher
    relay: Process

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher()
        cls.addClassCleanup(cls.launcher.close)
        cls.relay = cls.launcher.fake("relay")

    def setUp(self) -> None:
        self.target = socket.create_server(("127.0.0.1", 0))
        self.target.settimeout(5.0)
        self.addCleanup(self.target.close)
        port = self.target.getsockname()[1]
        self.add_route(f"127.0.0.1:{port}", protocol="tcp")

    def add_route(self, target: str, *, protocol: str) -> None:
        self.name = f"{self.id()}-{protocol}"
        spec = {"name": self.name, "target": target, "protocol": protocol}
        host, port = self.relay.call("POST", "/control/routes", spec)["address"].split(
            ":"
        )
        self.address = (host, int(port))

    def set_faults(self, **faults: Any) -> None:
        self.relay.call("POST", f"/control/routes/{self.name}", faults)

    def connect(self) -> tuple[socket.socket, socket.socket]:
        client = socket.create_connection(self.address, timeout=5.0)
        self.addCleanup(client.close)
        server, _ = self.target.accept()
        server.settimeout(5.0)
        self.addCleanup(server.close)
        return client, server

    def assert_passes(self, sender: socket.socket, receiver: socket.socket) -> None:
        sender.sendall(b"ping")
        self.assertEqual(receiver.recv(16), b"ping")

    def assert_silent(self, receiver: socket.socket) -> None:
        receiver.settimeout(SILENCE_S)
        with self.assertRaises(TimeoutError):
            receiver.recv(16)
        receiver.settimeout(5.0)

    def test_existing_connections_stay_silent_while_new_ones_work(self):
        client, server = self.connect()
        self.assert_passes(client, server)
        self.set_faults(mode="silent_existing")
        client.sendall(b"lost")
        server.sendall(b"lost")
        new_client, new_server = self.connect()
        self.assert_passes(new_client, new_server)
        self.assert_passes(new_server, new_client)
        self.set_faults(mode="pass")
        server.shutdown(socket.SHUT_WR)
        self.assert_silent(client)
        self.assert_silent(server)

    def test_cut_direction_holds_data_back_until_the_cut_ends(self):
        client, server = self.connect()
        self.set_faults(mode="cut_to_target")
        client.sendall(b"held")
        self.assert_passes(server, client)
        self.assert_silent(server)
        self.set_faults(mode="pass")
        self.assertEqual(server.recv(16), b"held")

    def test_refuse_mode_resets_open_connections_and_refuses_new_ones(self):
        client, _ = self.connect()
        self.set_faults(mode="refuse")
        with self.assertRaises(ConnectionResetError):
            client.recv(16)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(self.address, timeout=5.0)
        self.set_faults(mode="pass")
        self.assert_passes(*self.connect())

    def test_half_close_and_close_reach_the_other_side(self):
        client, server = self.connect()
        client.shutdown(socket.SHUT_WR)
        self.assertEqual(server.recv(16), b"")
        self.assert_passes(server, client)
        server.close()
        self.assertEqual(client.recv(16), b"")

    def test_datagrams_are_relayed_and_cut(self):
        target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for end in (target, client):
            end.bind(("127.0.0.1", 0))
            end.settimeout(5.0)
            self.addCleanup(end.close)
        self.add_route(f"127.0.0.1:{target.getsockname()[1]}", protocol="udp")
        client.sendto(b"ping", self.address)
        data, sender = target.recvfrom(16)
        target.sendto(data, sender)
        self.assertEqual(client.recv(16), b"ping")
        self.set_faults(mode="cut_to_target")
        client.sendto(b"lost", self.address)
        self.assert_silent(target)
        self.set_faults(mode="pass")
        client.sendto(b"next", self.address)
        self.assertEqual(target.recv(16), b"next")
