"""Client that reads the cache events of engines and KV stores."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import urllib3
from result import Err, Ok, Result

from crocuswick.malformed import MALFORMED
from crocuswick.platform._engine_call import call, call_error
from crocuswick.relay.kv_events import KvEvent

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crocuswick.errors import PeerError

__all__ = ["KvEventsClient"]

WAIT_MS = 200
"""Time that an engine waits for events before it responds. This is the shortest wait
that adds no load to the engine."""

TIMEOUT = urllib3.Timeout(connect=0.3, read=1.0)
"""In seconds. An engine responds within `WAIT_MS` plus some milliseconds."""

HELD_SIGN = "+"


class KvEventsClient:
    """Calls engines and KV stores, each time on a new connection."""

    def read_newest(
        self, name: str, address: str
    ) -> Result[Sequence[KvEvent], PeerError]:
        """Return the newest events of a cache, oldest first.

        Args:
            name: Id of the engine or name of the store, used in errors.
            address: ``host:port``.
        """
        read = call(
            "cache events",
            name,
            address,
            method="GET",
            path="/kv-events?Since=0",
            headers={"Wait-Ms": str(WAIT_MS)},
            timeout=TIMEOUT,
        )
        if read.is_err():
            return read
        response = read.ok_value
        if response.status != 200:
            return Err(call_error("cache events", name, f"status {response.status}"))
        try:
            return Ok([_event(each) for each in json.loads(response.data)["Events"]])
        except MALFORMED as error:
            return Err(call_error("decode cache events", name, str(error)))


def _event(value: list[Any]) -> KvEvent:
    _number, sign, salt, segment_id, tokens, _model = value
    return KvEvent(
        salt=str(salt),
        segment_id=str(segment_id),
        tokens=int(tokens),
        is_held=sign == HELD_SIGN,
    )
