"""Interface between a fleet node and the platform that it runs on."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from result import Result

from crocuswick.errors import PeerError
from crocuswick.records.mirror import KeyedRecord
from crocuswick.records.store import RecordStore
from crocuswick.records.store_era import StoreEra
from crocuswick.relay.dialect import Dialect
from crocuswick.relay.kv_events import KvEventReader
from crocuswick.relay.replica import Replica
from crocuswick.relay.serving import ServingConfiguration
from crocuswick.rollouts.engine_orders import EngineOrders

__all__ = ["FleetPlatform", "FleetTopics", "TargetWeights"]


@attrs.frozen(kw_only=True)
class FleetTopics:
    """Names of the topics that a node reads and writes."""

    operations: str
    """Configuration and target weights, written by operators."""

    replicas: str
    """Entries of replicas, written by the replicas."""

    nodes: str
    """Addresses of nodes, written by the nodes."""

    leases: str
    """Records of the order lease."""

    crashes: str
    """Crashes of replicas under requests that crash them, written by the nodes."""


@attrs.frozen(kw_only=True)
class TargetWeights:
    """Target version of a model's weights, set by operators."""

    model: str
    version: int


@attrs.frozen(kw_only=True)
class FleetPlatform:
    """Adapter of a platform: its formats, names and clients."""

    dialect: Dialect
    topics: FleetTopics
    open_store: Callable[[], RecordStore]
    """Opens a client of the store, which only one thread may use."""

    store_era: StoreEra
    """Era of the store, shared by its clients."""

    record_version: Callable[[str, KeyedRecord], int | None]
    """Returns the version that the content of a topic's record names, None if it names
    none."""

    decode_operation: Callable[
        [KeyedRecord], Result[ServingConfiguration | TargetWeights | None, PeerError]
    ]
    """Decodes a record of the operations topic; None if the record is not relevant."""

    decode_replica: Callable[[KeyedRecord], Result[Replica, PeerError]]
    """Decodes a record of the replicas topic."""

    engine_orders: EngineOrders
    kv_events: KvEventReader
