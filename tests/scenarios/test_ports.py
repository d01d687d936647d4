"""Allocation of ports for the processes of a fleet."""

from __future__ import annotations

import socket
import unittest

from tests.ports import RANGE_FILE, stable_ports


class PortTests(unittest.TestCase):
    def test_allocated_ports_differ_before_their_use(self):
        ports = [port for _ in range(20) for port in stable_ports(5)]
        self.assertEqual(len(set(ports)), 100)

    def test_a_port_in_use_is_not_allocated(self):
        [port] = stable_ports(1)
        with socket.create_server(("127.0.0.1", port)):
            others = [each for _ in range(80) for each in stable_ports(5)]
            self.assertNotIn(port, others)

    def test_ports_lie_below_those_for_outgoing_connections(self):
        first_outgoing = int(RANGE_FILE.read_text().split()[0])
        self.assertLess(max(stable_ports(50)), first_outgoing)


if __name__ == "__main__":
    unittest.main()
