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

    from crocuswick.configuration import Configuration, ConfigurationStore
    from crocuswick.placement import EndpointStatus
    from crocuswick.rollout_controller import RolloutController

__all__ = ["ServedConfiguration", "count_ready_replicas"]

REFRESH_INTERVAL_S = 0.25
MIN_REFRESH_INTERVAL_S = 0.02
READY_STATE = "ready"


class ServedConfiguration:
    """Component that determines which weights callers get during a rollout.

    Args:
        configuration_store: Provides the current configuration.
        rollout_controller: Provides the rollouts.
        dispatcher: Actor that reports the state of the endpoints.
    """

    def __init__(
        self,
        *,
        configuration_store: ConfigurationStore,
        rollout_controller: RolloutController,
        dispatcher: pykka.ActorRef,
    ):
        self._configuration_store = configuration_store
        self._rollout_controller = rollout_controller
        self._dispatcher = dispatcher
        self._current = configuration_store.current
        self._refreshed_s = 0.0
        self._ticker = Ticker(
            name="served-configuration",
            interval_s=REFRESH_INTERVAL_S,
            callback=self.refresh,
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
            self._configuration_store.current,
            rollouts=self._rollout_controller.rollouts,
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
