"""Client that reads the reports of engines and sends orders to them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import urllib3
from result import Err, Ok, Result

from crocuswick.malformed import MALFORMED
from crocuswick.platform import _names as names
from crocuswick.platform._availability import decode_availability
from crocuswick.platform._engine_call import call, call_error
from crocuswick.relay.replica import Availability
from crocuswick.rollouts.engine_orders import EngineReport, OrderResponse, WeightsOrder

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.bounded_answer import Answer
    from crocuswick.errors import PeerError
    from crocuswick.relay.replica import Replica

__all__ = ["EngineOrdersClient"]

TIMEOUT = urllib3.Timeout(connect=0.3, read=0.5)
"""In seconds. Engines respond within milliseconds, but the response to an order may be
lost."""

_RESPONSES_BY_STATUS = {
    200: OrderResponse.ALREADY_SERVED,
    202: OrderResponse.ACCEPTED,
    400: OrderResponse.REJECTED,
    409: OrderResponse.CONFLICT,
    412: OrderResponse.FENCED,
    421: OrderResponse.MISDIRECTED,
}


class EngineOrdersClient:
    """Calls engines, each time on a new connection."""

    def __init__(self):
        self._callbacks: list[Callable[[Replica, Availability], None]] = []

    def on_availability(
        self, callback: Callable[[Replica, Availability], None]
    ) -> None:
        """Register a function that is called if a response names an availability."""
        self._callbacks.append(callback)

    def report(self, replica: Replica) -> Result[EngineReport, PeerError]:
        """Read an engine's report, which may be some hundred milliseconds old.

        Args:
            replica: The engine.

        Returns:
            The report, or an error if it can't be read or is that of another run.
        """
        response = self._call("report", replica, "GET", "/report")
        if response.is_err():
            return response
        if response.ok_value.status != 200:
            return Err(
                call_error("report", replica.id, f"status {response.ok_value.status}")
            )
        try:
            value = json.loads(response.ok_value.data)
            # A replica that starts again may keep its id, but knows nothing of before.
            if value.get("born", replica.started_ms) != replica.started_ms:
                return Err(call_error("report", replica.id, "it has started again"))
            return Ok(_decode_report(value))
        except MALFORMED as error:
            return Err(call_error("decode report", replica.id, str(error)))

    def order(
        self, replica: Replica, order: WeightsOrder
    ) -> Result[OrderResponse, PeerError]:
        """Send an order to load weights.

        The engine first finishes running requests. In the meantime, it rejects those
        that have not started.

        Args:
            replica: The engine.
            order: The order.
        """
        body = {
            "Op": "Version",
            "Model": order.model,
            "Version": order.version,
            "SwapMode": "queue",
            "Holder": order.holder,
            "Fence": order.fencing_token,
            "Expected": order.expected_orders,
        }
        data = json.dumps(body).encode()
        response = self._call("order", replica, "POST", "/order", data)
        if response.is_err():
            return response
        order_response = _RESPONSES_BY_STATUS.get(response.ok_value.status)
        if order_response is None:
            return Err(
                call_error("order", replica.id, f"status {response.ok_value.status}")
            )
        return Ok(order_response)

    def _call(
        self,
        step: str,
        replica: Replica,
        method: str,
        path: str,
        body: bytes | None = None,
    ) -> Result[Answer, PeerError]:
        headers = {names.EXPECTED_REPLICA: replica.id}
        if body is not None:
            headers["Content-Type"] = "application/json"
        called = call(
            step,
            replica.id,
            replica.address,
            method=method,
            path=path,
            headers=headers,
            timeout=TIMEOUT,
            body=body,
        )
        if called.is_ok():
            self._report_availability(replica, called.ok_value)
        return called

    def _report_availability(self, replica: Replica, response: Answer) -> None:
        availability = decode_availability(response.status, response.headers.items())
        is_other = response.headers.get(names.REPLICA_ID, replica.id) != replica.id
        if is_other or availability == Availability():
            return
        for callback in self._callbacks:
            callback(replica, availability)


def _decode_report(value: dict[str, Any]) -> EngineReport:
    return EngineReport(
        weights_by_model={
            model["Name"]: int(model["Version"]) for model in value["Models"]
        },
        is_busy=bool(value["Busy"]),
        # In a report the field counts accepted orders, in an entry heartbeats.
        orders=int(value["Sequence"]),
        running=int(value["Running"]),
        queued=int(value["Queued"]),
    )
