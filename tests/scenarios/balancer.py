"""Fake of the platform's load balancer, which sends callers to ready nodes."""

from __future__ import annotations

import random
import threading
from typing import TYPE_CHECKING

import attrs
import urllib3

from tests.scenarios.recorder import now_s

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Balancer", "NodeAddress"]

CHECK_INTERVAL_S = 0.05
CHECK_TIMEOUT_S = 0.5


@attrs.frozen(kw_only=True)
class NodeAddress:
    """The name of a node and the URL on which callers reach it."""

    node: str
    url: str


class Balancer:
    """Chooses among ready nodes; checks the readiness of each on its own thread."""

    def __init__(
        self,
        *,
        nodes: list[NodeAddress],
        seed: int,
        on_readiness: Callable[[str, float, bool], None] = lambda *_: None,
    ):
        self._nodes = nodes
        self._random = random.Random(seed)
        self._on_readiness = on_readiness
        self._ready: set[str] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._http = urllib3.PoolManager(retries=False, maxsize=1)

    def start(self) -> None:
        """Start the readiness checks."""
        for node in self._nodes:
            threading.Thread(target=self._watch, args=(node,), daemon=True).start()

    def stop(self) -> None:
        """Stop the readiness checks."""
        self._stopped.set()

    def ready_nodes(self) -> set[str]:
        """Return the nodes whose last readiness check succeeded."""
        with self._lock:
            return set(self._ready)

    def choose(self, *, avoid: frozenset[str] = frozenset()) -> NodeAddress:
        """Choose a ready node at random, preferably one that is not in `avoid`.

        If no node is ready, any node may be chosen.
        """
        with self._lock:
            ready = [node for node in self._nodes if node.node in self._ready]
            usable = [node for node in ready if node.node not in avoid]
            return self._random.choice(usable or ready or self._nodes)

    def address_of(self, node: str) -> NodeAddress:
        """Return a node's address."""
        return next(item for item in self._nodes if item.node == node)

    def _watch(self, node: NodeAddress) -> None:
        while not self._stopped.wait(CHECK_INTERVAL_S):
            checked_s = now_s()
            is_ready = self._check_readiness(node)
            with self._lock:
                (self._ready.add if is_ready else self._ready.discard)(node.node)
            if is_ready is not None:
                self._on_readiness(node.node, checked_s, is_ready)

    def _check_readiness(self, node: NodeAddress) -> bool | None:
        """Return whether a node is ready, or None if it does not answer."""
        try:
            answer = self._http.request(
                "GET", f"{node.url}/readyz", timeout=CHECK_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return None
        return answer.status == 200
