"""Builds the platform adapter of a fleet node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from crocuswick.errors import PeerError
from crocuswick.fleet_platform import FleetPlatform, FleetTopics, TargetWeights
from crocuswick.platform import _names as names
from crocuswick.platform.decoders import (
    decode_configuration,
    decode_replica,
    decode_target_version,
)
from crocuswick.platform.engine_orders import EngineOrdersClient
from crocuswick.platform.kv_events import KvEventsClient
from crocuswick.platform.relay_dialect import RelayDialect
from crocuswick.platform.store_client import StoreClient
from crocuswick.records.store_era import StoreEra

if TYPE_CHECKING:
    from crocuswick.fleet_settings import FleetSettings
    from crocuswick.records.mirror import KeyedRecord
    from crocuswick.relay.replica import Replica
    from crocuswick.relay.serving import ServingConfiguration

__all__ = ["fleet_platform"]


def fleet_platform(settings: FleetSettings) -> FleetPlatform:
    """Return the platform adapter for a node with the given settings."""
    era = StoreEra()
    return FleetPlatform(
        dialect=RelayDialect(),
        topics=FleetTopics(
            operations=names.OPERATIONS_TOPIC,
            replicas=names.REPLICAS_TOPIC,
            nodes=names.NODES_TOPIC,
            leases=names.LEASES_TOPIC,
            crashes=names.CRASHES_TOPIC,
        ),
        open_store=lambda: StoreClient(address=settings.store_address, era=era),
        store_era=era,
        record_version=_record_version,
        decode_operation=lambda record: _decode_operation(
            record, requires_keys=settings.requires_keys
        ),
        decode_replica=_decode_replica,
        engine_orders=EngineOrdersClient(),
        kv_events=KvEventsClient(),
    )


def _decode_operation(
    record: KeyedRecord, *, requires_keys: bool = False
) -> Result[ServingConfiguration | TargetWeights | None, PeerError]:
    if record.value is None:
        return Ok(None)
    if record.key == names.CONFIGURATION_KEY:
        return decode_configuration(record.value, requires_keys=requires_keys)
    if record.key.startswith(names.WEIGHTS_KEY_PREFIX):
        decoded = decode_target_version(record.value)
        if decoded.is_err():
            return decoded
        model, version = decoded.ok_value
        return Ok(TargetWeights(model=model, version=version))
    return Ok(None)


def _record_version(topic: str, record: KeyedRecord) -> int | None:
    if topic != names.OPERATIONS_TOPIC:
        return None
    decoded = _decode_operation(record)
    if decoded.is_err() or decoded.ok_value is None:
        return None
    return decoded.ok_value.version


def _decode_replica(record: KeyedRecord) -> Result[Replica, PeerError]:
    if record.value is None:
        return Err(
            PeerError(step="decode replica", peer="store", detail="entry was removed")
        )
    return decode_replica(record.key, record.value)
