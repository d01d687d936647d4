"""TCP routes of the relay. All code here runs on the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Any

import attrs

from tests.fakes.relay_routes import (
    TO_CLIENT,
    TO_TARGET,
    RouteFaults,
    RouteSpec,
    split_address,
)

__all__ = ["TcpRoute"]

LISTEN_HOST = "127.0.0.1"
CHUNK_BYTES = 65536
LISTEN_BACKLOG = 512
NO_LINGER = struct.pack("ii", 1, 0)
MAX_QUEUED_CHUNKS = 256


@attrs.frozen(kw_only=True, eq=False)
class Chunk:
    """Data that is being relayed; empty data marks the end of the stream."""

    data: bytes
    due_s: float


class TcpConnection:
    """A relayed connection, with a reader and a writer for each direction."""

    def __init__(
        self,
        *,
        route: TcpRoute,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self.is_silenced = False
        self.is_reset = False
        self._route = route
        self._client_reader = reader
        self._writers = [writer]

    async def run(self, target: str) -> None:
        """Connect to the target and relay until both sides have ended."""
        try:
            if self._route.faults.mode == "refuse":
                raise ConnectionRefusedError
            # While the direction to the target is cut, no new connection reaches it.
            await self._route.wait_open(TO_TARGET, self)
            host, port = split_address(target)
            target_reader, target_writer = await asyncio.open_connection(host, port)
            self._writers.append(target_writer)
            if self.is_reset:
                raise ConnectionResetError
            await asyncio.gather(
                self._relay(TO_TARGET, self._client_reader, target_writer),
                self._relay(TO_CLIENT, target_reader, self._writers[0]),
            )
        except OSError:
            # If one side is reset or refused, the other is reset too.
            self.reset()
        finally:
            for writer in self._writers:
                writer.close()

    def reset(self) -> None:
        """Reset both sides."""
        self.is_reset = True
        for writer in self._writers:
            _reset(writer)

    async def _relay(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        chunks: asyncio.Queue[Chunk] = asyncio.Queue(maxsize=MAX_QUEUED_CHUNKS)
        reading = asyncio.ensure_future(self._read(direction, reader, chunks))
        try:
            await self._write(direction, writer, chunks)
            # An error of the reader also ends the connection.
            await reading
        finally:
            reading.cancel()

    async def _read(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        chunks: asyncio.Queue[Chunk],
    ) -> None:
        loop = asyncio.get_running_loop()
        # Any data that is not empty: empty data marks the end of the stream.
        data = b"-"
        while data:
            # Unread data fills the sender's buffers, as with an unreachable peer.
            await self._route.wait_open(direction, self)
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                self.reset()
                data = b""
            delay_s = self._route.faults.delay_ms / 1000
            await chunks.put(Chunk(data=data, due_s=loop.time() + delay_s))

    async def _write(
        self,
        direction: str,
        writer: asyncio.StreamWriter,
        chunks: asyncio.Queue[Chunk],
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            chunk = await chunks.get()
            await asyncio.sleep(max(0.0, chunk.due_s - loop.time()))
            await self._route.wait_open(direction, self)
            if not chunk.data:
                if writer.can_write_eof() and not writer.transport.is_closing():
                    writer.write_eof()
                return
            writer.write(chunk.data)
            await writer.drain()
            self._route.forwarded_bytes += len(chunk.data)


class TcpRoute:
    """A listener that relays each connection to the target."""

    def __init__(self, *, spec: RouteSpec):
        self.faults = RouteFaults()
        self.forwarded_bytes = 0
        self._spec = spec
        self._port = spec.port
        self._server: asyncio.Server | None = None
        self._connections: set[TcpConnection] = set()
        self._changed = asyncio.Condition()

    @property
    def address(self) -> str:
        """Address on which the route listens."""
        return f"{LISTEN_HOST}:{self._port}"

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._accept,
            LISTEN_HOST,
            self._port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def set_faults(self, faults: RouteFaults) -> None:
        """Apply new fault settings."""
        if faults.mode == "silent_existing":
            self._silence_existing()
            faults = attrs.evolve(faults, mode="pass")
        self.faults = faults
        if faults.mode == "refuse":
            self._refuse()
        elif self._server is None:
            await self.open()
        async with self._changed:
            self._changed.notify_all()

    async def wait_open(self, direction: str, connection: TcpConnection) -> None:
        """Wait until data may be relayed in a direction, or the connection is reset."""
        if self._is_open(direction, connection):
            return
        async with self._changed:
            await self._changed.wait_for(lambda: self._is_open(direction, connection))

    def describe(self) -> dict[str, Any]:
        """Return the definition and traffic of the route."""
        return {
            "address": self.address,
            "target": self._spec.target,
            "protocol": "tcp",
            "connections": len(self._connections),
            "forwarded_bytes": self.forwarded_bytes,
        }

    def _is_open(self, direction: str, connection: TcpConnection) -> bool:
        if connection.is_reset:
            return True
        return self.faults.lets_pass(direction) and not connection.is_silenced

    def _silence_existing(self) -> None:
        for connection in self._connections:
            connection.is_silenced = True

    def _refuse(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Modes for open connections also apply while it connects to the target.
        connection = TcpConnection(route=self, reader=reader, writer=writer)
        self._connections.add(connection)
        try:
            await connection.run(self._spec.target)
        finally:
            self._connections.discard(connection)


def _reset(writer: asyncio.StreamWriter) -> None:
    # With a linger time of 0, a close sends a reset instead of the end of stream.
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
