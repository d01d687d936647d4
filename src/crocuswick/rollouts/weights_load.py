"""Gives one order to load weights and watches what becomes of it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs

from crocuswick.rollouts.engine_orders import OrderResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.relay.replica import Replica
    from crocuswick.rollouts.engine_orders import (
        EngineOrders,
        EngineReport,
        WeightsOrder,
    )

__all__ = ["LoadResult", "WeightsLoad"]

FIRST_REPORT_DELAY_S = 0.7
"""Time before an engine that took an order is first asked; loads take about a second."""

REPORT_INTERVAL_S = 0.2
NO_EFFECT_TIMEOUT_S = 0.5
"""Time after which an order without effect is given up; reports lag by a part of it."""

LOAD_TIMEOUT_S = 8.0
"""Time after which an engine that is still busy is left to itself."""

_FINAL = (OrderResponse.FENCED, OrderResponse.REJECTED, OrderResponse.MISDIRECTED)


@attrs.frozen(kw_only=True)
class LoadResult:
    """What became of an order."""

    is_loaded: bool
    detail: str
    accepted_orders: int | None
    """Orders that the engine has accepted, None where it did not say."""


class WeightsLoad:
    """One order to one engine, run by a worker thread.

    Args:
        orders: Client of the engines.
        replica: The engine.
        order: The order.
        on_busy: Called at each report of an engine that carries out an order.
    """

    def __init__(
        self,
        *,
        orders: EngineOrders,
        replica: Replica,
        order: WeightsOrder,
        on_busy: Callable[[], None],
    ):
        self._orders = orders
        self._replica = replica
        self._order = order
        self._on_busy = on_busy
        self._accepted_orders: int | None = None

    def run(self) -> LoadResult:
        """Give the order and wait for its effect."""
        started_s = time.monotonic()
        given = self._orders.order(self._replica, self._order)
        if given.is_ok():
            answer = given.ok_value
            if answer is OrderResponse.ALREADY_SERVED:
                return self._result("held already", is_loaded=True)
            if answer in _FINAL:
                return self._result(answer.name.lower())
            detail = answer.name.lower()
            is_accepted = answer is OrderResponse.ACCEPTED
        else:
            detail = str(given.err_value)
            is_accepted = False
        time.sleep(FIRST_REPORT_DELAY_S if is_accepted else REPORT_INTERVAL_S)
        return self._watch(started_s, detail)

    def _watch(self, started_s: float, detail: str) -> LoadResult:
        while True:
            passed_s = time.monotonic() - started_s
            report = self._orders.report(self._replica)
            if report.is_err():
                return self._result(f"{detail}, then {report.err_value}")
            state = report.ok_value
            self._accepted_orders = state.orders
            if self._has_loaded(state):
                return self._result("loaded", is_loaded=True)
            if state.is_busy and passed_s < LOAD_TIMEOUT_S:
                self._on_busy()
            elif passed_s > NO_EFFECT_TIMEOUT_S:
                return self._result(f"{detail}, no effect")
            time.sleep(REPORT_INTERVAL_S)

    def _has_loaded(self, report: EngineReport) -> bool:
        served = report.weights_by_model.get(self._order.model, 0)
        return served >= self._order.version

    def _result(self, detail: str, *, is_loaded: bool = False) -> LoadResult:
        return LoadResult(
            is_loaded=is_loaded, detail=detail, accepted_orders=self._accepted_orders
        )
