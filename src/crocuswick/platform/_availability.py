"""Headers with which a replica says that it leaves or wants no requests for a while."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import logbook

from crocuswick.platform import _names as names
from crocuswick.relay.replica import Availability

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["decode_availability"]

logger = logbook.Logger(__name__)

MAX_PAUSE_S = 300.0
"""Longest accepted pause, so that a malformed header can't exclude a replica for good."""

_UNAVAILABLE = 503


def decode_availability(
    status: int, headers: Iterable[tuple[str, str]]
) -> Availability:
    """Decode the headers of a replica's response; malformed ones are ignored.

    Args:
        status: Status of the response.
        headers: Its headers, of which the same may occur several times.
    """
    is_leaving = False
    pause_s = None
    for name, value in headers:
        if name.lower() == names.LEAVING.lower():
            is_leaving = is_leaving or "1" in map(str.strip, value.split(","))
        elif name.lower() == names.RETRY_AFTER.lower() and status == _UNAVAILABLE:
            pause_s = _longer(pause_s, _decode_pause_s(value))
    return Availability(is_leaving=is_leaving, pause_s=pause_s)


def _decode_pause_s(text: str) -> float | None:
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = math.nan
    if not pause_s > 0:
        logger.warning("ignored malformed header {}: {!r:.60}", names.RETRY_AFTER, text)
        return None
    return min(pause_s, MAX_PAUSE_S)


def _longer(one: float | None, other: float | None) -> float | None:
    return max(one or 0.0, other or 0.0) or None
