"""Reads the cache events of engines and of the store of KV cache."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from crocuswick.errors import PeerError
from crocuswick.outcome import Outcome
from crocuswick.relay.kv_events import KvEvent

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["KvEventsClient"]

WAIT_MS = 200
"""Shortest wait for events that costs the engine nothing."""

TIMEOUT = urllib3.Timeout(connect=0.3, read=1.0)
"""An engine answers within its wait and some milliseconds."""

HELD = "+"


class KvEventsClient:
    """Calls engines and stores on new connections."""

    def newest(self, name: str, address: str) -> Result[Sequence[KvEvent], PeerError]:
        """Return the newest events of a cache, the oldest of them first.

        Args:
            name: Id of the engine or name of the store, used in errors.
            address: ``host:port``.
        """
        host, _, port = address.rpartition(":")
        pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=1, retries=False)
        headers = {"Wait-Ms": str(WAIT_MS), "Connection": "close"}
        try:
            answer = pool.request(
                "GET", "/kv-events?Since=0", headers=headers, timeout=TIMEOUT
            )
        except (HTTPError, OSError) as error:
            return Err(_error("cache events", name, error))
        finally:
            pool.close()
        if answer.status != 200:
            status = ValueError(f"status {answer.status}")
            return Err(_error("cache events", name, status))
        try:
            return Ok([_event(each) for each in json.loads(answer.data)["Events"]])
        except (KeyError, TypeError, ValueError) as error:
            return Err(_error("decode cache events", name, error))


def _event(value: list[Any]) -> KvEvent:
    _number, sign, salt, part_id, tokens, _model = value
    return KvEvent(
        salt=str(salt),
        part_id=str(part_id),
        tokens=int(tokens),
        is_held=sign == HELD,
    )


def _error(step: str, name: str, error: Exception) -> PeerError:
    return PeerError(
        step=step,
        peer=name,
        detail=f"{type(error).__name__}: {error}",
        outcome=Outcome.UNKNOWN,
    )
