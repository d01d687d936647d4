"""Messages to the fake engine's task, other than `Completion`."""

from __future__ import annotations

import attrs

from crocuswick.actor import Message
from tests.fakes.engine_faults import EngineFaults
from tests.fakes.engine_jobs import Subscription

__all__ = [
    "Cancel",
    "CopyHistory",
    "ImportKeys",
    "LoadEnded",
    "Order",
    "ReadCacheEvents",
    "ReadExport",
    "ReadLoad",
    "ReadSnapshot",
    "ReadState",
    "Restart",
    "Resume",
    "SetFaults",
    "Unsubscribe",
]


@attrs.frozen(kw_only=True)
class Resume(Message):
    """Command to subscribe to a request's events from an index on."""

    request_id: str
    start: int


@attrs.frozen(kw_only=True)
class Unsubscribe(Message):
    """Command to end a connection's subscription."""

    request_id: str
    subscription: Subscription


@attrs.frozen(kw_only=True)
class Cancel(Message):
    """Command to cancel a request."""

    request_id: str


@attrs.frozen(kw_only=True)
class ReadLoad(Message):
    """Query for the load, with the configured lag."""


@attrs.frozen(kw_only=True)
class ReadState(Message):
    """Query for what the engine serves and the state of its last orders."""


@attrs.frozen(kw_only=True)
class ReadCacheEvents(Message):
    """Query for cache events; waits while there are none."""

    after: int
    wait_s: float


@attrs.frozen(kw_only=True)
class ReadSnapshot(Message):
    """Query for the keys of all cached blocks."""


@attrs.frozen(kw_only=True)
class ReadExport(Message):
    """Query for the given keys whose blocks are cached."""

    keys: list[int]


@attrs.frozen(kw_only=True)
class ImportKeys(Message):
    """Command to add blocks that another engine exported."""

    source: str
    keys: list[int]


@attrs.frozen(kw_only=True)
class Order(Message):
    """An order to change what the engine serves."""

    order_id: str
    fencing_token: int
    action: str
    model: str = ""
    weights_version: str = ""
    adapter: str = ""
    role: str = ""


@attrs.frozen(kw_only=True)
class LoadEnded(Message):
    """Event of the end of an order's load, successful or failed."""

    order: Order
    failure: str | None


@attrs.frozen(kw_only=True)
class SetFaults(Message):
    """Command to apply new fault settings."""

    faults: EngineFaults
    changed: frozenset[str]
    """Names of the settings that the caller set."""


@attrs.frozen(kw_only=True)
class Restart(Message):
    """Command to drop all requests and blocks and begin a new incarnation."""


@attrs.frozen(kw_only=True)
class CopyHistory(Message):
    """Query for a copy of the history, for the checkers."""
