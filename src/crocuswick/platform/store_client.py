"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
import json
import struct
from typing import Any
from urllib.parse import urlencode

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from crocuswick.errors import PeerError
from crocuswick.host_port import HostPort
from crocuswick.outcome import Outcome
from crocuswick.records.mirror import KeyedRecord, TopicUpdate
from crocuswick.records.store import AppendAck, LogTail

__all__ = ["StoreClient"]

PEER = "store"
CONNECT_TIMEOUT_S = 0.5
RESPONSE_TIMEOUT_S = 1.0
"""The store responds within milliseconds, or some hundred milliseconds when slow."""

MAX_READ_KB = 1_024
_LENGTH = struct.Struct(">I")
_OFFSET = struct.Struct(">Q")
_NOT_RETAINED = 410
_CONDITION_FAILED = 412


class StoreClient:
    """Calls the store; each thread uses its own client.

    Args:
        address: ``host:port`` of the store.
    """

    def __init__(self, *, address: str):
        peer = HostPort.parse(address)
        self._pool = urllib3.HTTPConnectionPool(
            peer.host, peer.port, maxsize=1, retries=False
        )

    def list_newest(self, topic: str) -> Result[TopicUpdate, PeerError]:
        """Read the newest record of each key of a topic.

        Args:
            topic: Name of a keyed topic.

        Returns:
            The records. The end offset is that of the first page, so that records
            written while the pages were read are read again.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        after = ""
        while True:
            query = {"Topic": topic, "part": 0}
            if after:
                query["after"] = after
            page = self._call("list records", "GET", "/log-newest", query)
            if page.is_err():
                return page
            decoded = _decode_page(page.ok_value.data)
            if decoded.is_err():
                return decoded
            items, page_end, is_truncated = decoded.ok_value
            records += items
            end = page_end if end is None else end
            if not is_truncated or not items:
                break
            after = items[-1].key
        return Ok(
            TopicUpdate(topic=topic, records=tuple(records), end=end, is_listing=True)
        )

    def read_keyed(
        self, topic: str, *, start: int, wait_ms: int
    ) -> Result[TopicUpdate | None, PeerError]:
        """Read keyed records from an offset on, waiting for one if there are none yet.

        Args:
            topic: Name of a keyed topic.
            start: Offset of the first record wanted.
            wait_ms: Longest time to wait for a record.

        Returns:
            The records, or None if the store no longer retains that offset, or if the
            topic ends before it.
        """
        response = self._read(topic, start=start, wait_ms=wait_ms)
        if response.is_err():
            return response
        tail = response.ok_value
        if tail is None or tail.end < start:
            return Ok(None)
        records = [
            record
            for offset, raw in enumerate(tail.records, start)
            if (record := _decode_keyed(raw, offset)) is not None
        ]
        return Ok(
            TopicUpdate(
                topic=topic,
                records=tuple(records),
                end=start + len(tail.records),
                start=start,
            )
        )

    def read_tail(self, topic: str, *, start: int) -> Result[LogTail | None, PeerError]:
        """Read records of an unkeyed topic.

        Args:
            topic: Name of the topic.
            start: Offset of the first record wanted.

        Returns:
            The records, or None if the store no longer retains that offset.
        """
        return self._read(topic, start=start, wait_ms=0)

    def append(
        self, topic: str, record: bytes, *, at: int | None = None
    ) -> Result[AppendAck, PeerError]:
        """Append one record, optionally only if the topic ends at a given offset.

        Args:
            topic: Name of the topic.
            record: Content of the record.
            at: Offset that the record must get, None for any.

        Returns:
            Whether it was appended. After an error it may still be appended later.
        """
        query: dict[str, Any] = {"Topic": topic, "part": 0}
        if at is not None:
            query["At"] = at
        response = self._call(
            "append",
            "POST",
            "/log-append",
            query,
            body=_LENGTH.pack(len(record)) + record,
            accepted=(200, _CONDITION_FAILED),
        )
        if response.is_err():
            return response
        is_appended = response.ok_value.status == 200
        field = "Offset" if is_appended else "End"
        return _decode_ack(response.ok_value.data, field, is_appended)

    def append_keyed(
        self, topic: str, key: str, value: bytes
    ) -> Result[AppendAck, PeerError]:
        """Append a record, which becomes the newest one of its key.

        Args:
            topic: Name of a keyed topic.
            key: Key of at most 255 bytes.
            value: Content of the record.
        """
        encoded = key.encode()
        return self.append(topic, bytes([len(encoded)]) + encoded + value)

    def _read(
        self, topic: str, *, start: int, wait_ms: int
    ) -> Result[LogTail | None, PeerError]:
        query = {"Topic": topic, "part": 0, "From": start, "MaxKb": MAX_READ_KB}
        if wait_ms:
            query["WaitMs"] = wait_ms
        response = self._call(
            "read",
            "GET",
            "/log-read",
            query,
            accepted=(200, _NOT_RETAINED),
            timeout_s=RESPONSE_TIMEOUT_S + wait_ms / 1000,
        )
        if response.is_err():
            return response
        if response.ok_value.status == _NOT_RETAINED:
            return Ok(None)
        return _decode_tail(response.ok_value.data)

    def _call(
        self,
        step: str,
        method: str,
        path: str,
        query: dict[str, Any],
        *,
        body: bytes | None = None,
        accepted: tuple[int, ...] = (200,),
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> Result[urllib3.BaseHTTPResponse, PeerError]:
        try:
            response = self._pool.request(
                method,
                f"{path}?{urlencode(query)}",
                body=body,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            )
        except (HTTPError, OSError) as error:
            return Err(_error(step, f"{type(error).__name__}: {error}"))
        if response.status not in accepted:
            # These two statuses mean that the call had no effect.
            is_refused = response.status in (429, 503)
            outcome = Outcome.NOT_RUN if is_refused else Outcome.UNKNOWN
            return Err(_error(step, f"status {response.status}", outcome))
        return Ok(response)


def _error(step: str, detail: str, outcome: Outcome = Outcome.UNKNOWN) -> PeerError:
    return PeerError(step=step, peer=PEER, detail=detail, outcome=outcome)


def _decode_page(
    data: bytes,
) -> Result[tuple[list[KeyedRecord], int, bool], PeerError]:
    try:
        page = json.loads(data)
        items = [
            KeyedRecord(
                key=str(item["Key"]),
                offset=int(item["Offset"]),
                value=base64.b64decode(item["Value"]),
            )
            for item in page["items"]
        ]
        return Ok((items, int(page["End"]), bool(page.get("Truncated"))))
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        return Err(_error("decode listing", f"{type(error).__name__}: {error}"))


def _decode_tail(data: bytes) -> Result[LogTail, PeerError]:
    if len(data) < 2 * _OFFSET.size:
        return Err(_error("decode records", f"response has only {len(data)} bytes"))
    (end,) = _OFFSET.unpack_from(data)
    (first,) = _OFFSET.unpack_from(data, _OFFSET.size)
    records = []
    position = 2 * _OFFSET.size
    while position + _LENGTH.size <= len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            break
        records.append(data[position : position + length])
        position += length
    return Ok(LogTail(end=end, first=first, records=tuple(records)))


def _decode_keyed(raw: bytes, offset: int) -> KeyedRecord | None:
    """Decode a keyed record, or return None if it is malformed."""
    if not raw or len(raw) < 1 + raw[0]:
        return None
    try:
        key = raw[1 : 1 + raw[0]].decode()
    except UnicodeDecodeError:
        return None
    value = raw[1 + raw[0] :]
    return KeyedRecord(key=key, offset=offset, value=value or None)


def _decode_ack(
    data: bytes, field: str, is_appended: bool
) -> Result[AppendAck, PeerError]:
    try:
        offset = int(json.loads(data)[field])
    except (KeyError, TypeError, ValueError) as error:
        return Err(_error("decode append", f"{type(error).__name__}: {error}"))
    return Ok(AppendAck(is_appended=is_appended, offset=offset))
