"""Reads the cache events of engines and of the store of KV cache."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import urllib3
from result import Err, Ok, Result

from crocuswick.platform._engine_call import call, call_error
from crocuswick.relay.kv_events import KvEvent

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crocuswick.errors import PeerError

__all__ = ["KvEventsClient"]

WAIT_MS = 200
"""Shortest wait for events that costs the engine nothing."""

TIMEOUT = urllib3.Timeout(connect=0.3, read=1.0)
"""An engine answers within its wait and some milliseconds."""

HELD_SIGN = "+"


class KvEventsClient:
    """Calls engines and stores on new connections."""

    def newest(self, name: str, address: str) -> Result[Sequence[KvEvent], PeerError]:
        """Return the newest events of a cache, the oldest of them first.

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
        answer = read.ok_value
        if answer.status != 200:
            return Err(call_error("cache events", name, f"status {answer.status}"))
        try:
            return Ok([_event(each) for each in json.loads(answer.data)["Events"]])
        except (KeyError, TypeError, ValueError) as error:
            return Err(call_error("decode cache events", name, str(error)))


def _event(value: list[Any]) -> KvEvent:
    _number, sign, salt, part_id, tokens, _model = value
    return KvEvent(
        salt=str(salt),
        part_id=str(part_id),
        tokens=int(tokens),
        is_held=sign == HELD_SIGN,
    )
