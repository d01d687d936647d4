"""Messages to the engine stand-in's task, but for the completion itself."""

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
    """Attaches to a request from an index on."""

    request_id: str
    start: int


@attrs.frozen(kw_only=True)
class Unsubscribe(Message):
    """Detaches a connection."""

    request_id: str
    subscription: Subscription


@attrs.frozen(kw_only=True)
class Cancel(Message):
    """Cancels a request."""

    request_id: str


@attrs.frozen(kw_only=True)
class ReadLoad(Message):
    """Reads the load as it was a while ago."""


@attrs.frozen(kw_only=True)
class ReadState(Message):
    """Reads what orders have led to."""


@attrs.frozen(kw_only=True)
class ReadCacheEvents(Message):
    """Reads cache events; waits when there are none."""

    after: int
    wait_s: float


@attrs.frozen(kw_only=True)
class ReadSnapshot(Message):
    """Reads the keys of all cached blocks."""


@attrs.frozen(kw_only=True)
class ReadExport(Message):
    """Tells which of some keys are cached."""

    keys: list[int]


@attrs.frozen(kw_only=True)
class ImportKeys(Message):
    """Adds blocks that another engine exported."""

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
    """The weights of an order have arrived, or have failed to."""

    order: Order
    failure: str | None


@attrs.frozen(kw_only=True)
class SetFaults(Message):
    """New fault settings."""

    faults: EngineFaults
    changed: frozenset[str]
    """Names of the settings that were given."""


@attrs.frozen(kw_only=True)
class Restart(Message):
    """Drops all requests and blocks and begins a new incarnation."""


@attrs.frozen(kw_only=True)
class CopyHistory(Message):
    """Copies the records for the checkers."""
