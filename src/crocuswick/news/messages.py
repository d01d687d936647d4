"""Messages between nodes, and their form as msgpack arrays."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import attrs
from result import Err, Ok, Result

from crocuswick.errors import PeerError

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "Crashed",
    "Hello",
    "LeaseAcquired",
    "LeaseReleased",
    "News",
    "NodeAddress",
    "PartsUsed",
    "PromptBegun",
    "PromptEnded",
    "PromptPlaced",
    "ReplicaLoading",
    "TopicEnds",
    "TopicRecords",
    "WeightsNews",
    "WeightsServed",
    "decode_message",
    "encode_message",
]

_MessageType = TypeVar("_MessageType", bound=type)
_types_by_code: dict[str, type] = {}
_codes_by_type: dict[type, str] = {}


def message(code: str) -> Callable[[_MessageType], _MessageType]:
    """Register a class of messages under its code on the wire."""

    def register(message_type: _MessageType) -> _MessageType:
        _types_by_code[code] = message_type
        _codes_by_type[message_type] = code
        return message_type

    return register


@attrs.frozen(kw_only=True)
class News:
    """Base class of what nodes tell each other."""


@attrs.frozen(kw_only=True)
class NodeAddress:
    """Where a node listens for its peers."""

    node_id: str
    zone: str
    address: str


@message("hello")
@attrs.frozen(kw_only=True)
class Hello(News):
    """The first message on a connection."""

    node_id: str
    zone: str
    address: str
    peers: list[list[str]]
    """Id, zone and address of nodes that the sender knows."""


@message("ends")
@attrs.frozen(kw_only=True)
class TopicEnds(News):
    """How far the sender knows each topic; peers send what it lacks."""

    ends_by_topic: dict[str, int]
    ages_ms_by_topic: dict[str, int]
    """Time since the sender, or one it heard of, has read the topic."""


@message("records")
@attrs.frozen(kw_only=True)
class TopicRecords(News):
    """Records of a topic."""

    topic: str
    start: int
    end: int
    records: list[list[Any]]
    """Key, offset and content of each record; no content where it was dropped."""


@message("placed")
@attrs.frozen(kw_only=True)
class PromptPlaced(News):
    """The sender has sent a large prompt to a replica."""

    request_id: str
    incarnation: str
    prefill_tokens: int
    kv_tokens: int
    priority: int
    salt: str
    tokens_by_part: dict[str, int]
    """Tokens of the prompt's shared parts, in their order."""

    is_saved: bool
    """Whether the replica saves the parts to the store."""


@message("parts")
@attrs.frozen(kw_only=True)
class PartsUsed(News):
    """Shared parts of small prompts that the sender has sent to a replica."""

    incarnation: str
    salt: str
    tokens_by_part: dict[str, int]
    other_tokens: int
    """Tokens of those prompts that no other request looks for."""


@message("begun")
@attrs.frozen(kw_only=True)
class PromptBegun(News):
    """A large prompt has been computed; its parts are cached."""

    request_id: str
    incarnation: str


@message("ended")
@attrs.frozen(kw_only=True)
class PromptEnded(News):
    """A large prompt's request has ended."""

    request_id: str
    incarnation: str


@message("loading")
@attrs.frozen(kw_only=True)
class ReplicaLoading(News):
    """A replica gets an order to load weights and takes no work meanwhile."""

    incarnation: str
    for_ms: int


@message("weights")
@attrs.frozen(kw_only=True)
class WeightsServed(News):
    """A replica serves a version of a model's weights."""

    incarnation: str
    model: str
    version: int


@message("named")
@attrs.frozen(kw_only=True)
class WeightsNews(News):
    """Versions that operators named, told to a node that may have just started."""

    versions: list[list[Any]]
    """For each: model, version, milliseconds since it was named."""


@message("taken")
@attrs.frozen(kw_only=True)
class LeaseAcquired(News):
    """The sender has taken the right to order."""

    token: int
    usable_in_ms: int
    """Time before it gives its first order."""


@message("resigned")
@attrs.frozen(kw_only=True)
class LeaseReleased(News):
    """The sender gives no more orders under its last grant."""

    token: int
    """Offset of that grant."""

    last_order_age_ms: int | None
    """Time since its last order, None where it gave none."""


@message("crashed")
@attrs.frozen(kw_only=True)
class Crashed(News):
    """A request was under way at a replica when the replica crashed."""

    fingerprint: str
    incarnation: str


def encode_message(news: News) -> list[Any]:
    """Return the plain form of a message."""
    return [_codes_by_type[type(news)], attrs.asdict(news, recurse=False)]


def decode_message(value: Any, peer: str) -> Result[News, PeerError]:
    """Read a message.

    Args:
        value: Plain form.
        peer: Address of the sender, for errors.

    Returns:
        The message, or an error where it can't be read.
    """
    try:
        code, fields = value
        return Ok(_types_by_code[code](**fields))
    except (KeyError, TypeError, ValueError) as error:
        return Err(
            PeerError(
                step="decode news",
                peer=peer,
                detail=f"{type(error).__name__}: {error}",
            )
        )
