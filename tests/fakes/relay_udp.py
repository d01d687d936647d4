"""UDP routes of the relay. All code here runs on the event loop."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from tests.fakes.relay_routes import (
    TO_CLIENT,
    TO_TARGET,
    RouteFaults,
    RouteSpec,
    split_address,
)

__all__ = ["UdpRoute"]

LISTEN_HOST = "127.0.0.1"


class DatagramReceiver(asyncio.DatagramProtocol):
    """A protocol that passes the datagrams of a socket to a callback."""

    def __init__(self, *, on_datagram: Any):
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Pass a datagram to the callback."""
        self._on_datagram(data, address)


class UdpRoute:
    """A listener that relays datagrams, with one socket to the target per client."""

    def __init__(self, *, spec: RouteSpec):
        self.faults = RouteFaults()
        self.forwarded_bytes = 0
        self._spec = spec
        self._listener: Any = None
        self._transport_tasks_by_client: dict[Any, asyncio.Task[Any]] = {}

    @property
    def address(self) -> str:
        """Address on which the route listens."""
        host, port = self._listener.get_extra_info("sockname")
        return f"{host}:{port}"

    async def open(self) -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._listener, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(on_datagram=self._from_client),
            local_addr=(LISTEN_HOST, self._spec.port),
        )

    async def set_faults(self, faults: RouteFaults) -> None:
        """Apply new fault settings."""
        self.faults = faults

    def describe(self) -> dict[str, Any]:
        """Return the definition and traffic of the route."""
        return {
            "address": self.address,
            "target": self._spec.target,
            "protocol": "udp",
            "connections": len(self._transport_tasks_by_client),
            "forwarded_bytes": self.forwarded_bytes,
        }

    def _from_client(self, data: bytes, client: tuple[str, int]) -> None:
        asyncio.ensure_future(self._send_to_target(data, client))

    async def _send_to_target(self, data: bytes, client: tuple[str, int]) -> None:
        if client not in self._transport_tasks_by_client:
            opening = asyncio.ensure_future(self._open_to_target(client))
            self._transport_tasks_by_client[client] = opening
        socket = await self._transport_tasks_by_client[client]
        self._send(TO_TARGET, data, socket, None)

    async def _open_to_target(self, client: tuple[str, int]) -> Any:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(
                on_datagram=lambda data, _: self._send(
                    TO_CLIENT, data, self._listener, client
                )
            ),
            remote_addr=split_address(self._spec.target),
        )
        return transport

    def _send(self, direction: str, data: bytes, socket: Any, address: Any) -> None:
        faults = self.faults
        if not faults.lets_pass(direction) or random.random() < faults.drop_rate:
            return
        self.forwarded_bytes += len(data)
        loop = asyncio.get_running_loop()
        loop.call_later(faults.delay_ms / 1000, socket.sendto, data, address)
