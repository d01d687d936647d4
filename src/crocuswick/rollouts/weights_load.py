"""Sends one order to load weights and tracks its result."""

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
"""Delay before the first report is read after an order was accepted; a load takes
about 1 s."""

REPORT_INTERVAL_S = 0.2
NO_EFFECT_TIMEOUT_S = 0.5
"""Time after which an order without effect is abandoned; reports are delayed by less
than that."""

LOAD_TIMEOUT_S = 8.0
"""Time after which a busy engine is no longer polled."""

NO_REPORT_TIMEOUT_S = 2.0
"""Time after which an engine that accepted an order is abandoned if its report can't be
read. It may be loading, and peers send it nothing for that time."""

_FINAL_RESPONSES = (
    OrderResponse.FENCED,
    OrderResponse.REJECTED,
    OrderResponse.MISDIRECTED,
)


@attrs.frozen(kw_only=True)
class LoadResult:
    """Result of an order."""

    is_loaded: bool
    detail: str
    accepted_orders: int | None
    """Number of orders that the engine has accepted, None if it was not reported."""


class WeightsLoad:
    """Sends one order to one engine and waits for it; runs on a worker thread.

    Args:
        orders: Client of the engines.
        replica: The engine.
        order: The order.
        on_busy: Called for each report in which the engine is executing an order.
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
        """Send the order and wait for its effect."""
        started_s = time.monotonic()
        sent = self._orders.order(self._replica, self._order)
        if sent.is_ok():
            response = sent.ok_value
            if response is OrderResponse.ALREADY_SERVED:
                return self._result("already served", is_loaded=True)
            if response in _FINAL_RESPONSES:
                return self._result(response.name.lower())
            detail = response.name.lower()
            is_accepted = response is OrderResponse.ACCEPTED
        else:
            detail = str(sent.err_value)
            is_accepted = False
        time.sleep(FIRST_REPORT_DELAY_S if is_accepted else REPORT_INTERVAL_S)
        return self._watch(started_s, detail, is_accepted=is_accepted)

    def _watch(self, started_s: float, detail: str, *, is_accepted: bool) -> LoadResult:
        while True:
            elapsed_s = time.monotonic() - started_s
            report = self._orders.report(self._replica)
            if report.is_err():
                if not is_accepted or elapsed_s >= NO_REPORT_TIMEOUT_S:
                    return self._result(f"{detail}, then {report.err_value}")
                time.sleep(REPORT_INTERVAL_S)
                continue
            state = report.ok_value
            self._accepted_orders = state.orders
            if self._has_loaded(state):
                return self._result("loaded", is_loaded=True)
            if state.is_busy and elapsed_s < LOAD_TIMEOUT_S:
                self._on_busy()
            elif elapsed_s > NO_EFFECT_TIMEOUT_S:
                return self._result(f"{detail}, no effect")
            time.sleep(REPORT_INTERVAL_S)

    def _has_loaded(self, report: EngineReport) -> bool:
        served = report.weights_by_model.get(self._order.model, 0)
        return served >= self._order.version

    def _result(self, detail: str, *, is_loaded: bool = False) -> LoadResult:
        return LoadResult(
            is_loaded=is_loaded, detail=detail, accepted_orders=self._accepted_orders
        )
