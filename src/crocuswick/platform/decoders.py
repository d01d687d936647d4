"""Decodes records of the platform's store."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from crocuswick.errors import PeerError
from crocuswick.malformed import MALFORMED
from crocuswick.platform import _record_fields as fields
from crocuswick.quota import Quota, QuotaUnit
from crocuswick.relay.replica import Replica, ReplicaState
from crocuswick.relay.serving import (
    CallerLimits,
    EngineTraits,
    KvStore,
    Organisation,
    Route,
    RouteKind,
    Service,
    ServingConfiguration,
    TrafficShare,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["decode_configuration", "decode_replica", "decode_target_version"]

DEFAULT_MAX_CONNECTIONS = 100


def decode_configuration(
    value: bytes, *, requires_keys: bool = False
) -> Result[ServingConfiguration, PeerError]:
    """Decode a configuration.

    Args:
        value: Value of its record.
        requires_keys: Whether callers need a key even if it lists no organisations.

    Returns:
        The configuration, or an error if it can't be decoded.
    """
    try:
        return Ok(_configuration(json.loads(value), requires_keys=requires_keys))
    except MALFORMED as error:
        return Err(_error("decode configuration", error))


def decode_replica(replica_id: str, value: bytes) -> Result[Replica, PeerError]:
    """Decode the entry of a replica.

    Args:
        replica_id: Key of its record.
        value: Value of its record.

    Returns:
        The replica, or an error if a field is missing or has another type.
    """
    try:
        return Ok(_replica(replica_id, json.loads(value)))
    except MALFORMED as error:
        return Err(_error("decode replica", error))


def decode_target_version(value: bytes) -> Result[tuple[str, int], PeerError]:
    """Decode the target version of a model's weights.

    Args:
        value: Value of the record.

    Returns:
        Model and version, or an error if they can't be decoded.
    """
    try:
        record = json.loads(value)
        return Ok((fields.text(record["Model"]), fields.integer(record["Version"])))
    except MALFORMED as error:
        return Err(_error("decode named weights", error))


def _error(step: str, error: Exception) -> PeerError:
    return PeerError(step=step, peer="store", detail=f"{type(error).__name__}: {error}")


def _replica(replica_id: str, entry: dict[str, Any]) -> Replica:
    # These two fields are checked but not used: an entry without them comes from
    # another writer and doesn't describe a replica.
    fields.text(entry["Version"])
    fields.integer(entry["ColdLeftMs"])
    return Replica(
        id=replica_id,
        started_ms=fields.integer(entry["born"]),
        service=fields.text(entry["Service"]),
        address=fields.address(entry["Address"]),
        zone=fields.text(entry["Zone"]),
        state=ReplicaState(entry["State"]),
        slots=fields.integer(entry["Slots"]),
        weights_by_model={
            fields.text(model["Name"]): fields.integer(model["Version"])
            for model in fields.items(entry.get("Models", []))
        },
        # In an entry the field counts heartbeats; in a report it counts orders.
        report_number=fields.integer(entry["Sequence"]),
    )


def _configuration(
    value: dict[str, Any], *, requires_keys: bool
) -> ServingConfiguration:
    routes_by_host: dict[str, list[Route]] = defaultdict(list)
    for entry in value["Routes"]:
        route = _route(entry)
        routes_by_host[route.host].append(route)
    services = [entry for entry in value["Services"] if "KvStoreAddr" not in entry]
    stores = [entry for entry in value["Services"] if "KvStoreAddr" in entry]
    organisations = _organisation_entries(value)
    return ServingConfiguration(
        version=fields.integer(value["Version"]),
        routes_by_host={
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in routes_by_host.items()
        },
        services_by_name={service.name: service for service in map(_service, services)},
        kv_stores=tuple(map(_kv_store, stores)),
        organisations_by_key=_organisations_by_key(organisations),
        # A list from which the last organisation was removed still requires keys.
        needs_key=requires_keys or "Tenants" in value,
        limits=_limits(value.get("Limits") or {}),
        quotas_by_organisation=_quotas_by_organisation(organisations),
    )


def _organisation_entries(value: dict[str, Any]) -> list[dict[str, Any]]:
    entries = value.get("Tenants")
    return [] if entries is None else fields.items(entries)


def _route(entry: dict[str, Any]) -> Route:
    name = fields.text(entry["Name"])
    place = f"route {name!r:.60}"
    timeout_ms = fields.number(entry, "TimeoutMs", place=place)
    return Route(
        name=name,
        host=fields.text(entry["Host"]).lower(),
        path_prefix=_path_prefix(entry, place),
        kind=RouteKind(entry["Kind"]),
        shares=_shares(entry, place),
        timeout_ms=timeout_ms,
        target_latency_ms=_number_or(entry, "TargetLatencyMs", timeout_ms, place=place),
        max_gap_ms=_number_or(entry, "GapAimMs", 1_000, place=place),
        max_attempts=_integer_or(entry, "MaxAttempts", 1, place=place),
        priority=_integer_or(entry, "Priority", 0, place=place),
        is_public=fields.flag(entry, "Public", place=place, if_null=False),
        is_resumable=fields.flag(entry, "Resumable", place=place, if_null=False),
    )


def _path_prefix(entry: dict[str, Any], place: str) -> str:
    prefix = fields.text(entry["PathPrefix"])
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"PathPrefix of {place} must begin and end with a slash")
    return prefix


def _shares(entry: dict[str, Any], place: str) -> tuple[TrafficShare, ...]:
    split = entry.get("TrafficSplit")
    if not split:
        return (TrafficShare(service=fields.text(entry["Service"]), weight=1),)
    shares = tuple(
        TrafficShare(
            service=fields.text(share["Service"]),
            weight=fields.integer(share["Weight"]),
        )
        for share in fields.items(split)
    )
    if not any(share.weight for share in shares):
        raise ValueError(f"TrafficSplit of {place} has no weight above 0")
    return shares


def _number_or(
    entry: dict[str, Any], field: str, default: float, *, place: str
) -> float:
    """Return a number, or the default if it is absent, null or 0."""
    if entry.get(field) is None:
        return default
    return fields.number(entry, field, place=place) or default


def _integer_or(entry: dict[str, Any], field: str, default: int, *, place: str) -> int:
    """Return an integer, or the default if it is absent, null or 0."""
    value = _number_or(entry, field, default, place=place)
    if value != int(value):
        raise ValueError(f"{field} of {place} is not an integer: {value!r:.60}")
    return int(value)


def _service(entry: dict[str, Any]) -> Service:
    name = fields.text(entry["Name"])
    engine = entry.get("Engine")
    return Service(
        name=name,
        health_path=entry.get("HealthPath") or "/",
        max_connections=_integer_or(
            entry,
            "MaxConnections",
            DEFAULT_MAX_CONNECTIONS,
            place=f"service {name!r:.60}",
        ),
        engine=_engine(engine) if engine else None,
    )


def _engine(entry: dict[str, Any]) -> EngineTraits:
    return EngineTraits(
        slots=entry["Slots"],
        kv_capacity_tokens=entry["KvCapacityTokens"],
        kv_bytes_per_token=entry["KvBytes"],
        link_mbps=entry["LinkMbps"],
        models=tuple(model["Name"] for model in entry.get("Models") or ()),
        max_event_reads=max(1, int(entry.get("MaxInFlight", 1))),
    )


def _kv_store(entry: dict[str, Any]) -> KvStore:
    return KvStore(
        name=entry["Name"],
        address=fields.address(entry["KvStoreAddr"]),
        zone=entry["Zone"],
        capacity_tokens=entry["KvCapacityTokens"],
        link_mbps=entry["LinkMbps"],
    )


def _organisations_by_key(
    entries: Iterable[dict[str, Any]],
) -> dict[str, Organisation]:
    organisations = [_organisation(entry) for entry in entries]
    return {
        key: organisation for organisation in organisations for key in organisation.keys
    }


def _organisation(entry: dict[str, Any]) -> Organisation:
    name = fields.text(entry["Name"])
    place = f"organisation {name!r:.60}"
    has_priority = entry.get("Priority") is not None
    return Organisation(
        name=name,
        keys=frozenset(_keys(entry, place)),
        priority=_integer_or(entry, "Priority", 0, place=place)
        if has_priority
        else None,
        is_isolated=fields.flag(entry, "Isolated", place=place, if_null=True),
    )


def _keys(entry: dict[str, Any], place: str) -> list[str]:
    """Return the keys; an organisation that has a quota may leave them out."""
    keys = entry.get("ApiKeys") if entry.get("RatePerS") else entry["ApiKeys"]
    if keys is None:
        return []
    # A text would count as a list of its characters, and an empty key as none.
    if not isinstance(keys, list) or not all(
        isinstance(key, str) and key for key in keys
    ):
        raise TypeError(f"ApiKeys of {place} is not a list of non-empty strings")
    return keys


def _quotas_by_organisation(entries: Iterable[dict[str, Any]]) -> dict[str, Quota]:
    quotas_by_organisation: dict[str, Quota] = {}
    for entry in entries:
        name = entry["Name"]
        quota = Quota(
            organisation=name,
            rate_per_s=_quota_number(entry, "RatePerS"),
            burst=_quota_number(entry, "Burst"),
            unit=_quota_unit(entry),
            plain_tokens=fields.integer(entry.get("PlainTokens") or 0),
        )
        if not quota.rate_per_s:
            continue
        if name in quotas_by_organisation:
            raise ValueError(f"organisation {name!r:.60} has two quotas")
        quotas_by_organisation[name] = quota
    return quotas_by_organisation


def _quota_number(entry: dict[str, Any], field: str) -> float:
    if field not in entry:
        return 0.0
    place = f"organisation {entry['Name']!r:.60}"
    return float(fields.number(entry, field, place=place))


def _quota_unit(entry: dict[str, Any]) -> QuotaUnit:
    value = entry.get("Unit")
    if value in (None, ""):
        return QuotaUnit.REQUESTS
    if value not in list(QuotaUnit):
        raise ValueError(
            f"Unit of organisation {entry['Name']!r:.60} is unknown: {value!r:.60}"
        )
    return QuotaUnit(value)


def _limits(entry: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()

    def limit(field: str, default: int) -> int:
        return int(_number_or(entry, field, default, place="the limits")) or default

    return CallerLimits(
        max_header_bytes=limit("HeaderBytes", defaults.max_header_bytes),
        max_body_bytes=limit("BodyBytes", defaults.max_body_bytes),
        header_timeout_ms=limit("HeaderMs", defaults.header_timeout_ms),
        idle_timeout_ms=limit("IdleMs", defaults.idle_timeout_ms),
    )
