"""Ports that a part keeps over its restarts."""

from __future__ import annotations

import random
import socket
from pathlib import Path

__all__ = ["stable_ports"]

LOWEST_PORT = 10_000
RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
MAX_TRIES = 1000


def _is_free(port: int) -> bool:
    """Return whether a port can be bound for TCP and UDP now."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as candidate:
            try:
                candidate.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def stable_ports(count: int) -> list[int]:
    """Return free ports that the kernel gives to nobody by itself.

    A part that is restarted binds its port a second time. A port from the range
    for outgoing connections could have been taken by one of them meanwhile.
    """
    first_outgoing = int(RANGE_FILE.read_text().split()[0])
    draw = random.SystemRandom()
    ports: set[int] = set()
    for _ in range(MAX_TRIES):
        if len(ports) == count:
            break
        port = draw.randrange(LOWEST_PORT, first_outgoing)
        if port not in ports and _is_free(port):
            ports.add(port)
    return list(ports)
