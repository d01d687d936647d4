"""Bound on the connections that callers keep open."""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from crocuswick.intake.progress import Phase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crocuswick.intake.connection import IntakeConnection

__all__ = ["OpenConnection", "OpenConnections", "choose_closing", "max_connections"]

FILE_DESCRIPTORS = 200
"""Descriptors of a process that are reserved for files."""

OTHER_DESCRIPTORS = 646
"""Descriptors for all else: one to a replica for each of 192 requests, two for each of
195 peers, and 64 for the store, other ports and the log."""

MIN_CONNECTIONS = 64

_ORDER = (Phase.CLOSING, Phase.NEW, Phase.IDLE, Phase.HEAD, Phase.BODY, Phase.SENDING)
"""Phases from the least useful connection to the most useful one. The caller of an idle
connection can open another one."""

_SPARE_PHASES = (Phase.CLOSING, Phase.IDLE)


@attrs.frozen(kw_only=True)
class OpenConnection:
    """A connection of a caller."""

    key: int
    address: str
    """IP address of the caller."""

    phase: Phase
    age_s: float
    """Time since the connection or its request began."""

    is_served: bool = False
    """Whether a request is being served on it, so that it can't be closed."""

    is_new: bool = False
    """Whether it is the one for which there is no room."""


def max_connections(max_descriptors: int) -> int:
    """Return the number of connections that callers may keep open, 0 for no limit.

    Args:
        max_descriptors: Descriptors that the process may open, 0 if not known.
    """
    if not max_descriptors:
        return 0
    available = max_descriptors - FILE_DESCRIPTORS - OTHER_DESCRIPTORS
    return max(MIN_CONNECTIONS, available)


def choose_closing(connections: Iterable[OpenConnection]) -> OpenConnection | None:
    """Return the connection to close when there are too many.

    It belongs to the address with most connections, is in the least useful phase there,
    and has been in use for the longest time. If the new connection's address has more of
    them than those of all others that can be closed, these callers lose only connections
    without a request; the new one is closed if there are none.

    Args:
        connections: All connections.
    """
    connections = list(connections)
    count_by_address = Counter(each.address for each in connections)

    def order(each: OpenConnection) -> tuple[int, int, float]:
        count = count_by_address[each.address]
        return -count, _ORDER.index(each.phase), -each.age_s

    others = [each for each in connections if not each.is_served and not each.is_new]
    chosen = min(others, key=order, default=None)
    new = next((each for each in connections if each.is_new), None)
    if chosen is None or new is None or order(chosen)[0] <= order(new)[0]:
        return chosen
    spare = (each for each in others if each.phase in _SPARE_PHASES)
    return min(spare, key=order, default=new)


class OpenConnections:
    """All connections of a port."""

    def __init__(self):
        self.max_connections = 0
        """Number that may be open, 0 for no limit."""

        self.total_closed = 0
        """Number that were closed because there were too many."""

        self._connections_by_key: dict[int, IntakeConnection] = {}
        self._served_keys: set[int] = set()
        self._lock = threading.Lock()

    def add(self, connection: IntakeConnection) -> IntakeConnection | None:
        """Add a new connection.

        Returns:
            The connection that must be closed, which may be the new one, None for none.
            It counts as closed already. The limit is exceeded while requests are served
            on all others.
        """
        now_s = time.monotonic()
        with self._lock:
            self._connections_by_key[id(connection)] = connection
            count = len(self._connections_by_key)
            if not self.max_connections or count <= self.max_connections:
                return None
            served_keys = frozenset(self._served_keys)
            if served_keys.issuperset(
                self._connections_by_key.keys() - {id(connection)}
            ):
                return None
            chosen = choose_closing(
                OpenConnection(
                    key=key,
                    address=each.remote_addr or "",
                    phase=each.progress.phase,
                    age_s=each.progress.age_s(now_s),
                    is_served=key in served_keys,
                    is_new=each is connection,
                )
                for key, each in self._connections_by_key.items()
            )
            self.total_closed += 1
            return self._connections_by_key.pop(chosen.key)

    def remove(self, connection: IntakeConnection) -> None:
        """Remove a connection that is being closed."""
        with self._lock:
            self._connections_by_key.pop(id(connection), None)

    def begin_serving(self, connection: IntakeConnection) -> None:
        """Exclude a connection from those that may be closed."""
        self._served_keys.add(id(connection))

    def end_serving(self, connection: IntakeConnection) -> None:
        """Include a connection in those that may be closed."""
        self._served_keys.discard(id(connection))

    def counts_by_phase(self) -> dict[Phase, int]:
        """Return the number of connections by what they wait for."""
        with self._lock:
            phases = [
                Phase.SERVED if key in self._served_keys else each.progress.phase
                for key, each in self._connections_by_key.items()
            ]
        return {phase: phases.count(phase) for phase in Phase}
