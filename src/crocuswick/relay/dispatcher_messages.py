"""Messages to the relay's dispatcher and its replies."""

from __future__ import annotations

import threading
import time

import attrs

from crocuswick.actor import Message
from crocuswick.fleet_settings import FleetBounds
from crocuswick.gossip.messages import (
    PromptPlaced,
    ReplicaCrashed,
    RequestLost,
    RequestsAnswered,
    SmallPromptsSent,
)
from crocuswick.relay.kv_events import KvEvent
from crocuswick.relay.relay_request import Attempt, RoutedRequest
from crocuswick.relay.replica import Availability, Replica
from crocuswick.relay.replica_health import AttemptResult
from crocuswick.relay.serving import ServingConfiguration

__all__ = [
    "AttemptEnded",
    "AvailabilityChanged",
    "Batch",
    "BroadcastSmallPrompts",
    "CacheRead",
    "GetCrashEvidence",
    "GetEngineStates",
    "GetTargetVersions",
    "IsUsable",
    "PeerAnswers",
    "PeerCrash",
    "PeerLoss",
    "PeerPromptSent",
    "PeerRequestEnded",
    "PeerSmallPrompts",
    "Place",
    "Placed",
    "PromptComputed",
    "ReplicaLoading",
    "ReplicaRemoved",
    "ReplicaUpdated",
    "ReserveRetry",
    "SetBounds",
    "SetConfiguration",
    "SetFleetSize",
    "SetTargetVersion",
    "StoreRead",
    "Wait",
    "WeightsServed",
]


@attrs.frozen(kw_only=True)
class Placed:
    """The replica that was chosen for a request."""

    attempt: Attempt
    expected_ms: float
    """Expected time to the first event of the answer."""

    queued_tokens: int
    """Prompt tokens of all priorities that the replica has yet to compute."""

    max_rejections: int = 3
    """Replicas that may reject the request as full before it is refused. By default,
    under overload the others are as full, and the retries are needed for requests that
    were lost."""


@attrs.frozen(kw_only=True)
class Wait:
    """No replica can take the request yet, but one is expected to soon."""

    seconds: float
    """Time after which to send `Place` again."""

    wake: threading.Event | None = None
    """Set when there may be room earlier."""

    def pause(self) -> None:
        """Block the calling thread until the request is to be placed again."""
        if self.wake is None:
            time.sleep(self.seconds)
        else:
            self.wake.wait(self.seconds)


@attrs.frozen(kw_only=True)
class Batch(Message):
    """Messages without replies, which are handled in their order."""

    messages: list[Message]


@attrs.frozen(kw_only=True)
class SetBounds(Message):
    """The bounds in the settings have changed."""

    bounds: FleetBounds


@attrs.frozen(kw_only=True)
class SetConfiguration(Message):
    """A newer configuration applies."""

    configuration: ServingConfiguration


@attrs.frozen(kw_only=True)
class ReplicaUpdated(Message):
    """A replica's store entry was read."""

    replica: Replica


@attrs.frozen(kw_only=True)
class ReplicaRemoved(Message):
    """A replica's store entry was deleted."""

    replica_id: str
    takes_effect_s: float
    """Monotonic time from which the replica counts as removed."""


@attrs.frozen(kw_only=True)
class SetTargetVersion(Message):
    """A model has a newer target version."""

    model: str
    version: int
    age_s: float | None = 0.0
    """Time since the version became the target, as far as this node or a peer knows.
    None if no one has told this node, which has started since."""


@attrs.frozen(kw_only=True)
class GetCrashEvidence(Message):
    """Query for crashes and lost requests, as messages for a node that starts."""

    with_recent: bool
    """Whether to include evidence because of which nothing is refused yet."""


@attrs.frozen(kw_only=True)
class ReplicaUnreachable(Message):
    """A replica could not be reached after it had lost a request."""

    incarnation: str


@attrs.frozen(kw_only=True)
class GetTargetVersions(Message):
    """Query for the target versions and their ages."""


@attrs.frozen(kw_only=True)
class WeightsServed(Message):
    """A replica is known to serve a version."""

    incarnation: str
    model: str
    version: int


@attrs.frozen(kw_only=True)
class AvailabilityChanged(Message):
    """A replica has said that it leaves or wants no requests for a while."""

    incarnation: str
    availability: Availability
    is_from_peer: bool = False


@attrs.frozen(kw_only=True)
class IsUsable(Message):
    """Query whether a request may still be sent to a replica that was chosen for it."""

    incarnation: str


@attrs.frozen(kw_only=True)
class ReplicaLoading(Message):
    """A replica loads weights and starts no requests meanwhile."""

    incarnation: str
    duration_s: float
    """Time for which the replica gets no requests; 0 ends an earlier pause."""


@attrs.frozen(kw_only=True)
class CacheRead(Message):
    """Cache events of an engine were read."""

    incarnation: str
    events: tuple[KvEvent, ...]


@attrs.frozen(kw_only=True)
class StoreRead(Message):
    """Cache events of the KV-cache store were read."""

    events: tuple[KvEvent, ...]


@attrs.frozen(kw_only=True)
class PeerPromptSent(Message):
    """A peer has sent a large prompt to a replica."""

    placed: PromptPlaced


@attrs.frozen(kw_only=True)
class PeerSmallPrompts(Message):
    """A peer has sent small prompts to a replica."""

    prompts: SmallPromptsSent


@attrs.frozen(kw_only=True)
class PeerRequestEnded(Message):
    """A peer's request with a large prompt has ended."""

    request_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class PeerCrash(Message):
    """A peer has observed a crash."""

    crashed: ReplicaCrashed


@attrs.frozen(kw_only=True)
class PeerLoss(Message):
    """A peer has lost a request at a replica that may have crashed."""

    lost: RequestLost


@attrs.frozen(kw_only=True)
class PeerAnswers(Message):
    """A peer has received answers to requests with some prompt segments."""

    answered: RequestsAnswered


@attrs.frozen(kw_only=True)
class BroadcastSmallPrompts(Message):
    """Request to broadcast the small prompts sent since the last broadcast."""


@attrs.frozen(kw_only=True)
class SetFleetSize(Message):
    """The number of nodes in the fleet, this one included."""

    count: int
    heard_count: int
    """Nodes that send to this one, and this one."""


@attrs.frozen(kw_only=True)
class GetEngineStates(Message):
    """Query for the state of all replicas with models."""


@attrs.frozen(kw_only=True)
class Place(Message):
    """Query for a replica for a request.

    The reply is `Placed`, `Wait` or a refusal.
    """

    request: RoutedRequest
    tried: tuple[str, ...]
    """Incarnations that must not be chosen again."""

    is_retry: bool
    """Whether a replica has received the request before."""

    earlier_attempts: int = 0
    """0 for the first attempt, greater for later ones even if no replica received the
    request. One attempt may count twice."""

    is_rejected: bool = False
    """Whether replicas have rejected the request, and none may have run it."""

    rejections: int = 0
    """Attempts that replicas have rejected as full."""

    has_waited: bool = False
    """Whether an earlier reply was `Wait`."""

    has_reserved_retry: bool = False
    """Whether `ReserveRetry` has already taken this retry from the budget."""


@attrs.frozen(kw_only=True)
class ReserveRetry(Message):
    """Request to take a retry from the budget if another replica could serve it now.

    The reply is None if the retry is reserved, otherwise the reason as a refusal.
    """

    request: RoutedRequest
    tried: tuple[str, ...]
    """Incarnations that must not be chosen, including the one that is stalled."""

    is_reserved: bool = False
    """Whether the budget already counts this retry, so that only the replicas are
    checked."""


@attrs.frozen(kw_only=True)
class PromptComputed(Message):
    """The first event of a stream has arrived: the prompt has been computed."""

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
    """Whether the connection was lost before the first event of a stream, or before the
    end of another answer."""

    has_begun: bool = False
    """Whether the connection was lost after the first event of a stream."""

    sent_s: float | None = None
    """Monotonic time at which the attempt began."""

    is_success: bool = True
    """Whether the answer has the status of a success."""

    is_framed: bool = True
    """Whether the answer has a length or chunks."""
