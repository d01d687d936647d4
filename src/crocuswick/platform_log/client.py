"""Client for the platform's log service."""

from __future__ import annotations

from typing import Any

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from crocuswick.bounded_answer import bounded_pool
from crocuswick.errors import PeerError
from crocuswick.host_port import HostPort
from crocuswick.malformed import MALFORMED
from crocuswick.outcome import Outcome
from crocuswick.platform_log.records import (
    AppendReceipt,
    LogPage,
    LogRecord,
    RetentionGap,
)

__all__ = ["LogClient"]

MAX_CONNECTIONS = 8

_HTTP_OK = 200
_HTTP_GONE = 410
_HTTP_UNAVAILABLE = 503


class LogClient:
    """Appends to and reads from the log; thread-safe."""

    def __init__(self, *, address: str, timeout_ms: int):
        self._address = address
        self._timeout_s = timeout_ms / 1000
        peer = HostPort.parse(address)
        self._pool = bounded_pool(peer.host, peer.port, max_connections=MAX_CONNECTIONS)

    def append(
        self, stream: str, values: list[Any]
    ) -> Result[AppendReceipt, PeerError]:
        """Append records to a stream as one batch.

        Args:
            stream: Name of the stream.
            values: Plain JSON values.

        Returns:
            The offsets, or an error. Its outcome is ``not_run`` only if nothing
            was sent or the log responded that it is unavailable; after any other
            failure the records may be in the log.
        """
        result = self._call(
            "append", "POST", stream, json={"records": values}, wait_s=0.0
        )
        if result.is_err():
            return result
        response = result.unwrap()
        if response.status == _HTTP_UNAVAILABLE:
            return self._error("append", "unavailable", outcome=Outcome.NOT_RUN)
        if response.status != _HTTP_OK:
            return self._error("append", f"status {response.status}")
        return self._decode("append", response, _to_receipt)

    def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> Result[LogPage | RetentionGap, PeerError]:
        """Read records starting at an offset, waiting for the first if necessary.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record to read.
            limit: Maximum number of records to return.
            wait_ms: Longest wait for a record to be appended.

        Returns:
            A page, a `RetentionGap` if the offset is no longer retained, or an error.
        """
        fields = {"from": from_offset, "limit": limit, "wait_ms": wait_ms}
        result = self._call("read", "GET", stream, fields=fields, wait_s=wait_ms / 1000)
        if result.is_err():
            return result
        response = result.unwrap()
        if response.status == _HTTP_GONE:
            return self._decode("read", response, _to_gap)
        if response.status != _HTTP_OK:
            return self._error("read", f"status {response.status}")
        return self._decode("read", response, _to_page)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def _call(
        self, step: str, method: str, stream: str, *, wait_s: float, **arguments: Any
    ) -> Result[urllib3.BaseHTTPResponse, PeerError]:
        timeout = urllib3.Timeout(
            connect=self._timeout_s, read=self._timeout_s + wait_s
        )
        path = f"/v1/streams/{stream}/records"
        try:
            return Ok(self._pool.request(method, path, timeout=timeout, **arguments))
        except (NewConnectionError, ConnectTimeoutError) as error:
            return self._error(step, str(error), outcome=Outcome.NOT_RUN)
        except HTTPError as error:
            return self._error(step, str(error))

    def _decode(
        self, step: str, response: urllib3.BaseHTTPResponse, convert: Any
    ) -> Result[Any, PeerError]:
        try:
            return Ok(convert(response.json()))
        except MALFORMED as error:
            return self._error(step, f"malformed response: {error!r}")

    def _error(
        self, step: str, detail: str, *, outcome: Outcome = Outcome.UNKNOWN
    ) -> Err[PeerError]:
        peer = f"log {self._address}"
        return Err(PeerError(step=step, peer=peer, detail=detail, outcome=outcome))


def _to_receipt(body: dict[str, Any]) -> AppendReceipt:
    return AppendReceipt(
        first_offset=int(body["first_offset"]), next_offset=int(body["next_offset"])
    )


def _to_gap(body: dict[str, Any]) -> RetentionGap:
    return RetentionGap(
        first_retained=int(body["first_retained"]),
        next_offset=int(body["next_offset"]),
    )


def _to_page(body: dict[str, Any]) -> LogPage:
    records = tuple(
        LogRecord(
            offset=int(record["offset"]),
            time_ms=int(record["time_ms"]),
            value=record["value"],
        )
        for record in body["records"]
    )
    return LogPage(
        first_retained=int(body["first_retained"]),
        next_offset=int(body["next_offset"]),
        records=records,
    )
