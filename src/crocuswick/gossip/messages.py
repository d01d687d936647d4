"""Gossip messages between nodes, and their encoding as msgpack arrays."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import attrs
from result import Err, Ok, Result

from crocuswick.errors import PeerError
from crocuswick.malformed import MALFORMED

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "CompressedRecords",
    "FleetMessage",
    "GossipMessage",
    "Hello",
    "KeptRecords",
    "LeaseAcquired",
    "LeaseReleased",
    "NodeAddress",
    "PromptComputed",
    "PromptEnded",
    "PromptPlaced",
    "QuotaUsage",
    "ReplicaCrashed",
    "ReplicaLeaving",
    "ReplicaLoading",
    "RequestLost",
    "RequestsAnswered",
    "SmallPromptsSent",
    "StoreReturned",
    "TargetVersions",
    "TopicEnds",
    "TopicRecords",
    "WeightsServed",
    "decode_gossip",
    "encode_gossip",
    "message_kind",
]

_MessageType = TypeVar("_MessageType", bound=type)
_types_by_code: dict[str, type] = {}
_codes_by_type: dict[type, str] = {}


def message(code: str) -> Callable[[_MessageType], _MessageType]:
    """Register a message class under its code on the wire."""

    def register(message_type: _MessageType) -> _MessageType:
        _types_by_code[code] = message_type
        _codes_by_type[message_type] = code
        return message_type

    return register


@attrs.frozen(kw_only=True)
class GossipMessage:
    """Base class of gossip messages."""


@attrs.frozen(kw_only=True)
class NodeAddress:
    """Address at which a node listens for its peers."""

    node_id: str
    zone: str
    address: str


@message("hello")
@attrs.frozen(kw_only=True)
class Hello(GossipMessage):
    """The first message on a connection."""

    node_id: str
    zone: str
    address: str
    peers: list[list[str]]
    """Id, zone and address of nodes that the sender knows."""


@message("ends")
@attrs.frozen(kw_only=True)
class TopicEnds(GossipMessage):
    """End position of each topic at the sender; peers reply with missing records."""

    ends_by_topic: dict[str, int]
    ages_ms_by_topic: dict[str, int]
    """Time since the last known read of each topic, by the sender or by a peer."""


@message("records")
@attrs.frozen(kw_only=True)
class TopicRecords(GossipMessage):
    """Records of a topic."""

    topic: str
    start: int
    end: int
    records: list[list[Any]]
    """Key, offset and content of each record; the content of a removed key is None."""


@message("packed")
@attrs.frozen(kw_only=True)
class CompressedRecords(GossipMessage):
    """Records of a topic, compressed by `compress_records`."""

    topic: str
    start: int
    end: int
    data: bytes


@message("kept")
@attrs.frozen(kw_only=True)
class KeptRecords(GossipMessage):
    """Records that the store lost when it returned from an older copy."""

    topic: str
    records: list[list[Any]]
    """Key, position and content of each record."""


@message("returned")
@attrs.frozen(kw_only=True)
class StoreReturned(GossipMessage):
    """The store answers again after an outage, sent to a node that may have just started."""

    ages_ms_by_topic: dict[str, int]
    """Time since the first read of each topic after the outage."""


@message("placed")
@attrs.frozen(kw_only=True)
class PromptPlaced(GossipMessage):
    """The sender has sent a large prompt to a replica."""

    request_id: str
    incarnation: str
    prefill_tokens: int
    kv_tokens: int
    priority: int
    salt: str
    tokens_by_part: dict[str, int]
    """Tokens of each shared prompt segment, in order."""

    is_saved: bool
    """Whether the replica saves the segments to the KV-cache store."""


@message("parts")
@attrs.frozen(kw_only=True)
class SmallPromptsSent(GossipMessage):
    """Shared segments of small prompts that the sender has sent to a replica."""

    incarnation: str
    salt: str
    tokens_by_part: dict[str, int]
    other_tokens: int
    """Tokens of those prompts that no other request reuses."""


@message("begun")
@attrs.frozen(kw_only=True)
class PromptComputed(GossipMessage):
    """A large prompt has been computed; its segments are cached."""

    request_id: str
    incarnation: str


@message("ended")
@attrs.frozen(kw_only=True)
class PromptEnded(GossipMessage):
    """A large prompt's request has ended."""

    request_id: str
    incarnation: str


@message("loading")
@attrs.frozen(kw_only=True)
class ReplicaLoading(GossipMessage):
    """A replica is ordered to load weights and gets no requests meanwhile."""

    incarnation: str
    for_ms: int
    """Time for which the replica gets no requests; 0 ends an earlier pause."""


@message("weights")
@attrs.frozen(kw_only=True)
class WeightsServed(GossipMessage):
    """A replica serves a version of a model's weights."""

    incarnation: str
    model: str
    version: int


@message("named")
@attrs.frozen(kw_only=True)
class TargetVersions(GossipMessage):
    """Target versions, sent to a node that may have just started."""

    versions: list[list[Any]]
    """For each: model, version, milliseconds since it became the target."""


@message("taken")
@attrs.frozen(kw_only=True)
class LeaseAcquired(GossipMessage):
    """The sender holds the order lease."""

    token: int
    usable_in_ms: int
    """Time until it may send its first order."""


@message("resigned")
@attrs.frozen(kw_only=True)
class LeaseReleased(GossipMessage):
    """The sender has released the order lease or failed to renew it.

    It sends no more orders under its last lease record.
    """

    token: int
    """Position of its last lease record."""

    last_order_age_ms: int | None
    """Time since the last order under its lease or an earlier one, negative if it may
    still be sent; None if there was none."""


@message("leaving")
@attrs.frozen(kw_only=True)
class ReplicaLeaving(GossipMessage):
    """A replica has answered that it is leaving, and takes no new requests."""

    incarnation: str


@message("crashed")
@attrs.frozen(kw_only=True)
class ReplicaCrashed(GossipMessage):
    """A request was in flight at a replica when the replica crashed."""

    fingerprint: str
    incarnation: str
    age_ms: int = 0
    """Time since the crash was confirmed."""

    segments: list[str] = attrs.Factory(list)
    """Keys of the prompt segments that the request may share with others, in order."""

    has_begun: bool = False
    """Whether an event of the answer had arrived."""

    lost_before_ms: int = 0
    """Time from the loss of the request to the confirmation of the crash."""

    run_ms: int = 0
    """Time from sending the request to its loss."""


@message("lost")
@attrs.frozen(kw_only=True)
class RequestLost(GossipMessage):
    """The sender has lost a request at a replica that may have crashed."""

    fingerprint: str
    incarnation: str
    age_ms: int
    """Time since the loss."""

    segments: list[str]
    """Keys of the prompt segments that the request may share with others, in order."""

    has_begun: bool
    """Whether an event of the answer had arrived."""

    run_ms: int
    """Time from sending the request to its loss."""


@message("answered")
@attrs.frozen(kw_only=True)
class RequestsAnswered(GossipMessage):
    """Requests that were lost at crashes, or others with their segments, were answered."""

    ages_ms_by_segment: dict[str, int]
    """Time since the last answer by segment."""

    fingerprints: list[str] = attrs.Factory(list)
    """Fingerprints of identical requests that were answered."""


@message("quota")
@attrs.frozen(kw_only=True)
class QuotaUsage(GossipMessage):
    """What the sender has admitted of the organisations with a quota since its start."""

    incarnation: str
    """Identifies the run of the sender's process."""

    number: int
    """Number of the message in this run."""

    uptime_ms: int
    known_nodes: int
    """Nodes among which the sender divides the quotas."""

    usage_by_organisation: dict[str, list[float]]
    """Total since the start and its part since the message before, if it has changed."""


@message("fleet")
@attrs.frozen(kw_only=True)
class FleetMessage(GossipMessage):
    """A message for all nodes, which receivers in other zones forward in their zone."""

    origin: str
    """Node that sent it first."""

    zone: str
    """Zone of that node."""

    run: str
    """Identifier of the run of that node's process, which numbers its messages."""

    number: int
    message: list[Any]
    """The encoded message."""

    is_forwarded: bool = False
    """Whether a node of the receiver's zone has forwarded it."""


def message_kind(gossip: GossipMessage) -> str:
    """Return the kind of a message, which is its code on the wire."""
    return _codes_by_type[type(gossip)]


def encode_gossip(gossip: GossipMessage) -> list[Any]:
    """Return the msgpack array of a message."""
    return [_codes_by_type[type(gossip)], attrs.asdict(gossip, recurse=False)]


def decode_gossip(value: Any, peer: str) -> Result[GossipMessage, PeerError]:
    """Decode a message.

    Args:
        value: Unpacked msgpack array.
        peer: Address of the sender, for errors.

    Returns:
        The message, or an error if it can't be decoded.
    """
    try:
        code, fields = value
        return Ok(_types_by_code[code](**fields))
    except MALFORMED as error:
        return Err(
            PeerError(
                step="decode news",
                peer=peer,
                detail=f"{type(error).__name__}: {error}",
            )
        )
