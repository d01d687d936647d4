"""Clients of all configured engines and cancellation of abandoned requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from crocuswick.actor import Actor, Message
from crocuswick.endpoints.engine_client import EngineClient

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Mapping

__all__ = ["EngineClients"]


class Canceller(Actor):
    """Cancels abandoned requests at engines without blocking callers' threads."""

    @attrs.frozen(kw_only=True)
    class Cancel(Message):
        """A request at an engine is no longer wanted."""

        client: EngineClient
        request_id: str

    def on_cancel(self, message: Cancel) -> None:
        """Cancel once; an unreachable engine drops the request by itself."""
        message.client.cancel(message.request_id)


class EngineClients:
    """Engine clients by endpoint id, replaced together on a new configuration.

    Args:
        progress_timeout_s: Seconds without a received byte after which a stream
            counts as silent.
        on_stream: Called with the socket of each stream, None for nothing.
    """

    def __init__(
        self,
        *,
        progress_timeout_s: float,
        on_stream: Callable[[socket.socket], None] | None = None,
    ):
        self._progress_timeout_s = progress_timeout_s
        self._on_stream = on_stream
        self._clients_by_id: Mapping[str, EngineClient] = {}
        self._addresses_by_id: Mapping[str, str] = {}
        self._canceller = Canceller.start()

    def set_addresses(self, addresses_by_id: Mapping[str, str]) -> None:
        """Replace the configured endpoints.

        Args:
            addresses_by_id: ``host:port`` of every engine.
        """
        clients = {
            endpoint_id: self._reused_or_new(endpoint_id, address)
            for endpoint_id, address in addresses_by_id.items()
        }
        self._addresses_by_id = dict(addresses_by_id)
        self._clients_by_id = clients

    def get(self, endpoint_id: str) -> EngineClient | None:
        """Return the client of an endpoint, or None if it is not configured."""
        return self._clients_by_id.get(endpoint_id)

    def address_of(self, endpoint_id: str) -> str | None:
        """Return the address of an endpoint, or None if it is not configured."""
        return self._addresses_by_id.get(endpoint_id)

    def new_client(self, endpoint_id: str) -> EngineClient:
        """Return a new client for exclusive use by the caller."""
        return self._create(endpoint_id, self._addresses_by_id[endpoint_id])

    def cancel_in_background(self, endpoint_id: str, request_id: str) -> None:
        """Cancel a request at an engine in the background."""
        client = self.get(endpoint_id)
        if client is not None:
            self._canceller.tell(Canceller.Cancel(client=client, request_id=request_id))

    def stop(self) -> None:
        """Stop the canceller after the queued cancellations."""
        self._canceller.stop()

    def _reused_or_new(self, endpoint_id: str, address: str) -> EngineClient:
        if self._addresses_by_id.get(endpoint_id) == address:
            return self._clients_by_id[endpoint_id]
        return self._create(endpoint_id, address)

    def _create(self, endpoint_id: str, address: str) -> EngineClient:
        return EngineClient(
            endpoint_id=endpoint_id,
            address=address,
            progress_timeout_s=self._progress_timeout_s,
            on_stream=self._on_stream,
        )
