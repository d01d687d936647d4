"""Rolls out the configured weights to the engines, under a lease in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from crocuswick._rollout_actor import LEASES_STREAM, RolloutActor, Tick
from crocuswick.actor import Ticker
from crocuswick.platform_log import LogClient, LogFollower
from crocuswick.stable_replicas import MIN_READY_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.configuration import Configuration
    from crocuswick.rollout import Rollout

__all__ = ["RolloutController"]

TICK_INTERVAL_MS = 500
APPEND_TIMEOUT_MS = 1_000

_logger = logbook.Logger("orders")


class RolloutController:
    """Component that orders engines to load weights; every node runs one.

    One node at a time holds the lease and sends orders. Correctness does not depend
    on the lease alone: engines that check fencing tokens refuse a previous holder,
    and an order is sent only if it takes effect before the lease ends, which also
    protects engines that do not check tokens.
    """

    def __init__(
        self,
        *,
        log_address: str,
        node_id: str,
        configuration: Callable[[], Configuration],
        on_rollout: Callable[[Rollout], None] = lambda rollout: None,
        min_ready_s: float = MIN_READY_S,
    ):
        """Create the component.

        Args:
            log_address: ``host:port`` of the log.
            node_id: Id of this node.
            configuration: Returns the current configuration.
            on_rollout: Called on the actor's thread, on every node, for each
                rollout that starts or is rolled back.
            min_ready_s: Time for which a replica must have been ready before
                others load.
        """
        self._rollouts: tuple[Rollout, ...] = ()
        self._on_rollout = on_rollout
        self._client = LogClient(address=log_address, timeout_ms=APPEND_TIMEOUT_MS)
        self._actor = RolloutActor.start(
            client=self._client,
            node_id=node_id,
            configuration=configuration,
            publish=self._set_rollouts,
            min_ready_s=min_ready_s,
        )
        self._follower = LogFollower(
            client=self._client, stream=LEASES_STREAM, post=self._actor.tell
        )
        self._ticker = Ticker(
            name="orders",
            interval_s=TICK_INTERVAL_MS / 1000,
            callback=self._tick,
        )

    @property
    def rollouts(self) -> tuple[Rollout, ...]:
        """The latest rollout of each model in each pool, as read from the log."""
        return self._rollouts

    def rollout(self, pool: str, model: str) -> Rollout | None:
        """Return the latest rollout of a model in a pool, or None.

        Args:
            pool: Id of the pool.
            model: Name of the model at the engines.
        """
        for rollout in self._rollouts:
            if (rollout.pool, rollout.model) == (pool, model):
                return rollout
        return None

    def start(self) -> None:
        """Start following the stream and advancing rollouts."""
        self._follower.start()
        self._ticker.start()

    def stop(self) -> None:
        """Stop following and sending orders; a held lease expires."""
        self._ticker.stop()
        self._follower.stop()
        self._actor.stop(block=False)

    def _set_rollouts(self, rollouts: tuple[Rollout, ...]) -> None:
        known = set(self._rollouts)
        self._rollouts = rollouts
        for rollout in rollouts:
            if rollout not in known:
                self._on_rollout(rollout)

    def _tick(self) -> None:
        # Waits for the reply so that ticks do not queue up behind slow engines.
        try:
            self._actor.ask(Tick(), timeout=None)
        except Exception:
            # A failed tick must not prevent later ones.
            _logger.exception("advancing rollouts failed")
