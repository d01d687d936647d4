"""The models that the fake engine serves, and the orders that change them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tests.fakes.http_service import Reply

if TYPE_CHECKING:
    from tests.fakes.engine_messages import LoadEnded, Order

__all__ = ["ServingState"]


class ServingState:
    """Served models, adapters and role, and the state of the last orders."""

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
        """Whether weights are being loaded, or are loaded but not served yet."""
        return self._loading is not None

    def is_fenced(self, order: Order) -> bool:
        """Return whether an order's fencing token is outdated."""
        return self._check_tokens and order.fencing_token < self._highest_token

    def fenced_reply(self) -> Reply:
        """Return the response to an order with an outdated fencing token."""
        body = {"error": "fenced", "highest": self._highest_token}
        return Reply(status=409, body=body)

    def accept(self, order: Order, *, must_fail: bool) -> bool:
        """Accept an order.

        Args:
            order: The order.
            must_fail: Whether the fault settings make the order fail.

        Returns:
            Whether weights must be loaded.
        """
        self._highest_token = max(self._highest_token, order.fencing_token)
        self._last_order_id = order.order_id
        if must_fail:
            self._fail(order, "failed by the fault settings")
            return False
        if order.action == "set_role":
            self.role = order.role
        elif order.action == "load_adapter":
            self._add_adapter(order.adapter)
        elif order.action == "load_model":
            return self._begin_load(order)
        return False

    def end_load(self, message: LoadEnded) -> None:
        """Record the end of a load, unless a later order has replaced it."""
        if message.order is not self._loading:
            return
        if message.failure:
            self._fail(message.order, message.failure)
            self._loading = None
        else:
            self._loaded = message.order

    def switch(self) -> bool:
        """Serve the loaded weights, and return whether there were any."""
        order = self._loaded
        if order is None:
            return False
        self.version_by_model[order.model] = order.weights_version
        self.discard_load()
        return True

    def discard_load(self) -> None:
        """Discard a load whose weights are not served yet."""
        self._loading = self._loaded = None

    def state(self) -> dict[str, Any]:
        """Return what is served and the state of the last orders."""
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
            # The version is already served: a load of another one is discarded.
            self.discard_load()
            return False
        self._loading = order
        self._loaded = None
        return True

    def _fail(self, order: Order, failure: str) -> None:
        self._failed_order_id = order.order_id
        self._failure = failure
