"""Client of the platform's metadata store.

The store numbers the records of a topic by offsets, which start again from an older one
when the store returns from an older copy. The client turns them into positions, which
never fall (see `crocuswick.records.position`).
"""

from __future__ import annotations

import base64
import json
import struct
from typing import Any
from urllib.parse import urlencode

import attrs
import logbook
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from crocuswick.bounded_answer import Answer, bounded_pool, fetch
from crocuswick.errors import PeerError
from crocuswick.host_port import HostPort
from crocuswick.malformed import MALFORMED
from crocuswick.outcome import Outcome
from crocuswick.platform import _names as names
from crocuswick.records.mirror import KeyedRecord, TopicUpdate
from crocuswick.records.position import (
    MAX_OFFSET,
    era_of,
    offset_of,
    to_position,
)
from crocuswick.records.store import AppendAck, LogTail
from crocuswick.records.store_era import StoreEra

__all__ = ["StoreClient"]

logger = logbook.Logger(__name__)

PEER = "store"
CONNECT_TIMEOUT_S = 0.5
RESPONSE_TIMEOUT_S = 1.0
"""The store responds within milliseconds, or some hundred milliseconds when slow."""

MAX_READ_KB = 1_024
MAX_ERA_DIGITS = 9
_LENGTH = struct.Struct(">I")
_OFFSET = struct.Struct(">Q")
_NOT_RETAINED = 410
_CONDITION_FAILED = 412


@attrs.frozen(kw_only=True)
class _Answer:
    status: int
    data: bytes
    era: int


class StoreClient:
    """Calls the store; each thread uses its own client.

    Args:
        address: ``host:port`` of the store.
        era: The store's era, shared by the clients of a node.
    """

    def __init__(self, *, address: str, era: StoreEra | None = None):
        self._era = StoreEra() if era is None else era
        self._address = HostPort.parse(address)
        self._pool = self._new_pool()

    def _new_pool(self) -> urllib3.HTTPConnectionPool:
        return bounded_pool(self._address.host, self._address.port)

    def list_newest(self, topic: str) -> Result[TopicUpdate, PeerError]:
        """Read the newest record of each key of a topic.

        Args:
            topic: Name of a keyed topic.

        Returns:
            The records. The end is that of the first page, so that records written
            while the pages were read are read again.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        era: int | None = None
        after = ""
        while True:
            query = {"Topic": topic, "part": 0}
            if after:
                query["after"] = after
            page = self._call("list records", "GET", "/log-newest", query)
            if page.is_err():
                return page
            if era not in (None, page.ok_value.era):
                return Err(_error("list records", "the store's era changed"))
            era = page.ok_value.era
            decoded = _decode_page(page.ok_value)
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
        """Read keyed records from a position on, waiting for one if there are none yet.

        Args:
            topic: Name of a keyed topic.
            start: Position of the first record wanted.
            wait_ms: Longest time to wait for a record.

        Returns:
            The records, or None if the store no longer retains that position, or if
            the topic ends before it.
        """
        response = self._read(topic, start=start, wait_ms=wait_ms)
        if response.is_err():
            return response
        tail = response.ok_value
        if tail is None or tail.end < start:
            return Ok(None)
        if tail.end < start + len(tail.records):
            return Err(_error("read", "an answer to an earlier read"))
        records = [
            record
            for position, raw in enumerate(tail.records, start)
            if (record := _decode_keyed(raw, position)) is not None
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
            start: Position of the first record wanted.

        Returns:
            The records, or None if the store no longer retains that position.
        """
        return self._read(topic, start=start, wait_ms=0)

    def append(
        self, topic: str, record: bytes, *, at: int | None = None
    ) -> Result[AppendAck, PeerError]:
        """Append one record, optionally only if the topic ends at a given position.

        Args:
            topic: Name of the topic.
            record: Content of the record.
            at: Position that the record must get, None for any.

        Returns:
            Whether it was appended. After an error it may still be appended later.
        """
        query: dict[str, Any] = {"Topic": topic, "part": 0}
        if at is not None:
            # No topic ends at the largest offset, so that a condition from another era
            # fails and the answer names the topic's end.
            is_current = era_of(at) == self._era.current
            query["At"] = offset_of(at) if is_current else MAX_OFFSET
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
        return _decode_ack(response.ok_value, field, is_appended)

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
        era = self._era.current
        if era_of(start) != era:
            return Ok(None)
        offset = offset_of(start)
        query = {"Topic": topic, "part": 0, "From": offset, "MaxKb": MAX_READ_KB}
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
        answer = response.ok_value
        if answer.status == _NOT_RETAINED or answer.era != era:
            return Ok(None)
        return _decode_tail(answer)

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
    ) -> Result[_Answer, PeerError]:
        # A late copy of an earlier answer would be taken for the answer to a write on the
        # same connection. Reads check what they get.
        pool = self._pool if method == "GET" else self._new_pool()
        try:
            response = fetch(
                pool,
                method,
                f"{path}?{urlencode(query)}",
                body=body,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            )
        except (HTTPError, OSError) as error:
            return Err(_error(step, f"{type(error).__name__}: {error}"))
        finally:
            if pool is not self._pool:
                pool.close()
        era = self._answer_era(response)
        if response.status not in accepted:
            # These two statuses mean that the call had no effect.
            is_refused = response.status in (429, 503)
            outcome = Outcome.NOT_RUN if is_refused else Outcome.UNKNOWN
            return Err(_error(step, f"status {response.status}", outcome))
        if era is None:
            return Err(_error(step, "answer from an earlier era of the store"))
        return Ok(_Answer(status=response.status, data=response.data, era=era))

    def _answer_era(self, response: Answer) -> int | None:
        """Return the era of an answer, or None if it is outdated."""
        text = response.headers.get(names.STORE_ERA)
        if text is None:
            return self._era.current
        if not (text.isascii() and text.isdigit()):
            logger.warning("ignored malformed header {}: {!r}", names.STORE_ERA, text)
            return self._era.current
        era = int(text[:MAX_ERA_DIGITS])
        if self._era.report(era):
            return era
        if era < self._era.current:
            return None
        logger.warning("ignored implausible header {}: {!r}", names.STORE_ERA, text)
        return self._era.current


def _error(step: str, detail: str, outcome: Outcome = Outcome.UNKNOWN) -> PeerError:
    return PeerError(step=step, peer=PEER, detail=detail, outcome=outcome)


def _decode_page(
    answer: _Answer,
) -> Result[tuple[list[KeyedRecord], int, bool], PeerError]:
    try:
        page = json.loads(answer.data)
        items = [
            KeyedRecord(
                key=str(item["Key"]),
                position=to_position(answer.era, int(item["Offset"])),
                value=base64.b64decode(item["Value"]),
            )
            for item in page["items"]
        ]
        end = to_position(answer.era, int(page["End"]))
        return Ok((items, end, bool(page.get("Truncated"))))
    except MALFORMED as error:
        return Err(_error("decode listing", f"{type(error).__name__}: {error}"))


def _decode_tail(answer: _Answer) -> Result[LogTail, PeerError]:
    data = answer.data
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
    return Ok(
        LogTail(
            end=to_position(answer.era, end),
            first=to_position(answer.era, first),
            records=tuple(records),
        )
    )


def _decode_keyed(raw: bytes, position: int) -> KeyedRecord | None:
    """Decode a keyed record, or return None if it is malformed."""
    if not raw or len(raw) < 1 + raw[0]:
        return None
    try:
        key = raw[1 : 1 + raw[0]].decode()
    except UnicodeDecodeError:
        return None
    value = raw[1 + raw[0] :]
    return KeyedRecord(key=key, position=position, value=value or None)


def _decode_ack(
    answer: _Answer, field: str, is_appended: bool
) -> Result[AppendAck, PeerError]:
    try:
        offset = to_position(answer.era, int(json.loads(answer.data)[field]))
    except MALFORMED as error:
        return Err(_error("decode append", f"{type(error).__name__}: {error}"))
    return Ok(AppendAck(is_appended=is_appended, position=offset))
