"""Actor that runs one watcher for each configured engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.actor import Actor, Message
from crocuswick.configuration import Configuration
from crocuswick.dispatcher import Dispatcher
from crocuswick.endpoints.watcher import EngineWatcher, read_interval_s
from crocuswick.placement import EndpointDescription

if TYPE_CHECKING:
    import pykka

    from crocuswick.configuration import EndpointPool
    from crocuswick.endpoints.engine_clients import EngineClients
    from crocuswick.time_line import TimeLine

__all__ = ["EngineWatchers"]

ENGINE_KIND = "engine"


class EngineWatchers(Actor):
    """Starts and stops watchers as the configuration changes.

    Args:
        clients: Clients of all configured engines.
        dispatcher: Receives the endpoints and the watchers' reports.
        time_line: Records when endpoints are lost and found again.
    """

    @attrs.frozen(kw_only=True)
    class ConfigurationChanged(Message):
        """A new configuration has taken effect."""

        configuration: Configuration

    def __init__(
        self,
        *,
        clients: EngineClients,
        dispatcher: pykka.ActorRef,
        time_line: TimeLine,
    ):
        super().__init__()
        self._clients = clients
        self._dispatcher = dispatcher
        self._time_line = time_line
        self._addresses_by_id: dict[str, str] = {}
        self._watchers_by_id: dict[str, EngineWatcher] = {}

    def on_configuration_changed(self, message: ConfigurationChanged) -> None:
        """Send the endpoints to the dispatcher and start or stop watchers."""
        pools = _engine_pools(message.configuration)
        addresses = {
            endpoint.id: endpoint.address
            for pool in pools
            for endpoint in pool.endpoints
        }
        self._clients.set_addresses(addresses)
        descriptions = tuple(
            description for pool in pools for description in _descriptions(pool)
        )
        self._dispatcher.tell(Dispatcher.SetEndpoints(descriptions=descriptions))
        self._update_watchers(addresses)

    def on_stop(self) -> None:
        """Stop all watchers."""
        for watcher in self._watchers_by_id.values():
            watcher.stop()

    def _update_watchers(self, addresses: dict[str, str]) -> None:
        for endpoint_id in list(self._watchers_by_id):
            if addresses.get(endpoint_id) != self._addresses_by_id[endpoint_id]:
                self._watchers_by_id.pop(endpoint_id).stop()
        self._addresses_by_id = addresses
        for endpoint_id in addresses.keys() - self._watchers_by_id.keys():
            self._watchers_by_id[endpoint_id] = self._start_watcher(endpoint_id)

    def _start_watcher(self, endpoint_id: str) -> EngineWatcher:
        watcher = EngineWatcher(
            client=self._clients.new_client(endpoint_id),
            interval_s=lambda: read_interval_s(len(self._addresses_by_id)),
            dispatcher=self._dispatcher,
            time_line=self._time_line,
        )
        watcher.start()
        return watcher


def _engine_pools(configuration: Configuration) -> list[EndpointPool]:
    return [
        pool
        for pool in configuration.endpoint_pools_by_id.values()
        if pool.kind == ENGINE_KIND
    ]


def _descriptions(pool: EndpointPool) -> list[EndpointDescription]:
    return [
        EndpointDescription(
            id=endpoint.id,
            address=endpoint.address,
            zone=endpoint.zone,
            pool=pool.id,
        )
        for endpoint in pool.endpoints
    ]
