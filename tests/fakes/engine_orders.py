"""What the engine stand-in serves, and the orders that change it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tests.fakes.http_service import Reply

if TYPE_CHECKING:
    from tests.fakes.engine_messages import LoadEnded, Order

__all__ = ["OrderBook"]


class OrderBook:
    """Models, adapters, role, and the state of the last orders."""

    def __init__(self, *, version_by_model: dict[str, str], check_tokens: bool):
        self.version_by_model = version_by_model
        self.role = "both"
        self._check_tokens = check_tokens
        self._adapters: list[str] = []
        self._highest_token = -1
        self._last_order_id: str | None = None
        self._failed_order_id: str | None = None
        self._failure: str | None = None
        self._loading: Order | None = None
        self._loaded: Order | None = None

    @property
    def is_loading(self) -> bool:
        """Whether weights are on their way or wait to be switched to."""
        return self._loading is not None

    def is_fenced(self, order: Order) -> bool:
        """Tell whether an order's token is too old for this engine."""
        return self._check_tokens and order.fencing_token < self._highest_token

    def fenced_reply(self) -> Reply:
        """Return the answer to a fenced order."""
        body = {"error": "fenced", "highest": self._highest_token}
        return Reply(status=409, body=body)

    def accept(self, order: Order, *, must_fail: bool) -> bool:
        """Take an order.

        Args:
            order: The order.
            must_fail: Whether a fault makes it fail.

        Returns:
            Whether weights have to be loaded now.
        """
        self._highest_token = max(self._highest_token, order.fencing_token)
        self._last_order_id = order.order_id
        if must_fail:
            self._fail(order, "told to fail by a fault")
            return False
        if order.action == "set_role":
            self.role = order.role
        elif order.action == "load_adapter":
            self._add_adapter(order.adapter)
        elif order.action == "load_model":
            return self._begin_load(order)
        return False

    def end_load(self, message: LoadEnded) -> None:
        """Note that weights have arrived or failed, unless a later order came."""
        if message.order is not self._loading:
            return
        if message.failure:
            self._fail(message.order, message.failure)
            self._loading = None
        else:
            self._loaded = message.order

    def switch(self) -> bool:
        """Serve weights that have arrived; tells whether there were any."""
        order = self._loaded
        if order is None:
            return False
        self.version_by_model[order.model] = order.weights_version
        self.abandon_load()
        return True

    def abandon_load(self) -> None:
        """Forget a load that has not been switched to."""
        self._loading = self._loaded = None

    def state(self) -> dict[str, Any]:
        """Return what orders have led to."""
        return {
            "models": dict(self.version_by_model),
            "adapters": list(self._adapters),
            "role": self.role,
            "highest_token": self._highest_token,
            "last_order_id": self._last_order_id,
            "failed_order_id": self._failed_order_id,
            "failure": self._failure,
        }

    def _add_adapter(self, adapter: str) -> None:
        if adapter not in self._adapters:
            self._adapters.append(adapter)

    def _begin_load(self, order: Order) -> bool:
        loading = self._loading
        wanted = (order.model, order.weights_version)
        if loading and (loading.model, loading.weights_version) == wanted:
            return False
        if self.version_by_model.get(order.model) == order.weights_version:
            # The wanted state is the present one: a load elsewhere is dropped.
            self.abandon_load()
            return False
        self._loading = order
        self._loaded = None
        return True

    def _fail(self, order: Order, failure: str) -> None:
        self._failed_order_id = order.order_id
        self._failure = failure
