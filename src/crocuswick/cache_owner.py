"""Assignment of engines to the nodes that read their cache events.

In a small fleet every node reads the events of every engine. In a larger one each
engine has one owner among the live nodes of its zone, found by rendezvous hashing.
Nodes that disagree on which nodes are live may read the same engine; this is
redundant work, but harmless.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from crocuswick.rendezvous import Rendezvous, stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["MAX_ENDPOINTS_READ_BY_ALL", "cache_owner", "endpoints_to_read"]

MAX_ENDPOINTS_READ_BY_ALL = 16
"""Largest number of endpoints in a domain for which every node reads all of them."""


def cache_owner(endpoint_id: str, *, live_node_ids: Iterable[str]) -> str | None:
    """Return the node that reads an endpoint's cache events.

    Args:
        endpoint_id: The endpoint.
        live_node_ids: Live nodes of the endpoint's zone.

    Returns:
        A node id, or None if no node is live.
    """
    return Rendezvous(members=live_node_ids).choose(stable_hash(endpoint_id))


def endpoints_to_read(
    *, node_id: str, endpoint_ids: Iterable[str], live_node_ids: Iterable[str]
) -> frozenset[str]:
    """Return the endpoints whose cache events a node reads.

    Args:
        node_id: The node.
        endpoint_ids: Endpoints of the node's placement domain.
        live_node_ids: Live nodes of that domain, with or without the node itself.

    Returns:
        All endpoints up to `MAX_ENDPOINTS_READ_BY_ALL`, otherwise those that the
        node owns.
    """
    endpoints = frozenset(endpoint_ids)
    if len(endpoints) <= MAX_ENDPOINTS_READ_BY_ALL:
        return endpoints
    nodes = Rendezvous(members={node_id, *live_node_ids})
    return frozenset(
        endpoint_id
        for endpoint_id in endpoints
        if nodes.choose(stable_hash(endpoint_id)) == node_id
    )
