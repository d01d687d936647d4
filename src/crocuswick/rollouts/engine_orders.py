"""What the product asks of a client that gives orders to engines."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from result import Result

    from crocuswick.errors import PeerError
    from crocuswick.relay.replica import Replica

__all__ = ["EngineOrders", "EngineReport", "OrderResponse", "WeightsOrder"]


@attrs.frozen(kw_only=True)
class EngineReport:
    """An engine's own account of its orders and load."""

    weights_by_model: Mapping[str, int]
    is_busy: bool
    """Whether it carries out an order."""

    orders: int
    """Number of orders that it has accepted since its start."""

    running: int
    queued: int


@attrs.frozen(kw_only=True)
class WeightsOrder:
    """An order to serve a version of a model's weights."""

    model: str
    version: int
    holder: str
    """Node that gives the order."""

    fencing_token: int
    expected_orders: int
    """Number of orders that the engine must have accepted before."""


class OrderResponse(enum.Enum):
    """What an engine said of an order."""

    ACCEPTED = enum.auto()
    ALREADY_SERVED = enum.auto()
    """The engine serves that version already."""

    CONFLICT = enum.auto()
    """Another order is carried out, or other orders were accepted before."""

    FENCED = enum.auto()
    """A later holder has given orders."""

    REJECTED = enum.auto()
    """The order can't be carried out."""

    MISDIRECTED = enum.auto()
    """Another replica has the address."""


class EngineOrders(Protocol):
    """Reads reports and gives orders."""

    def report(self, replica: Replica) -> Result[EngineReport, PeerError]:
        """Read an engine's report."""

    def order(
        self, replica: Replica, order: WeightsOrder
    ) -> Result[OrderResponse, PeerError]:
        """Give an order; after an error it may be carried out later."""
