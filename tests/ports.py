"""Ports that a process keeps across restarts."""

from __future__ import annotations

import itertools
import os
import socket
from pathlib import Path

__all__ = ["stable_ports"]

LOWEST_PORT = 10_000
PORTS_PER_PROCESS = 400
RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def _ports_of_this_process() -> itertools.cycle[int]:
    """Return a cycle of ports below the ephemeral range, selected by process id.

    Concurrent test runs therefore use different ports. A port is returned again only
    after all others.
    """
    first_ephemeral = int(RANGE_FILE.read_text().split()[0])
    slots = (first_ephemeral - LOWEST_PORT) // PORTS_PER_PROCESS
    start = LOWEST_PORT + os.getpid() % slots * PORTS_PER_PROCESS
    return itertools.cycle(range(start, start + PORTS_PER_PROCESS))


_candidates = _ports_of_this_process()


def _is_free(port: int) -> bool:
    """Return whether a port can currently be bound for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind == socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def stable_ports(count: int) -> list[int]:
    """Return free ports outside the range from which the kernel assigns ports.

    A restarted process binds its port again. A port of this ephemeral range could
    have been taken by an outgoing connection in the meantime.
    """
    tried = itertools.islice(_candidates, PORTS_PER_PROCESS)
    return list(itertools.islice(filter(_is_free, tried), count))
