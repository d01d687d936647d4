"""Receiver of the news that heartbeats and digests bring."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crocuswick.nodes.node_state import EndpointSignal, NodeStatus, PeerAddress
    from crocuswick.quarantine import CrashReport

__all__ = ["MembershipListener"]


class MembershipListener:
    """Base class whose methods do nothing; override the wanted ones.

    They are called on the membership's thread and must return at once, as a rule
    by telling an actor.
    """

    def on_configuration_revision(
        self, node_id: str, address: PeerAddress, revision: int
    ) -> None:
        """Take note of a node that has a newer configuration.

        Called again each second until this node has caught up.

        Args:
            node_id: Node that has it.
            address: Where it can be asked for a snapshot.
            revision: Its revision.
        """

    def on_quarantine(self, reports: Sequence[CrashReport]) -> None:
        """Take note of crashes seen by other nodes.

        Args:
            reports: Crashes that were not reported before.
        """

    def on_endpoint_signal(self, node_id: str, signal: EndpointSignal) -> None:
        """Take note of news of an endpoint seen by another node.

        Args:
            node_id: Node that passed the news on.
            signal: The news, which were not reported before.
        """

    def on_node_changed(self, status: NodeStatus) -> None:
        """Take note of a change of what is believed of a node.

        Args:
            status: The node's new status.
        """

    def on_own_node_leaving(self) -> None:
        """Take note that the platform is about to take this node away."""
