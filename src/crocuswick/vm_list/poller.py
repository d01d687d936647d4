"""Poller of the platform's VM list on a thread of its own."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from result import Err

from crocuswick.vm_list.changes import changed_vms
from crocuswick.vm_list.turn import seconds_until_turn

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from crocuswick.time_line import TimeLine
    from crocuswick.vm_list.changes import VmChange
    from crocuswick.vm_list.client import VmListClient
    from crocuswick.vm_list.listing import VmListing

__all__ = ["VmListPoller"]

STOP_TIMEOUT_S = 3.0
"""Time that `stop` waits for the thread to end."""


class VmListPoller:
    """Reads the VM list in turn with the other nodes of the zone."""

    def __init__(
        self,
        *,
        node_id: str,
        client: VmListClient,
        interval_s: float,
        live_node_ids: Callable[[], Sequence[str]],
        on_list: Callable[[VmListing, tuple[VmChange, ...]], None],
        time_line: TimeLine,
    ):
        """Create the poller; `start` starts it.

        Args:
            node_id: Id of the local node.
            client: Client, owned by the poller's thread from now on.
            interval_s: Time between two reads in the zone, whichever node reads.
            live_node_ids: Returns the live nodes of the local zone.
            on_list: Receives each list that differs from the previous one, with the
                changes; called on the poller's thread and must not block.
            time_line: Records changes.
        """
        self._node_id = node_id
        self._client = client
        self._interval_s = interval_s
        self._live_node_ids = live_node_ids
        self._on_list = on_list
        self._time_line = time_line
        self._listing: VmListing | None = None
        self._is_reachable: bool | None = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="vm-list", daemon=True)

    def start(self) -> None:
        """Start the thread, which reads the list immediately."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling and wait for the thread to end."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(timeout=STOP_TIMEOUT_S)

    def poll(self) -> None:
        """Read the list once and report the changes."""
        fetched = self._client.fetch()
        if isinstance(fetched, Err):
            self._record_reachable(False, detail=str(fetched.err_value))
            return
        self._record_reachable(True, detail="")
        listing = fetched.ok_value
        if self._listing is not None and listing.revision == self._listing.revision:
            return
        changes = changed_vms(self._listing, listing)
        self._listing = listing
        for change in changes:
            self._record(change)
        self._on_list(listing, changes)

    def _run(self) -> None:
        wait_s = 0.0
        while not self._stopped.wait(wait_s):
            self.poll()
            wait_s = seconds_until_turn(
                self._node_id,
                self._live_node_ids(),
                interval_s=self._interval_s,
                clock_s=time.time(),
            )
        self._client.close()

    def _record(self, change: VmChange) -> None:
        previous = change.previous_state or "not listed"
        self._time_line.record(
            kind=f"vm_{change.vm.state}",
            subject=change.vm.id,
            detail=f"{change.vm.kind}, was {previous}",
        )

    def _record_reachable(self, is_reachable: bool, *, detail: str) -> None:
        if is_reachable is self._is_reachable:
            return
        kind = "vm_list_reachable" if is_reachable else "vm_list_unreachable"
        self._time_line.record(kind=kind, detail=detail)
        self._is_reachable = is_reachable
