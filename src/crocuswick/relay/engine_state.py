"""Snapshot of an engine as known to this node."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from crocuswick.relay.replica import Replica

__all__ = ["EngineState"]


@attrs.frozen(kw_only=True)
class EngineState:
    """A replica with models and its outstanding work."""

    replica: Replica
    weights_by_model: Mapping[str, int]
    """Served version of each model, 0 if unknown."""

    prefill_tokens: int
    """Outstanding prompt tokens; an order to load weights waits for them."""

    unwanted_for_s: float = 0.0
    """Time for which the engine wants no requests from this node, orders included."""
