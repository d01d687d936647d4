"""Changes between two VM lists and their effect on nodes and endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.nodes.listed_node import ListedNode, PlatformState
from crocuswick.nodes.node_state import (
    EndpointSignal,
    EndpointSignalKind,
    PeerAddress,
)
from crocuswick.vm_list.listing import Vm, VmKind, VmListing

__all__ = ["VmChange", "entry_nodes", "leaving_signals"]

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen(kw_only=True)
class VmChange:
    """VM whose state differs from that in the previous list."""

    vm: Vm
    """The VM as it is listed now."""

    previous_state: PlatformState | None
    """Its state in the previous list, or None if it was not listed."""


def entry_nodes(vms: Iterable[Vm]) -> tuple[ListedNode, ...]:
    """Return the entry VMs as nodes for the membership.

    Args:
        vms: All VMs of a list.
    """
    return tuple(_entry_node(vm) for vm in vms if vm.kind is VmKind.ENTRY)


def changed_vms(previous: VmListing | None, now: VmListing) -> tuple[VmChange, ...]:
    """Return the VMs whose state differs between two lists.

    Args:
        previous: The previous list, or None if this is the first.
        now: The new list.
    """
    previous_vms = previous.vms if previous else ()
    states_by_id = {vm.id: vm.state for vm in previous_vms}
    return tuple(
        VmChange(vm=vm, previous_state=states_by_id.get(vm.id))
        for vm in now.vms
        if states_by_id.get(vm.id) is not vm.state
    )


def leaving_signals(changes: Iterable[VmChange]) -> tuple[EndpointSignal, ...]:
    """Return signals for VMs that are now leaving or gone, to send to other nodes.

    Entry VMs are included because another node may read the list earlier than the
    one that is leaving.

    Args:
        changes: Changes between the previous and the new list.
    """
    return tuple(
        EndpointSignal(endpoint_id=change.vm.id, kind=EndpointSignalKind.LEAVING)
        for change in changes
        if change.vm.state is not PlatformState.LIVE
        and (change.previous_state is PlatformState.LIVE or _is_leaving(change.vm))
    )


def _is_leaving(vm: Vm) -> bool:
    return vm.state is PlatformState.LEAVING


def _entry_node(vm: Vm) -> ListedNode:
    address = PeerAddress.parse(vm.address, default_port=0)
    return ListedNode(
        node_id=vm.id,
        zone=vm.zone,
        state=vm.state,
        host=address.host,
        peer_port=address.port,
    )
