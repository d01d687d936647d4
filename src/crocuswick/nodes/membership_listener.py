"""Listener for changes and updates received with heartbeats and digests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crocuswick.nodes.node_state import EndpointSignal, NodeStatus, PeerAddress
    from crocuswick.quarantine import CrashReport

__all__ = ["MembershipListener"]


class MembershipListener:
    """Base class for listeners; its methods do nothing unless overridden.

    The methods are called on the membership's thread and must not block; they
    normally post a message to an actor.
    """

    def on_configuration_revision(
        self, node_id: str, address: PeerAddress, revision: int
    ) -> None:
        """Handle a node that has a newer configuration.

        Called again each second until this node has caught up.

        Args:
            node_id: Node that has the newer configuration.
            address: Address from which a snapshot can be requested.
            revision: Configuration revision of that node.
        """

    def on_crash_reports(self, reports: Sequence[CrashReport]) -> None:
        """Handle crashes that other nodes have observed.

        Args:
            reports: Crash reports that were not received before.
        """

    def on_endpoint_signal(self, node_id: str, signal: EndpointSignal) -> None:
        """Handle an endpoint signal from another node.

        Args:
            node_id: Node that sent or forwarded the signal.
            signal: Signal that was not received before.
        """

    def on_node_changed(self, status: NodeStatus) -> None:
        """Handle a change of a node's liveness.

        Args:
            status: The node's new status.
        """

    def on_local_node_leaving(self) -> None:
        """Handle the platform's notice that it is about to remove this node."""
