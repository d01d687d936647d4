"""Client for control orders to one engine and for the resulting state."""

from __future__ import annotations

from typing import Any

import attrs
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from crocuswick.bounded_answer import bounded_pool
from crocuswick.errors import PeerError
from crocuswick.host_port import HostPort
from crocuswick.malformed import MALFORMED
from crocuswick.orders import EngineState, Order, OrderReceipt
from crocuswick.outcome import Outcome

__all__ = ["OrderClient"]

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
_HTTP_OK = 200
_HTTP_CONFLICT = 409


class OrderClient:
    """Sends orders to one engine and reads its state, each on a new connection.

    Args:
        endpoint_id: Id used in errors.
        address: ``host:port``.
    """

    def __init__(self, *, endpoint_id: str, address: str):
        self._endpoint_id = endpoint_id
        self._peer = HostPort.parse(address)

    def send(self, order: Order) -> Result[OrderReceipt, PeerError]:
        """Send an order.

        Args:
            order: The order.

        Returns:
            The receipt, or an error. If the error's outcome is ``unknown``, read the
            engine's state to find out whether the order was applied.
        """
        body = {
            name: value
            for name, value in attrs.asdict(order).items()
            if value is not None
        }
        result = self._call("POST", "orders", "order", json=body)
        if result.is_err():
            return result
        response = result.unwrap()
        if response.status == _HTTP_CONFLICT:
            return self._decode(response, "order", _fenced_receipt)
        if response.status != _HTTP_OK:
            return self._error("order", f"status {response.status}")
        return Ok(OrderReceipt(accepted=True))

    def state(self) -> Result[EngineState, PeerError]:
        """Read the engine's state, which shows the effect of orders."""
        result = self._call("GET", "state", "state")
        if result.is_err():
            return result
        response = result.unwrap()
        if response.status != _HTTP_OK:
            return self._error("state", f"status {response.status}")
        return self._decode(response, "state", _engine_state)

    def _call(
        self, method: str, path: str, step: str, **arguments: Any
    ) -> Result[urllib3.BaseHTTPResponse, PeerError]:
        # An idle connection may have been lost unnoticed; each call opens a new one.
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        with bounded_pool(self._peer.host, self._peer.port) as pool:
            try:
                return Ok(
                    pool.request(method, f"/v1/{path}", timeout=timeout, **arguments)
                )
            except (NewConnectionError, ConnectTimeoutError) as error:
                return self._error(step, str(error), outcome=Outcome.NOT_RUN)
            except HTTPError as error:
                return self._error(step, str(error))

    def _decode(
        self, response: urllib3.BaseHTTPResponse, step: str, convert: Any
    ) -> Result[Any, PeerError]:
        try:
            return Ok(convert(response.json()))
        except MALFORMED as error:
            return self._error(step, f"invalid response: {error!r}")

    def _error(
        self, step: str, detail: str, *, outcome: Outcome = Outcome.UNKNOWN
    ) -> Err[PeerError]:
        peer = self._endpoint_id
        return Err(PeerError(step=step, peer=peer, detail=detail, outcome=outcome))


def _fenced_receipt(body: dict[str, Any]) -> OrderReceipt:
    return OrderReceipt(accepted=False, highest_token=int(body["highest"]))


def _engine_state(body: dict[str, Any]) -> EngineState:
    return EngineState(
        incarnation=body["incarnation"],
        versions_by_model=dict(body["models"]),
        role=body["role"],
        state=body["state"],
        highest_token=int(body["highest_token"]),
        last_order_id=body.get("last_order_id"),
        failed_order_id=body.get("failed_order_id"),
        failure=body.get("failure"),
    )
