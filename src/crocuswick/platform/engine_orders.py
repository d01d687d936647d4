"""Reports of engines and orders to them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import urllib3
from result import Err, Ok, Result

from crocuswick.platform import _names as names
from crocuswick.platform._engine_call import call, call_error
from crocuswick.rollouts.engine_orders import EngineReport, OrderResponse, WeightsOrder

if TYPE_CHECKING:
    from crocuswick.errors import PeerError
    from crocuswick.relay.replica import Replica

__all__ = ["EngineOrdersClient"]

TIMEOUT = urllib3.Timeout(connect=0.3, read=0.5)
"""Engines answer within some milliseconds; an order's answer may be lost."""

_RESPONSES_BY_STATUS = {
    200: OrderResponse.ALREADY_SERVED,
    202: OrderResponse.ACCEPTED,
    400: OrderResponse.REJECTED,
    409: OrderResponse.CONFLICT,
    412: OrderResponse.FENCED,
    421: OrderResponse.MISDIRECTED,
}


class EngineOrdersClient:
    """Calls engines on new connections."""

    def report(self, replica: Replica) -> Result[EngineReport, PeerError]:
        """Read an engine's report, which is some hundred milliseconds old.

        Args:
            replica: The engine.
        """
        answer = _call("report", replica, "GET", "/report")
        if answer.is_err():
            return answer
        if answer.ok_value.status != 200:
            return Err(
                call_error("report", replica.id, f"status {answer.ok_value.status}")
            )
        try:
            return Ok(_decode_report(json.loads(answer.ok_value.data)))
        except (KeyError, TypeError, ValueError) as error:
            return Err(call_error("decode report", replica.id, str(error)))

    def order(
        self, replica: Replica, order: WeightsOrder
    ) -> Result[OrderResponse, PeerError]:
        """Give an order to load weights.

        Runs finish first; requests that have not begun are rejected meanwhile.

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
        answer = _call("order", replica, "POST", "/order", json.dumps(body).encode())
        if answer.is_err():
            return answer
        meaning = _RESPONSES_BY_STATUS.get(answer.ok_value.status)
        if meaning is None:
            return Err(
                call_error("order", replica.id, f"status {answer.ok_value.status}")
            )
        return Ok(meaning)


def _call(
    step: str, replica: Replica, method: str, path: str, body: bytes | None = None
) -> Result[urllib3.BaseHTTPResponse, PeerError]:
    headers = {names.EXPECTED_REPLICA: replica.id}
    if body is not None:
        headers["Content-Type"] = "application/json"
    return call(
        step,
        replica.id,
        replica.address,
        method=method,
        path=path,
        headers=headers,
        timeout=TIMEOUT,
        body=body,
    )


def _decode_report(value: dict[str, Any]) -> EngineReport:
    return EngineReport(
        weights_by_model={
            model["Name"]: int(model["Version"]) for model in value["Models"]
        },
        is_busy=bool(value["Busy"]),
        # Here the field counts accepted orders; in an entry it counts heartbeats.
        orders=int(value["Sequence"]),
        running=int(value["Running"]),
        queued=int(value["Queued"]),
    )
