"""Connections to and from all peers, served by one thread."""

from __future__ import annotations

import asyncio
import concurrent.futures
import contextlib
import itertools
import os
import socket
import threading
import time
from collections import deque
from typing import TYPE_CHECKING, Any

import logbook
import msgpack

from crocuswick.backoff import backoff_s, with_jitter_s
from crocuswick.elastic_threads import ElasticThreads
from crocuswick.gossip.messages import Hello, decode_gossip, encode_gossip
from crocuswick.gossip.receiver_limits import (
    MAX_UNFINISHED_BYTES,
    MAX_UNGREETED_BYTES,
    ReceiverState,
    fullest_receiver,
    surplus_receiver,
)
from crocuswick.host_port import HostPort

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from crocuswick.gossip.messages import GossipMessage

__all__ = ["GossipTransport", "PeerLink", "pack_gossip"]

logger = logbook.Logger(__name__)

COALESCE_S = 0.005
"""Time for which messages are collected if the last ones were passed on less than that
ago. Each batch wakes the threads that handle it once, which costs more than a message."""

MAX_DELAY_S = 0.1
"""Longest time for which a message that is not urgent waits for another one to be sent with
it. Sending and receiving it alone costs more than handling it."""

BACKLOG = 256
ACCEPT_BATCH = 16
"""Connections that are accepted before surplus ones are closed, which need descriptors
meanwhile."""

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""More than any configuration needs; a larger message closes the connection."""

READ_BYTES = 16 * 1024
"""First size of the buffer of each connection. By default it is 1 MB."""

CONNECT_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 1.0
"""Time without progress in sending after which a link reconnects; a peer that reads
nothing exceeds it."""

ACKNOWLEDGEMENT_TIMEOUT_MS = 1_500
"""Time without acknowledgement of sent data after which a link reconnects."""

SILENCE_TIMEOUT_S = 5.0
"""Time without data after which a peer's connection is closed; peers send at least once
a second."""

SILENCE_CHECK_S = 1.0
MAX_QUEUED = 2_000
"""Limit on queued messages. Further ones are dropped; records that the peer lacks are
sent again later."""

FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.0
STOP_TIMEOUT_S = 1.0
GREETING_THREADS = 2
"""Greetings that are put together at the same time."""

GREETING_IDLE_S = 1.0
"""Time without greetings after which their threads end."""


def pack_gossip(gossip: GossipMessage) -> bytes:
    """Encode a message for the wire."""
    return msgpack.packb(encode_gossip(gossip))


class GossipTransport:
    """Receives messages from peers and opens links to them.

    Args:
        address: ``host:port`` to listen at.
        on_messages: Called with messages in the order of their arrival, each with the
            number of its connection.
        on_closed: Called with that number when the connection has closed.
        max_receivers: Limit on the connections from peers, 0 for none.
    """

    def __init__(
        self,
        *,
        address: str,
        on_messages: Callable[[list[tuple[GossipMessage, int]]], None],
        on_closed: Callable[[int], None],
        max_receivers: int = 0,
    ):
        self._address = HostPort.parse(address)
        self._on_messages = on_messages
        self._received: list[tuple[GossipMessage, int]] = []
        self._passed_on_s = float("-inf")
        self._on_closed = on_closed
        self._loop: asyncio.AbstractEventLoop | None = None
        self._server: asyncio.Server | None = None
        self._numbers = itertools.count(1)
        self._max_receivers = max_receivers
        self._receivers_by_number: dict[int, _Receiver] = {}
        self._unsent: set[PeerLink] = set()
        self._delayed: set[PeerLink] = set()
        self._greetings = ElasticThreads(
            name="greetings", max_threads=GREETING_THREADS, idle_s=GREETING_IDLE_S
        )
        self._lock = threading.Lock()
        self._thread = threading.Thread(
            target=self._run_loop, name="gossip", daemon=True
        )

    def start(self) -> None:
        """Bind the port and start receiving.

        Raises:
            OSError: The port can't be bound.
        """
        self._loop = asyncio.new_event_loop()
        self._thread.start()
        self._run(self._listen()).result()

    def stop(self) -> None:
        """Close the port and all connections."""
        if not self._thread.is_alive():
            return
        with contextlib.suppress(TimeoutError):
            self._run(self._close_all()).result(STOP_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)
        self._greetings.stop()

    def open_link(
        self, address: str, handshake: Callable[[], list[GossipMessage]]
    ) -> PeerLink:
        """Open a link to a peer, which reconnects until it is stopped.

        Args:
            address: ``host:port`` of the peer.
            handshake: Returns the first messages to send on each connection; may wait
                for actors, and is called on a thread of its own.
        """
        link = PeerLink(
            address=address,
            handshake=lambda: self._call_apart(handshake),
            on_queued=self._flush_soon,
            on_delayed=self._flush_later,
            call_soon=self._loop.call_soon_threadsafe,
        )
        link.task = self._run(link.run())
        return link

    def _run_loop(self) -> None:
        try:
            self._loop.run_forever()
        finally:
            self._loop.close()

    async def _listen(self) -> None:
        self._server = await self._loop.create_server(
            lambda: _Receiver(
                number=next(self._numbers),
                on_opened=self._on_opened,
                on_unfinished=self._limit_unfinished,
                on_message=self._collect,
                on_closed=self._on_receiver_closed,
            ),
            self._address.host,
            self._address.port,
            backlog=ACCEPT_BATCH,
        )
        for listening in self._server.sockets:
            # asyncio uses one number for the queue of the kernel and for its batches.
            with socket.socket(fileno=os.dup(listening.fileno())) as duplicate:
                duplicate.listen(BACKLOG)
        self._loop.call_later(SILENCE_CHECK_S, self._close_silent)

    def _on_opened(self, receiver: _Receiver) -> None:
        self._receivers_by_number[receiver.number] = receiver
        if 0 < self._max_receivers < len(self._receivers_by_number):
            self._close(
                surplus_receiver(self._receiver_states()), "too many connections"
            )

    def _on_receiver_closed(self, number: int) -> None:
        self._receivers_by_number.pop(number, None)
        self._on_closed(number)

    def _limit_unfinished(self) -> None:
        """Close the connection with the longest unfinished message if all are too long."""
        states = self._receiver_states()
        if sum(state.unfinished_bytes for state in states) > MAX_UNFINISHED_BYTES:
            self._close(fullest_receiver(states), "too long unfinished messages")

    def _receiver_states(self) -> list[ReceiverState]:
        return [receiver.state for receiver in self._receivers_by_number.values()]

    def _close(self, number: int, cause: str) -> None:
        # The end of the connection is reported later, when others may have opened.
        receiver = self._receivers_by_number.pop(number)
        logger.warning("connection from peer {} closed: {}", receiver.peer, cause)
        receiver.abort()

    def _collect(self, gossip: GossipMessage, connection: int) -> None:
        self._received.append((gossip, connection))
        if len(self._received) > 1:
            return
        wait_s = self._passed_on_s + COALESCE_S - time.monotonic()
        if wait_s > 0:
            self._loop.call_later(wait_s, self._pass_on)
        else:
            self._loop.call_soon(self._pass_on)

    def _pass_on(self) -> None:
        received, self._received = self._received, []
        self._passed_on_s = time.monotonic()
        try:
            self._on_messages(received)
        except Exception:  # noqa: BLE001 - later messages must still be handled
            logger.exception("handling messages from peers failed")

    async def _close_all(self) -> None:
        self._server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for receiver in list(self._receivers_by_number.values()):
            receiver.abort()

    def _close_silent(self) -> None:
        oldest_s = time.monotonic() - SILENCE_TIMEOUT_S
        for receiver in list(self._receivers_by_number.values()):
            if receiver.last_data_s < oldest_s:
                receiver.abort()
        self._loop.call_later(SILENCE_CHECK_S, self._close_silent)

    def _call_apart(self, call: Callable[[], Any]) -> asyncio.Future:
        """Run a call that may block on another thread than that of the loop."""
        result = concurrent.futures.Future()

        def run() -> None:
            try:
                result.set_result(call())
            except Exception as error:  # noqa: BLE001 - raised where it is awaited
                result.set_exception(error)

        self._greetings.submit(run)
        return asyncio.wrap_future(result)

    def _run(self, coroutine: Coroutine) -> asyncio.Future:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def _flush_soon(self, link: PeerLink) -> None:
        """Send a link's messages, together with those queued until the loop wakes."""
        with self._lock:
            is_first = not self._unsent
            self._unsent.add(link)
        if is_first:
            self._loop.call_soon_threadsafe(self._flush)

    def _flush(self) -> None:
        with self._lock:
            unsent, self._unsent = self._unsent, set()
        for link in unsent:
            link.flush()

    def _flush_later(self, link: PeerLink) -> None:
        """Send a link's messages after `MAX_DELAY_S` unless others are sent before."""
        with self._lock:
            is_first = not self._delayed
            self._delayed.add(link)
        if is_first:
            self._loop.call_soon_threadsafe(
                self._loop.call_later, MAX_DELAY_S, self._flush_delayed
            )

    def _flush_delayed(self) -> None:
        with self._lock:
            delayed, self._delayed = self._delayed, set()
        for link in delayed:
            link.flush()


class PeerLink:
    """Sends messages to one peer, and reconnects after failures.

    Args:
        address: ``host:port`` of the peer.
        handshake: Returns the first messages to send on each connection.
        on_queued: Called if messages wait to be sent.
        on_delayed: The same for messages that are not urgent.
        call_soon: Calls a function on the transport's thread.
    """

    def __init__(
        self,
        *,
        address: str,
        handshake: Callable[[], Awaitable[list[GossipMessage]]],
        on_queued: Callable[[PeerLink], None],
        on_delayed: Callable[[PeerLink], None],
        call_soon: Callable[[Callable[[], None]], object],
    ):
        self.address = address
        self.task: asyncio.Future | None = None
        self._handshake = handshake
        self._on_queued = on_queued
        self._on_delayed = on_delayed
        self._call_soon = call_soon
        self._is_peer_up = asyncio.Event()
        self._queue: deque[bytes] = deque()
        self._sender: _Sender | None = None
        # Monotonic time since which there is no connection, None while connected.
        self.disconnected_since_s: float | None = time.monotonic()

    def send(self, packed: bytes, *, is_urgent: bool = True) -> bool:
        """Queue an encoded message.

        Args:
            packed: The message. Messages are sent in the order in which they were queued.
            is_urgent: Whether it is sent at once rather than with the next urgent one.

        Returns:
            False if it was dropped: there is no connection or the queue is full.
        """
        if self._sender is None:
            return False
        if len(self._queue) >= MAX_QUEUED:
            logger.warning(
                "send queue of peer {} is full, message dropped", self.address
            )
            return False
        self._queue.append(packed)
        if is_urgent:
            self._on_queued(self)
        else:
            self._on_delayed(self)
        return True

    def reconnect(self) -> None:
        """Connect at once, because the peer is up, instead of after the current pause."""
        self._call_soon(self._is_peer_up.set)

    def stop(self) -> None:
        """Close the connection for good."""
        self.task.cancel()

    async def run(self) -> None:
        """Keep a connection to the peer until the task is cancelled."""
        failures = 0
        while True:
            try:
                sender = await self._connect()
                failures = 0
                await self._serve(sender)
            except (OSError, TimeoutError) as error:
                logger.debug("link to {} failed: {}", self.address, error)
            except Exception:  # noqa: BLE001 - a link must not stay closed
                logger.exception("link to {} failed", self.address)
            failures += 1
            pause_s = backoff_s(
                failures, initial_s=FIRST_BACKOFF_S, max_s=MAX_BACKOFF_S
            )
            if await self._wait_for_peer(with_jitter_s(pause_s)):
                failures = 0

    async def _wait_for_peer(self, timeout_s: float) -> bool:
        """Wait until the peer is known to be up.

        Returns:
            False if that was not known within the time limit.
        """
        self._is_peer_up.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._is_peer_up.wait(), timeout_s)
        return self._is_peer_up.is_set()

    def flush(self) -> None:
        """Pass the queued messages to the connection; runs on the transport's thread."""
        if self._sender is None or self._sender.is_paused or not self._queue:
            return
        messages = [self._queue.popleft() for _ in range(len(self._queue))]
        self._sender.transport.write(b"".join(messages))

    async def _connect(self) -> _Sender:
        peer = HostPort.parse(self.address)
        loop = asyncio.get_running_loop()
        _, sender = await asyncio.wait_for(
            loop.create_connection(
                lambda: _Sender(on_writable=self.flush), peer.host, peer.port
            ),
            CONNECT_TIMEOUT_S,
        )
        return sender

    async def _serve(self, sender: _Sender) -> None:
        try:
            self._queue.clear()
            for gossip in await self._handshake():
                sender.transport.write(pack_gossip(gossip))
            self.disconnected_since_s = None
            self._sender = sender
            await sender.wait_closed()
        finally:
            self._sender = None
            self.disconnected_since_s = time.monotonic()
            sender.transport.abort()


class _Sender(asyncio.Protocol):
    """Connection of a link.

    Args:
        on_writable: Called when the connection takes data again.
    """

    def __init__(self, *, on_writable: Callable[[], None]):
        self.transport: asyncio.Transport | None = None
        self.is_paused = False
        self._on_writable = on_writable
        self._closed = asyncio.Event()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS
        )

    def connection_lost(self, _error: Exception | None) -> None:
        self._closed.set()

    def pause_writing(self) -> None:
        self.is_paused = True
        self._check_later()

    def resume_writing(self) -> None:
        self.is_paused = False
        self._on_writable()

    async def wait_closed(self) -> None:
        """Wait until the connection has closed."""
        await self._closed.wait()

    def _check_later(self) -> None:
        unsent = self.transport.get_write_buffer_size()
        asyncio.get_running_loop().call_later(
            SEND_TIMEOUT_S, self._abort_without_progress, unsent
        )

    def _abort_without_progress(self, unsent: int) -> None:
        if not self.is_paused:
            return
        if self.transport.get_write_buffer_size() >= unsent:
            self.transport.abort()
        else:
            self._check_later()


class _Receiver(asyncio.Protocol):
    """Connection from a peer.

    Args:
        number: Number of the connection.
        on_opened: Called with this object once the connection is open.
        on_unfinished: Called after a long part of a message.
        on_message: Called with each message and the number of the connection.
        on_closed: Called with the number at the end.
    """

    def __init__(
        self,
        *,
        number: int,
        on_opened: Callable[[_Receiver], None],
        on_unfinished: Callable[[], None],
        on_message: Callable[[GossipMessage, int], None],
        on_closed: Callable[[int], None],
    ):
        self.last_data_s = time.monotonic()
        self.number = number
        self._on_opened = on_opened
        self._on_unfinished = on_unfinished
        self._on_message = on_message
        self._on_closed = on_closed
        self._unpacker = msgpack.Unpacker(
            read_size=READ_BYTES, max_buffer_size=MAX_MESSAGE_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._host = ""
        self._has_greeted = False
        self._received_bytes = 0
        self._finished_bytes = 0
        self.peer = ""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        host, port = transport.get_extra_info("peername")[:2]
        self._host = host
        self.peer = f"{host}:{port}"
        self._on_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        logger.debug("connection from peer {} closed: {}", self.peer, error)
        self._on_closed(self.number)

    def data_received(self, data: bytes) -> None:
        self.last_data_s = time.monotonic()
        try:
            self._unpacker.feed(data)
            self._received_bytes += len(data)
            for value in self._unpacker:
                self._finished_bytes = self._unpacker.tell()
                self._handle(value)
        except (
            ValueError,
            RecursionError,
            msgpack.exceptions.UnpackException,
        ) as error:
            logger.warning("malformed data from peer {}: {}", self.peer, error)
            self.abort()
            return
        if self._unfinished_bytes > MAX_UNGREETED_BYTES:
            self._check_unfinished()

    @property
    def state(self) -> ReceiverState:
        """What decides whether the connection is closed under load."""
        return ReceiverState(
            number=self.number,
            host=self._host,
            has_greeted=self._has_greeted,
            last_data_s=self.last_data_s,
            unfinished_bytes=self._unfinished_bytes,
        )

    @property
    def _unfinished_bytes(self) -> int:
        return self._received_bytes - self._finished_bytes

    def _check_unfinished(self) -> None:
        if self._has_greeted:
            self._on_unfinished()
        else:
            logger.warning("first message of peer {} is too long", self.peer)
            self.abort()

    def abort(self) -> None:
        """Close the connection."""
        self._transport.abort()

    def _handle(self, value: object) -> None:
        decoded = decode_gossip(value, self.peer)
        if decoded.is_err():
            logger.warning("{}", decoded.err_value)
            return
        self._has_greeted = self._has_greeted or isinstance(decoded.ok_value, Hello)
        self._on_message(decoded.ok_value, self.number)
