"""A UDP route of the relay; all of it runs on the event loop."""

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


class Port(asyncio.DatagramProtocol):
    """One socket; hands its datagrams to a function."""

    def __init__(self, *, received: Any):
        self._received = received

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Hand a datagram on."""
        self._received(data, address)


class UdpRoute:
    """Relays datagrams, with a socket towards the target for each client."""

    def __init__(self, *, spec: RouteSpec):
        self.faults = RouteFaults()
        self.forwarded_bytes = 0
        self._spec = spec
        self._listener: Any = None
        self._pending_by_client: dict[Any, asyncio.Task[Any]] = {}

    @property
    def address(self) -> str:
        """Address on which the route listens."""
        host, port = self._listener.get_extra_info("sockname")
        return f"{host}:{port}"

    async def open(self) -> None:
        """Begin to listen."""
        loop = asyncio.get_running_loop()
        self._listener, _ = await loop.create_datagram_endpoint(
            lambda: Port(received=self._from_client),
            local_addr=(LISTEN_HOST, self._spec.port),
        )

    async def set_faults(self, faults: RouteFaults) -> None:
        """Put new fault settings in force."""
        self.faults = faults

    def describe(self) -> dict[str, Any]:
        """Return what the route is and carried."""
        return {
            "address": self.address,
            "target": self._spec.target,
            "protocol": "udp",
            "connections": len(self._pending_by_client),
            "forwarded_bytes": self.forwarded_bytes,
        }

    def _from_client(self, data: bytes, client: tuple[str, int]) -> None:
        asyncio.ensure_future(self._send_to_target(data, client))

    async def _send_to_target(self, data: bytes, client: tuple[str, int]) -> None:
        if client not in self._pending_by_client:
            opening = asyncio.ensure_future(self._open_towards_target(client))
            self._pending_by_client[client] = opening
        socket = await self._pending_by_client[client]
        self._send(TO_TARGET, data, socket, None)

    async def _open_towards_target(self, client: tuple[str, int]) -> Any:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: Port(
                received=lambda data, _: self._send(
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
