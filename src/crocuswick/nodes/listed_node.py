"""Entry VMs in the platform's list."""

from __future__ import annotations

from enum import StrEnum

import attrs

__all__ = ["ListedNode", "PlatformState"]


class PlatformState(StrEnum):
    """States of a VM in the platform's list."""

    LIVE = "live"
    """In use."""

    LEAVING = "leaving"
    """About to be removed."""

    GONE = "gone"
    """Removed."""


@attrs.frozen(kw_only=True)
class ListedNode:
    """An entry VM in the platform's list."""

    node_id: str
    """Id of the VM, which is the node's id."""

    zone: str
    """Availability zone of the VM."""

    state: PlatformState
    """State of the VM."""

    host: str = ""
    """IP address of the VM."""

    peer_port: int = 0
    """Port for other nodes, 0 if the platform does not provide it."""
