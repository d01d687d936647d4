"""What a new list of VMs means for nodes and endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.nodes.node_state import (
    EndpointSignal,
    EndpointSignalKind,
    PeerAddress,
)
from crocuswick.nodes.platform_node import PlatformNode, PlatformState
from crocuswick.vm_list.listing import Vm, VmKind, VmListing

__all__ = ["VmChange", "entry_nodes", "leaving_signals"]

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen(kw_only=True)
class VmChange:
    """A VM whose state differs from that in the list before."""

    vm: Vm
    """The VM as it is listed now."""

    before: PlatformState | None
    """Its state in the list before, or None if it was not listed."""


def entry_nodes(vms: Iterable[Vm]) -> tuple[PlatformNode, ...]:
    """Return the entry VMs as nodes for the membership.

    Args:
        vms: All VMs of a list.
    """
    return tuple(_entry_node(vm) for vm in vms if vm.kind is VmKind.ENTRY)


def changed_vms(before: VmListing | None, now: VmListing) -> tuple[VmChange, ...]:
    """Return the VMs whose state differs between two lists.

    Args:
        before: The list before, or None if this is the first.
        now: The new list.
    """
    vms_before = before.vms if before else ()
    states_by_id = {vm.id: vm.state for vm in vms_before}
    return tuple(
        VmChange(vm=vm, before=states_by_id.get(vm.id))
        for vm in now.vms
        if states_by_id.get(vm.id) is not vm.state
    )


def leaving_signals(changes: Iterable[VmChange]) -> tuple[EndpointSignal, ...]:
    """Return news of VMs that are now leaving or gone, to be told to other nodes.

    Entry VMs are told too: another node may read the list earlier than the one
    that is leaving.

    Args:
        changes: Changes of the list.
    """
    return tuple(
        EndpointSignal(endpoint_id=change.vm.id, kind=EndpointSignalKind.LEAVING)
        for change in changes
        if change.vm.state is not PlatformState.LIVE
        and (change.before is PlatformState.LIVE or _is_leaving(change.vm))
    )


def _is_leaving(vm: Vm) -> bool:
    return vm.state is PlatformState.LEAVING


def _entry_node(vm: Vm) -> PlatformNode:
    address = PeerAddress.parse(vm.address, default_port=0)
    return PlatformNode(
        node_id=vm.id,
        zone=vm.zone,
        state=vm.state,
        host=address.host,
        peer_port=address.port,
    )
