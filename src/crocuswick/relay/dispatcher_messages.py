"""Messages of the relay's dispatcher, and its answers."""

from __future__ import annotations

import attrs

from crocuswick.actor import Message
from crocuswick.fleet_settings import FleetBounds
from crocuswick.news.messages import Crashed, PartsUsed, PromptPlaced
from crocuswick.relay.kv_events import KvEvent
from crocuswick.relay.relay_request import Attempt, RoutedRequest
from crocuswick.relay.replica import Replica
from crocuswick.relay.replica_health import AttemptResult
from crocuswick.relay.serving import ServingConfiguration

__all__ = [
    "AttemptEnded",
    "Begun",
    "CacheRead",
    "Engines",
    "NamedWeights",
    "NodesKnown",
    "PeerCrash",
    "PeerEnded",
    "PeerParts",
    "PeerPlaced",
    "Place",
    "Placed",
    "ReplicaLoading",
    "ReplicaRemoved",
    "ReplicaSeen",
    "StoreRead",
    "TellParts",
    "UseBounds",
    "UseConfiguration",
    "Wait",
    "WeightsNamed",
    "WeightsServed",
]


@attrs.frozen(kw_only=True)
class Placed:
    """Where a request goes."""

    attempt: Attempt
    expected_ms: float
    """Expected time to the first event."""

    queued_tokens: int
    """Prompt tokens of all ranks that the replica has still to compute."""


@attrs.frozen(kw_only=True)
class Wait:
    """No replica can take the request now, but one is expected to."""

    seconds: float
    """Time after which to ask again."""


@attrs.frozen(kw_only=True)
class UseBounds(Message):
    """The users' bounds have changed."""

    bounds: FleetBounds


@attrs.frozen(kw_only=True)
class UseConfiguration(Message):
    """A newer configuration is in force."""

    configuration: ServingConfiguration


@attrs.frozen(kw_only=True)
class ReplicaSeen(Message):
    """A replica's entry was read."""

    replica: Replica


@attrs.frozen(kw_only=True)
class ReplicaRemoved(Message):
    """A replica's entry was removed."""

    replica_id: str
    takes_effect_s: float
    """Monotonic time from which the replica counts as gone."""


@attrs.frozen(kw_only=True)
class WeightsNamed(Message):
    """Newer weights are wanted."""

    model: str
    version: int
    age_s: float = 0.0
    """Time since they were named, as far as this node or a peer knows."""


@attrs.frozen(kw_only=True)
class NamedWeights(Message):
    """Asks which versions were named, and when."""


@attrs.frozen(kw_only=True)
class WeightsServed(Message):
    """A replica is known to serve a version."""

    incarnation: str
    model: str
    version: int


@attrs.frozen(kw_only=True)
class ReplicaLoading(Message):
    """A replica loads weights and runs nothing new meanwhile."""

    incarnation: str
    for_s: float


@attrs.frozen(kw_only=True)
class CacheRead(Message):
    """An engine has told what its cache holds."""

    incarnation: str
    events: tuple[KvEvent, ...]


@attrs.frozen(kw_only=True)
class StoreRead(Message):
    """The store of KV cache has told what it holds."""

    events: tuple[KvEvent, ...]


@attrs.frozen(kw_only=True)
class PeerPlaced(Message):
    """Another node has sent a large prompt to a replica."""

    placed: PromptPlaced


@attrs.frozen(kw_only=True)
class PeerParts(Message):
    """Another node has sent small prompts to a replica."""

    used: PartsUsed


@attrs.frozen(kw_only=True)
class PeerEnded(Message):
    """Another node's large prompt has ended."""

    request_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class PeerCrash(Message):
    """Another node has seen a crash."""

    crashed: Crashed


@attrs.frozen(kw_only=True)
class TellParts(Message):
    """Tell the peers of small prompts that were sent since the last time."""


@attrs.frozen(kw_only=True)
class NodesKnown(Message):
    """How many nodes the fleet has, this one included."""

    count: int


@attrs.frozen(kw_only=True)
class Engines(Message):
    """Asks for the state of all replicas that have models."""


@attrs.frozen(kw_only=True)
class Place(Message):
    """Asks where a request goes; answered by `Placed`, `Wait` or a refusal."""

    request: RoutedRequest
    tried: tuple[str, ...]
    """Incarnations that have had the request."""

    is_retry: bool
    """Whether a replica has received the request before."""

    sent_before: int = 0
    """Replicas that were tried before, whether they received it or not."""

    has_waited: bool = False
    """Whether this asks again after `Wait`."""


@attrs.frozen(kw_only=True)
class Begun(Message):
    """A stream's first event has arrived."""

    request_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class AttemptEnded(Message):
    """An attempt has ended."""

    request: RoutedRequest
    attempt: Attempt
    result: AttemptResult
    weights_version: int | None = None
    is_lost_before_answer: bool = False
    """Whether the connection was lost before anything of the answer came."""
