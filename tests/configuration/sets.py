"""Sample sets of configuration objects for tests."""

from __future__ import annotations

from typing import Any

from crocuswick.configuration import ObjectSet, check_objects

__all__ = ["object_set", "organisation", "small_objects"]


def organisation(number: int, **fields: Any) -> dict[str, Any]:
    """Return the plain form of an organisation."""
    return {"kind": "organisation", "id": f"org-{number}", **fields}


def small_objects() -> list[dict[str, Any]]:
    """Return a valid set with at least one object of each kind."""
    return [
        organisation(1),
        {
            "kind": "model_version",
            "id": "lm-v1",
            "model": "lm",
            "weights_version": "v1",
        },
        {
            "kind": "endpoint_pool",
            "id": "engines",
            "pool_kind": "engine",
            "endpoints": [{"id": "e1", "address": "127.0.0.1:9001", "zone": "perth-a"}],
        },
        {
            "kind": "endpoint_pool",
            "id": "plain",
            "pool_kind": "plain",
            "endpoints": [{"id": "p1", "address": "127.0.0.1:9002", "zone": "perth-a"}],
        },
        {
            "kind": "routing_policy",
            "id": "to-lm",
            "model": "lm-pool",
            "model_version": "lm-v1",
            "pool": "engines",
        },
        {"kind": "service", "id": "tent", "prefix": "tent-app", "pool": "plain"},
        {
            "kind": "limit",
            "id": "limit-1",
            "organisation": "org-1",
            "requests_per_s": 5,
            "tokens_per_s": 1e4,
            "concurrent_streams": 4,
        },
        {"kind": "key", "id": "key-1", "organisation": "org-1", "sha256": "0" * 64},
    ]


def object_set(base_revision: int, objects: list[dict[str, Any]]) -> ObjectSet:
    """Return a valid set."""
    return ObjectSet(
        base_revision=base_revision, objects=check_objects(objects).unwrap()
    )
