"""Orders to model engines: a desired state, not a change, with a fencing token."""

from __future__ import annotations

from enum import StrEnum

import attrs

__all__ = ["EngineState", "Order", "OrderAction", "OrderReceipt"]


class OrderAction(StrEnum):
    """What an order asks an engine to do."""

    LOAD_MODEL = "load_model"
    """Serve a version of a model's weights."""

    LOAD_ADAPTER = "load_adapter"
    """Serve an adapter in addition to its model."""

    SET_ROLE = "set_role"
    """Run prefill, decode or both."""


@attrs.frozen(kw_only=True)
class Order:
    """One idempotent order to an engine."""

    order_id: str
    """Id under which the engine reports the result."""

    fencing_token: int
    """Token of the lease under which the order is sent."""

    action: OrderAction
    """Requested action."""

    model: str
    """Name of the model at the engine."""

    weights_version: str
    """Version of the weights."""

    adapter: str | None = None
    """Adapter, for `OrderAction.LOAD_ADAPTER`."""

    role: str | None = None
    """Role, for `OrderAction.SET_ROLE`."""


@attrs.frozen(kw_only=True)
class OrderReceipt:
    """An engine's response to an order."""

    accepted: bool
    """Whether the engine accepted the order; False if the token was stale."""

    highest_token: int = -1
    """Highest token that the engine has seen, if it rejected the order."""


@attrs.frozen(kw_only=True)
class EngineState:
    """The state that an engine reports, including the results of orders."""

    incarnation: str
    """Id of the engine's current run, different after each restart."""

    versions_by_model: dict[str, str]
    """Weights version served for each model."""

    role: str
    """Current role."""

    state: str
    """``ready``, ``loading`` or ``leaving``."""

    highest_token: int
    """Highest fencing token seen."""

    last_order_id: str | None = None
    """Id of the last accepted order."""

    failed_order_id: str | None = None
    """Id of the last order that failed."""

    failure: str | None = None
    """Reason for that failure."""
