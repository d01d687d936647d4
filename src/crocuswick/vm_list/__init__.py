"""Client of the platform's list of live and leaving VMs."""

from __future__ import annotations

from crocuswick.vm_list.changes import VmChange, entry_nodes, leaving_signals
from crocuswick.vm_list.client import VmListClient
from crocuswick.vm_list.listing import Vm, VmKind, VmListing
from crocuswick.vm_list.poller import VmListPoller

__all__ = [
    "Vm",
    "VmChange",
    "VmKind",
    "VmListClient",
    "VmListPoller",
    "VmListing",
    "entry_nodes",
    "leaving_signals",
]
