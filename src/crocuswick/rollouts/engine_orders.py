"""Interface of a client that sends orders to engines."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from crocuswick.errors import PeerError
    from crocuswick.relay.replica import Availability, Replica

__all__ = ["EngineOrders", "EngineReport", "OrderResponse", "WeightsOrder"]


@attrs.frozen(kw_only=True)
class EngineReport:
    """State that an engine reports: its weights, orders and load."""

    weights_by_model: Mapping[str, int]
    is_busy: bool
    """Whether the engine is executing an order."""

    orders: int
    """Number of orders accepted since the engine started."""

    running: int
    queued: int


@attrs.frozen(kw_only=True)
class WeightsOrder:
    """An order to serve a version of a model's weights."""

    model: str
    version: int
    holder: str
    """Node that sends the order."""

    fencing_token: int
    expected_orders: int
    """Number of orders that the engine must have accepted before this one."""


class OrderResponse(enum.Enum):
    """Response of an engine to an order."""

    ACCEPTED = enum.auto()
    ALREADY_SERVED = enum.auto()
    """The engine already serves that version."""

    CONFLICT = enum.auto()
    """Another order is being executed, or the number of accepted orders differs."""

    FENCED = enum.auto()
    """An order with a higher fencing token was accepted before."""

    REJECTED = enum.auto()
    """The order can't be executed."""

    MISDIRECTED = enum.auto()
    """The address now belongs to another replica."""


class EngineOrders(Protocol):
    """Reads reports and sends orders."""

    def on_availability(
        self, callback: Callable[[Replica, Availability], None]
    ) -> None:
        """Register a function that is called if a response names an availability."""

    def report(self, replica: Replica) -> Result[EngineReport, PeerError]:
        """Read an engine's report."""

    def order(
        self, replica: Replica, order: WeightsOrder
    ) -> Result[OrderResponse, PeerError]:
        """Send an order; after an error it may still be executed later."""
