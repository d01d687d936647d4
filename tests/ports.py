"""Ports that a part keeps over its restarts."""

from __future__ import annotations

import itertools
import os
import socket
from pathlib import Path

__all__ = ["stable_ports"]

LOWEST_PORT = 10_000
PORTS_OF_A_PROCESS = 400
RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def _ports_of_this_process() -> itertools.cycle[int]:
    """Return the ports below those for outgoing connections, those of this pid.

    Runs at the same time so have ports of their own. A port is not given out
    again before all others were.
    """
    first_outgoing = int(RANGE_FILE.read_text().split()[0])
    slots = (first_outgoing - LOWEST_PORT) // PORTS_OF_A_PROCESS
    start = LOWEST_PORT + os.getpid() % slots * PORTS_OF_A_PROCESS
    return itertools.cycle(range(start, start + PORTS_OF_A_PROCESS))


_candidates = _ports_of_this_process()


def _is_free(port: int) -> bool:
    """Return whether a port can be bound for TCP and UDP now."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as candidate:
            if kind == socket.SOCK_STREAM:
                candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
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
    tried = itertools.islice(_candidates, PORTS_OF_A_PROCESS)
    return list(itertools.islice(filter(_is_free, tried), count))
