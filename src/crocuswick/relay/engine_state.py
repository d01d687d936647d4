"""An engine as this node believes it to be."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from crocuswick.relay.replica import Replica

__all__ = ["EngineState"]


@attrs.frozen(kw_only=True)
class EngineState:
    """A replica with models, and what is outstanding there."""

    replica: Replica
    weights_by_model: Mapping[str, int]
    """Version that it is known to serve of each model."""

    prefill_tokens: int
    """Outstanding prompt tokens, which an order to load would wait for."""
