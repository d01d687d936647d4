"""The clients of all configured engines and the cancelling of abandoned work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.actor import Actor, Message
from crocuswick.endpoints.engine_client import EngineClient

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["EngineClients"]


class Canceller(Actor):
    """Cancels abandoned requests at engines, off the callers' threads."""

    @attrs.frozen(kw_only=True)
    class Cancel(Message):
        """A request at an engine is no longer wanted."""

        client: EngineClient
        request_id: str

    def on_cancel(self, message: Cancel) -> None:
        """Cancel once; an engine that can't be reached drops it by itself."""
        message.client.cancel(message.request_id)


class EngineClients:
    """Engine clients by endpoint id, replaced as a whole on a new configuration.

    Args:
        progress_timeout_s: Seconds without a byte after which a stream is
            taken for silent.
    """

    def __init__(self, *, progress_timeout_s: float):
        self._progress_timeout_s = progress_timeout_s
        self._clients_by_id: Mapping[str, EngineClient] = {}
        self._addresses_by_id: Mapping[str, str] = {}
        self._canceller = Canceller.start()

    def set_addresses(self, addresses_by_id: Mapping[str, str]) -> None:
        """Replace the configured endpoints.

        Args:
            addresses_by_id: ``host:port`` of every engine.
        """
        clients = {
            endpoint_id: self._kept(endpoint_id, address)
            for endpoint_id, address in addresses_by_id.items()
        }
        self._addresses_by_id = dict(addresses_by_id)
        self._clients_by_id = clients

    def get(self, endpoint_id: str) -> EngineClient | None:
        """Return the client of an endpoint, or None if it isn't configured."""
        return self._clients_by_id.get(endpoint_id)

    def address_of(self, endpoint_id: str) -> str | None:
        """Return the address of an endpoint, or None if it isn't configured."""
        return self._addresses_by_id.get(endpoint_id)

    def new_client(self, endpoint_id: str) -> EngineClient:
        """Return a client that the asking thread owns alone."""
        return self._new(endpoint_id, self._addresses_by_id[endpoint_id])

    def cancel_later(self, endpoint_id: str, request_id: str) -> None:
        """Cancel a request at an engine without waiting for it."""
        client = self.get(endpoint_id)
        if client is not None:
            self._canceller.tell(Canceller.Cancel(client=client, request_id=request_id))

    def stop(self) -> None:
        """Stop the canceller after what it has been asked to do."""
        self._canceller.stop()

    def _kept(self, endpoint_id: str, address: str) -> EngineClient:
        if self._addresses_by_id.get(endpoint_id) == address:
            return self._clients_by_id[endpoint_id]
        return self._new(endpoint_id, address)

    def _new(self, endpoint_id: str, address: str) -> EngineClient:
        return EngineClient(
            endpoint_id=endpoint_id,
            address=address,
            progress_timeout_s=self._progress_timeout_s,
        )
