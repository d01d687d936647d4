"""Maintains the configuration that applies to callers' requests."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from crocuswick.actor import Ticker
from crocuswick.dispatcher import Dispatcher
from crocuswick.served_versions import ServedWeights, configuration_for_callers

if TYPE_CHECKING:
    from collections.abc import Iterable

    import pykka

    from crocuswick.configuration import Configuration, ConfigurationKeeper
    from crocuswick.placement import EndpointStatus
    from crocuswick.rollout_controller import OrderKeeper

__all__ = ["ServedConfiguration", "count_ready_replicas"]

REFRESH_INTERVAL_S = 0.25
MIN_REFRESH_INTERVAL_S = 0.02
READY_STATE = "ready"


class ServedConfiguration:
    """Component that determines which weights callers get during a rollout.

    Args:
        keeper: Provides the current configuration.
        orders: Provides the rollouts.
        dispatcher: Actor that reports the state of the endpoints.
    """

    def __init__(
        self,
        *,
        keeper: ConfigurationKeeper,
        orders: OrderKeeper,
        dispatcher: pykka.ActorRef,
    ):
        self._keeper = keeper
        self._orders = orders
        self._dispatcher = dispatcher
        self._current = keeper.current
        self._refreshed_s = 0.0
        self._ticker = Ticker(
            name="served-configuration",
            interval_s=REFRESH_INTERVAL_S,
            call=self.refresh,
        )

    @property
    def current(self) -> Configuration:
        """The configuration for callers' requests."""
        return self._current

    def start(self) -> None:
        """Start refreshing."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop refreshing."""
        self._ticker.stop()

    def latest(self) -> Configuration:
        """Return the configuration for callers' requests, at most 20 ms old."""
        if time.monotonic() - self._refreshed_s > MIN_REFRESH_INTERVAL_S:
            self.refresh()
        return self._current

    def refresh(self) -> None:
        """Recompute the configuration."""
        self._refreshed_s = time.monotonic()
        statuses = self._dispatcher.ask(Dispatcher.DescribeEndpoints())
        self._current = configuration_for_callers(
            self._keeper.current,
            rollouts=self._orders.rollouts,
            ready_replicas_by_weights=count_ready_replicas(statuses),
        )


def count_ready_replicas(statuses: Iterable[EndpointStatus]) -> Counter[ServedWeights]:
    """Return the number of ready replicas per weights version."""
    return Counter(
        ServedWeights(pool=status.pool, model=model, weights_version=version)
        for status in statuses
        if status.state == READY_STATE and not status.is_leaving
        for model, version in status.weights_versions_by_model.items()
    )
