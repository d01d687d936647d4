"""Content of the platform's list of VMs."""

from __future__ import annotations

from enum import StrEnum

import attrs

from crocuswick.nodes.listed_node import PlatformState

__all__ = ["Vm", "VmKind", "VmListing"]


class VmKind(StrEnum):
    """Software that a VM runs."""

    ENTRY = "entry"
    """A node of this system."""

    ENDPOINT = "endpoint"
    """A model engine or a plain service."""


@attrs.frozen(kw_only=True)
class Vm:
    """One VM in the list."""

    id: str
    """Id of the VM."""

    zone: str
    """Availability zone."""

    address: str
    """IP address, or ``host:port``."""

    kind: VmKind
    """Software that it runs."""

    state: PlatformState
    """Whether it is live, leaving or gone."""


@attrs.frozen(kw_only=True)
class VmListing:
    """Complete VM list at one revision."""

    revision: int
    """Revision of the list."""

    vms: tuple[Vm, ...]
    """All VMs."""
