"""Orders to model engines: absolute wanted states with a fencing token."""

from __future__ import annotations

from enum import StrEnum

import attrs

__all__ = ["EngineState", "Order", "OrderAction", "OrderReceipt"]


class OrderAction(StrEnum):
    """What an engine can be told to do."""

    LOAD_MODEL = "load_model"
    """Serve a version of a model's weights."""

    LOAD_ADAPTER = "load_adapter"
    """Serve an adapter besides its model."""

    SET_ROLE = "set_role"
    """Do prefill, decode or both."""


@attrs.frozen(kw_only=True)
class Order:
    """One order; a repeat changes nothing."""

    order_id: str
    """Id by which the engine reports on the order."""

    fencing_token: int
    """Token of the lease under which the order is sent."""

    action: OrderAction
    """What to do."""

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
    """An engine's answer to an order."""

    accepted: bool
    """Whether the engine took the order; False if the token was too old."""

    highest_token: int = -1
    """Highest token that the engine has seen, if it refused the order."""


@attrs.frozen(kw_only=True)
class EngineState:
    """What orders have led to at an engine."""

    incarnation: str
    """Incarnation of the engine."""

    versions_by_model: dict[str, str]
    """Weights version served for each model."""

    role: str
    """Present role."""

    state: str
    """``ready``, ``loading`` or ``leaving``."""

    highest_token: int
    """Highest fencing token seen."""

    last_order_id: str | None = None
    """Id of the last order taken."""

    failed_order_id: str | None = None
    """Id of the last order that failed."""

    failure: str | None = None
    """Why it failed."""
