"""Client for one model engine over HTTP; every call has a timeout."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Any

import attrs
import sseclient
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from crocuswick.bounded_answer import StrictConnection, StrictPool, bounded_pool
from crocuswick.cache_index import CacheEvent, CacheEvents, CacheSnapshot
from crocuswick.errors import PeerError
from crocuswick.host_port import HostPort
from crocuswick.load import LoadReport
from crocuswick.malformed import MALFORMED
from crocuswick.outcome import Outcome
from crocuswick.stream_guard import TokenEvent
from crocuswick.timeout_socket import TimeoutSocket

if TYPE_CHECKING:
    import socket

__all__ = ["EngineClient", "EngineCompletionRequest", "EngineStream", "StreamFault"]

CONNECT_TIMEOUT_S = 0.5
CONTROL_TIMEOUT_S = 1.0
READ_CHUNK_BYTES = 65536
MAX_EVENT_BYTES = 256 * 1024
MAX_DETAIL_BYTES = 200
"""Bytes of an error's body that are kept as its detail."""


@attrs.frozen(kw_only=True)
class EngineCompletionRequest:
    """Completion request that is sent to an engine."""

    request_id: str
    model: str
    weights_version: str
    prompt: str
    max_tokens: int
    priority: int
    cache_salt: str
    options: Mapping[str, Any] = attrs.field(factory=dict)
    """Sampling options set by the caller, forwarded unchanged."""

    def body(self) -> dict[str, Any]:
        """Return the JSON body of the request."""
        fields = attrs.asdict(self)
        options = fields.pop("options")
        return {**options, **fields, "stream": True}


@attrs.frozen(kw_only=True)
class StreamFault:
    """Failure that ended a stream before its last event."""

    step: str
    """``"silent"``, ``"closed"`` or ``"malformed"``."""

    peer: str
    """Endpoint id."""

    detail: str
    """Human-readable description."""


class StreamConnection(StrictConnection):
    """HTTP connection whose timeouts are enforced by the kernel."""

    def wrap_socket(self, sock: socket.socket) -> socket.socket:
        """Return a socket that lets the kernel enforce the timeouts."""
        return TimeoutSocket.from_socket(sock)


class StreamPool(StrictPool):
    """Connection pool for the single connection of a stream."""

    ConnectionCls = StreamConnection


class EngineStream:
    """Events of one response, read from one connection."""

    def __init__(self, *, response: urllib3.BaseHTTPResponse, endpoint_id: str):
        self._response = response
        self._endpoint_id = endpoint_id
        self.incarnation = response.headers.get("X-Engine-Incarnation", "")

    def events(self) -> Iterator[Result[TokenEvent, StreamFault]]:
        """Yield token events, and a `StreamFault` if the stream ends early.

        A stream that ends with ``[DONE]`` ends without a fault.
        """
        try:
            for event in sseclient.SSEClient(self._chunks()).events():
                if event.data == "[DONE]":
                    return
                yield Ok(_token_event(json.loads(event.data)))
        except ReadTimeoutError as error:
            yield Err(self._fault("silent", error))
            return
        except (HTTPError, OSError) as error:
            yield Err(self._fault("closed", error))
            return
        except MALFORMED as error:
            yield Err(self._fault("malformed", error))
            return
        yield Err(self._fault("closed", EOFError("ended before the last event")))

    def close(self) -> None:
        """Close the connection; the engine then cancels an unfinished request."""
        self._response.close()

    def _chunks(self) -> Iterator[bytes]:
        """Yield the received bytes.

        Raises:
            ValueError: An event has no end within `MAX_EVENT_BYTES`.
        """
        unfinished_bytes = 0
        # urllib3's reader of chunks has no limit on the line with their size.
        while chunk := self._response.read1(READ_CHUNK_BYTES, decode_content=False):
            end = chunk.rfind(b"\n\n")
            unfinished_bytes = len(chunk) + (unfinished_bytes if end < 0 else -end)
            if unfinished_bytes > MAX_EVENT_BYTES:
                raise ValueError("an event exceeds the size limit")
            yield chunk

    def _fault(self, step: str, error: Exception) -> StreamFault:
        return StreamFault(step=step, peer=self._endpoint_id, detail=str(error))


class EngineClient:
    """Client for one engine.

    Args:
        endpoint_id: Id used in errors.
        address: ``host:port``.
        progress_timeout_s: Seconds without a received byte after which a stream
            counts as silent.
        on_stream: Called with the socket of each stream, None for nothing.
    """

    def __init__(
        self,
        *,
        endpoint_id: str,
        address: str,
        progress_timeout_s: float = 2.0,
        on_stream: Callable[[socket.socket], None] | None = None,
    ):
        self._on_stream = on_stream
        self._endpoint_id = endpoint_id
        self._progress_timeout_s = progress_timeout_s
        self._peer = HostPort.parse(address)
        self._control_pool = bounded_pool(
            self._peer.host, self._peer.port, max_connections=2
        )

    @property
    def endpoint_id(self) -> str:
        """Id of the endpoint."""
        return self._endpoint_id

    def open(self, request: EngineCompletionRequest) -> Result[EngineStream, PeerError]:
        """Start a completion.

        Args:
            request: The completion request.

        Returns:
            The open stream. An error's outcome is ``not_run`` only if nothing
            was sent or the engine reported that it did not run the request.
        """
        return self._open("POST", "/v1/completions", "open", request.body())

    def resume(
        self, *, request_id: str, from_index: int
    ) -> Result[EngineStream, PeerError]:
        """Resume a request's event stream on a new connection.

        Args:
            request_id: Id of the request at the engine.
            from_index: Index of the first event to read.

        Returns:
            The open stream, or an error if the engine no longer knows the request
            or cannot be reached.
        """
        path = f"/v1/requests/{request_id}/events?from={from_index}"
        return self._open("GET", path, "resume", None)

    def cancel(self, request_id: str) -> Result[None, PeerError]:
        """Cancel a request at the engine."""
        path = f"/v1/requests/{request_id}/cancel"
        return self._control("POST", path, "cancel", {}, _nothing)

    def load(self) -> Result[LoadReport, PeerError]:
        """Read the engine's load report."""
        return self._control("GET", "/v1/load", "load", None, _load_report)

    def cache_events(
        self, *, after: int, wait_ms: int
    ) -> Result[CacheEvents, PeerError]:
        """Read cache events by long polling.

        Args:
            after: Sequence number of the last known event.
            wait_ms: Maximum time in ms to wait for a new event.
        """
        path = f"/v1/cache/events?after={after}&wait_ms={wait_ms}"
        timeout_s = CONTROL_TIMEOUT_S + wait_ms / 1000
        return self._control(
            "GET", path, "cache events", None, _cache_events, timeout_s
        )

    def cache_snapshot(self) -> Result[CacheSnapshot, PeerError]:
        """Read the keys of all cached blocks."""
        return self._control("GET", "/v1/cache", "cache", None, _cache_snapshot)

    def import_cache(
        self, *, source_address: str, keys: list[int]
    ) -> Result[None, PeerError]:
        """Ask the engine to fetch blocks from another engine.

        Args:
            source_address: ``host:port`` of the engine that holds the blocks.
            keys: Block keys.
        """
        body = {
            "from": f"http://{source_address}",
            "keys": [f"{key:016x}" for key in keys],
        }
        return self._control("POST", "/v1/cache/import", "import", body, _nothing)

    def close(self) -> None:
        """Close idle connections."""
        self._control_pool.close()

    def _open(
        self, method: str, path: str, step: str, body: Any
    ) -> Result[EngineStream, PeerError]:
        # An idle connection may have been lost unnoticed; each stream opens a new one.
        pool = StreamPool(
            self._peer.host,
            self._peer.port,
            maxsize=1,
            retries=False,
            on_connect=self._on_stream,
        )
        sent = self._send(pool, method, path, step, body, self._progress_timeout_s)
        if sent.is_err():
            return sent
        response = sent.ok_value
        if response.status == 200:
            return Ok(EngineStream(response=response, endpoint_id=self._endpoint_id))
        return Err(self._status_error(response, step))

    def _control(
        self,
        method: str,
        path: str,
        step: str,
        body: Any,
        convert: Callable[[Any], Any],
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> Result[Any, PeerError]:
        sent = self._send(self._control_pool, method, path, step, body, timeout_s)
        if sent.is_err():
            return sent
        response = sent.ok_value
        if response.status != 200:
            return Err(self._status_error(response, step))
        try:
            return Ok(convert(json.loads(response.data)))
        except (HTTPError, *MALFORMED) as error:
            return Err(self._error(step, error, Outcome.UNKNOWN))

    def _send(
        self,
        pool: urllib3.HTTPConnectionPool,
        method: str,
        path: str,
        step: str,
        body: Any,
        read_timeout_s: float,
    ) -> Result[urllib3.BaseHTTPResponse, PeerError]:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s)
        try:
            response = pool.request(
                method,
                path,
                json=body,
                timeout=timeout,
                preload_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return Err(self._error(step, error, Outcome.NOT_RUN))
        except (HTTPError, OSError) as error:
            return Err(self._error(step, error, Outcome.UNKNOWN))
        return Ok(response)

    def _status_error(self, response: urllib3.BaseHTTPResponse, step: str) -> PeerError:
        body = b""
        try:
            while len(body) < MAX_DETAIL_BYTES:
                part = response.read1(MAX_DETAIL_BYTES - len(body))
                if not part:
                    break
                body += part
            detail = body.decode(errors="replace")
        except (HTTPError, OSError) as error:
            detail = str(error)
        return PeerError(
            step=step,
            peer=self._endpoint_id,
            detail=f"status {response.status}: {detail}",
            outcome=Outcome.NOT_RUN if _says_not_run(body) else Outcome.UNKNOWN,
        )

    def _error(self, step: str, error: Exception, outcome: Outcome) -> PeerError:
        return PeerError(
            step=step,
            peer=self._endpoint_id,
            detail=str(error),
            outcome=outcome,
            timed_out=_is_host_unresponsive(error),
        )


def _says_not_run(body: bytes) -> bool:
    """Whether an error says that the engine did not run the request.

    The status alone does not: an engine may fail after it has run a request.
    """
    try:
        return json.loads(body)["run"] is False
    except MALFORMED:
        return False


def _is_host_unresponsive(error: Exception) -> bool:
    """Return whether the engine's host did not respond at all."""
    if isinstance(error, NewConnectionError):
        # This subclass of `ConnectTimeoutError` also covers refused connections.
        return not isinstance(error.__cause__, ConnectionError)
    return isinstance(error, ReadTimeoutError | ConnectTimeoutError)


def _token_event(data: dict[str, Any]) -> TokenEvent:
    return TokenEvent(
        request_id=data["request_id"],
        index=data["index"],
        text=data["text"],
        finish_reason=data.get("finish_reason"),
        cached_tokens=data.get("cached_tokens", 0),
        prompt_tokens=data.get("prompt_tokens", 0),
    )


def _nothing(_data: Any) -> None:
    return None


def _load_report(data: dict[str, Any]) -> LoadReport:
    names = {field.name for field in attrs.fields(LoadReport)}
    known = {name: value for name, value in data.items() if name in names}
    return LoadReport(weights_versions_by_model=data["models"], **known)


def _cache_events(data: dict[str, Any]) -> CacheEvents:
    events = tuple(
        CacheEvent(seq=event["seq"], kind=event["kind"], keys=_keys(event["keys"]))
        for event in data["events"]
    )
    return CacheEvents(
        incarnation=data["incarnation"],
        first_seq=data["first_seq"],
        next_seq=data["next_seq"],
        events=events,
    )


def _cache_snapshot(data: dict[str, Any]) -> CacheSnapshot:
    return CacheSnapshot(
        incarnation=data["incarnation"],
        next_seq=data["next_seq"],
        keys=_keys(data["keys"]),
    )


def _keys(texts: list[str]) -> tuple[int, ...]:
    return tuple(int(text, 16) for text in texts)
