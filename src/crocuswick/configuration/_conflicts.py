"""Checks for objects of a set that conflict with each other."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from crocuswick.configuration._entries import Entry, IndexedFault, set_check

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from crocuswick.configuration.objects import Endpoint


@set_check
def check_ids(entries: list[Entry]) -> Iterator[IndexedFault]:
    """Report duplicate ids within a kind."""
    return _check_unique(
        entries,
        field="id",
        value_of=lambda entry: (entry.kind, entry.get("id")),
    )


@set_check
def check_models(entries: list[Entry]) -> Iterator[IndexedFault]:
    """Report public model names that several routing policies use."""
    return _check_unique_field(entries, "routing_policy", "model")


@set_check
def check_prefixes(entries: list[Entry]) -> Iterator[IndexedFault]:
    """Report path prefixes that several services use."""
    return _check_unique_field(entries, "service", "prefix")


@set_check
def check_limits(entries: list[Entry]) -> Iterator[IndexedFault]:
    """Report organisations with several limits."""
    return _check_unique_field(entries, "limit", "organisation")


@set_check
def check_keys(entries: list[Entry]) -> Iterator[IndexedFault]:
    """Report duplicate key hashes."""
    return _check_unique_field(entries, "key", "sha256")


@set_check
def check_endpoint_ids_in_pool(entries: list[Entry]) -> Iterator[IndexedFault]:
    """Report endpoints that a pool contains more than once."""
    seen = set()
    for entry, index, endpoint in _endpoints(entries):
        if (entry.index, endpoint.id) in seen:
            message = f"the endpoint {endpoint.id!r} is already in this pool"
            yield entry.fault(("endpoints", index, "id"), message)
        seen.add((entry.index, endpoint.id))


@set_check
def check_endpoints_agree(entries: list[Entry]) -> Iterator[IndexedFault]:
    """Report endpoints whose address or zone differs between pools.

    Two endpoints with the same address are reported too.
    """
    first_by_id: dict[str, tuple[Entry, Endpoint]] = {}
    first_by_address: dict[str, tuple[Entry, Endpoint]] = {}
    for entry, index, endpoint in _endpoints(entries):
        other, same_id = first_by_id.setdefault(endpoint.id, (entry, endpoint))
        for field in ("address", "zone"):
            if getattr(same_id, field) != getattr(endpoint, field):
                message = (
                    f"the endpoint {endpoint.id!r} has a different {field} "
                    f"in {other.label}"
                )
                yield entry.fault(("endpoints", index, field), message)
        other, same_address = first_by_address.setdefault(
            endpoint.address, (entry, endpoint)
        )
        if same_address.id != endpoint.id:
            message = (
                f"{endpoint.address} is the address of {same_address.id!r} "
                f"in {other.label}"
            )
            yield entry.fault(("endpoints", index, "address"), message)


@set_check
def check_endpoint_kinds(entries: list[Entry]) -> Iterator[IndexedFault]:
    """Report endpoints that are in both an engine pool and a service pool."""
    first_by_id: dict[str, Entry] = {}
    for entry, index, endpoint in _endpoints(entries):
        other = first_by_id.setdefault(endpoint.id, entry)
        kinds = {other.get("kind"), entry.get("kind")}
        if len(kinds) == 2 and None not in kinds:
            message = (
                f"the endpoint {endpoint.id!r} is of kind {other.get('kind')!r} "
                f"in {other.label}"
            )
            yield entry.fault(("endpoints", index, "id"), message)


@set_check
def check_pool_kinds(entries: list[Entry]) -> Iterator[IndexedFault]:
    """Report references to a pool of the wrong kind."""
    pool_kinds_by_id = {
        entry.get("id"): entry.get("kind")
        for entry in _of_kind(entries, "endpoint_pool")
    }
    for kind, wanted in (("routing_policy", "engine"), ("service", "plain")):
        for entry in _of_kind(entries, kind):
            found = pool_kinds_by_id.get(entry.get("pool"))
            if found not in (None, wanted):
                message = (
                    f"the pool {entry.get('pool')!r} is of kind {found!r}, "
                    f"not {wanted!r}"
                )
                yield entry.fault(("pool",), message)


def _check_unique_field(
    entries: list[Entry], kind: str, field: str
) -> Iterator[IndexedFault]:
    return _check_unique(
        _of_kind(entries, kind),
        field=field,
        value_of=lambda entry: entry.get(field),
    )


def _check_unique(
    entries: list[Entry], *, field: str, value_of: Callable[[Entry], Any]
) -> Iterator[IndexedFault]:
    first_by_value: dict[Any, Entry] = {}
    for entry in entries:
        if entry.get(field) is None:
            continue
        first = first_by_value.setdefault(value_of(entry), entry)
        if first is not entry:
            message = (
                f"{entry.get(field)!r} is already used by {first.label} "
                f"(objects[{first.index}])"
            )
            yield entry.fault((field,), message)


def _of_kind(entries: list[Entry], kind: str) -> list[Entry]:
    return [entry for entry in entries if entry.kind == kind]


def _endpoints(entries: list[Entry]) -> Iterator[tuple[Entry, int, Endpoint]]:
    for entry in _of_kind(entries, "endpoint_pool"):
        for index, endpoint in enumerate(entry.get("endpoints") or ()):
            if endpoint is not None:
                yield entry, index, endpoint
