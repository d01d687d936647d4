"""Registers a node in the store at its start and reads the other nodes' addresses."""

from __future__ import annotations

import json
import random
import threading
from typing import TYPE_CHECKING

import logbook

from crocuswick.gossip.messages import NodeAddress
from crocuswick.host_port import HostPort
from crocuswick.malformed import MALFORMED

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.records.mirror import KeyedRecord
    from crocuswick.records.store import RecordStore

__all__ = ["NodeRegistry", "decode_node"]

logger = logbook.Logger(__name__)

RETRY_S = 2.0
"""Mean pause between attempts while the store does not respond."""

REWRITE_SPREAD_S = 3.0
"""Time over which the nodes of a fleet write their addresses again after the store has
returned from an older copy, so that it is not called by all at once."""


class NodeRegistry:
    """Writes this node's address to the store and reads those of the others.

    All seeds may be unreachable when a node starts. The nodes found in the store then
    connect to it and send it the addresses of the rest.

    Args:
        own: This node.
        topic: Keyed topic of the addresses.
        store: Client of the store, used by this thread only.
        on_nodes: Called with the addresses that were read.
    """

    def __init__(
        self,
        *,
        own: NodeAddress,
        topic: str,
        store: RecordStore,
        on_nodes: Callable[[tuple[NodeAddress, ...]], None],
    ):
        self._own = own
        self._topic = topic
        self._store = store
        self._on_nodes = on_nodes
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._thread = threading.Thread(
            target=self._run_steps,
            args=([self._read_others, self._write_own], 0.0),
            name="node-registry",
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread, which ends after the addresses are read and written."""
        self._thread.start()

    def stop(self) -> None:
        """Stop retrying."""
        self._stopped.set()

    def write_again(self) -> None:
        """Write this node's address again, because the store may have lost it."""
        pause_s = REWRITE_SPREAD_S * random.random()
        self._thread = threading.Thread(
            target=self._run_steps,
            args=([self._write_own], pause_s),
            name="node-registry",
            daemon=True,
        )
        self._thread.start()

    def _run_steps(self, steps: list[Callable[[], bool]], pause_s: float) -> None:
        self._stopped.wait(pause_s)
        # A client of the store serves one thread at a time.
        with self._lock:
            self._retry_steps(steps)

    def _retry_steps(self, steps: list[Callable[[], bool]]) -> None:
        while steps and not self._stopped.is_set():
            if steps[0]():
                steps.pop(0)
            else:
                self._stopped.wait(RETRY_S * random.uniform(0.5, 1.5))

    def _read_others(self) -> bool:
        listed = self._store.list_newest(self._topic)
        if listed.is_err():
            logger.debug(
                "reading node addresses from the store failed: {}", listed.err_value
            )
            return False
        nodes = [decode_node(record) for record in listed.ok_value.records]
        self._on_nodes(tuple(node for node in nodes if node is not None))
        return True

    def _write_own(self) -> bool:
        value = json.dumps({"zone": self._own.zone, "address": self._own.address})
        written = self._store.append_keyed(
            self._topic, self._own.node_id, value.encode()
        )
        if written.is_err():
            logger.debug(
                "writing this node's address to the store failed: {}", written.err_value
            )
        return written.is_ok()


def decode_node(record: KeyedRecord) -> NodeAddress | None:
    """Decode a node's address record, or return None if it is malformed."""
    try:
        value = json.loads(record.value or b"")
        zone, address = value["zone"], value["address"]
        is_address = HostPort.try_parse(address) is not None
    except MALFORMED:
        return None
    if not (isinstance(zone, str) and is_address):
        return None
    return NodeAddress(node_id=record.key, zone=zone, address=address)
