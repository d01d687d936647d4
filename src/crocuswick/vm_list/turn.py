"""Round-robin schedule by which the nodes of a zone read the platform's VM list.

The list grows with the fleet, so reading it on each node every second would cost
too much. The nodes of a zone read it in turn and share the changes in their
heartbeats.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["seconds_until_turn"]


def seconds_until_turn(
    node_id: str, live_node_ids: Sequence[str], *, interval_s: float, clock_s: float
) -> float:
    """Return the time until a node's next turn in seconds.

    Args:
        node_id: The node.
        live_node_ids: Live nodes of its zone; the node itself is added if it is
            missing.
        interval_s: Time between two reads in the zone, whichever node reads.
        clock_s: Wall clock, in s; the nodes' clocks need to agree only roughly.

    Returns:
        A time above 0 and at most one round of all nodes.
    """
    members = sorted({*live_node_ids, node_id})
    round_s = interval_s * len(members)
    offset_s = interval_s * members.index(node_id)
    return round_s - (clock_s - offset_s) % round_s
