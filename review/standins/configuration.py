"""The configuration of a small deployment."""

from __future__ import annotations

from typing import Any

__all__ = ["configuration"]

_DESK = {
    "Host": "desk.example",
    "TimeoutMs": 2_000,
    "TargetLatencyMs": 400,
    "Priority": 2,
    "Service": "desk",
    "Public": False,
}
_ENGINES = {
    "Host": "ai.example",
    "Kind": "streaming",
    "TimeoutMs": 4_000,
    "TargetLatencyMs": 400,
    "Priority": 0,
    "Service": "engines",
    "Public": False,
    "Sticky": True,
    "GapAimMs": 400,
    "MaxAttempts": 1,
    "Resumable": False,
}


def configuration(**changes: Any) -> dict:
    """Return a configuration with a plain service and a pool of model replicas."""
    return {
        "Routes": [
            {
                **_DESK,
                "Name": "lookup",
                "PathPrefix": "/lookup/",
                "Kind": "idempotent",
                "MaxAttempts": 2,
            },
            {
                **_DESK,
                "Name": "book",
                "PathPrefix": "/book/",
                "Kind": "non_idempotent",
                "MaxAttempts": 1,
            },
            {**_ENGINES, "Name": "ask", "PathPrefix": "/ask/"},
        ],
        "Services": [
            {"Name": "desk", "HealthPath": "/health", "MaxConnections": 100},
            {
                "Name": "engines",
                "HealthPath": "/health",
                "MaxConnections": 360,
                "Engine": {
                    "Slots": 64,
                    "KvCapacityTokens": 146_851,
                    "KvBytes": 18_432,
                    "LinkMbps": 180_000.0,
                    "MaxInFlight": 12,
                    "Models": [{"Name": "m"}],
                },
            },
        ],
        "Limits": {
            "HeaderBytes": 16_384,
            "BodyBytes": 4_194_304,
            "HeaderMs": 3_000,
            "IdleMs": 15_000,
        },
        "Tenants": [
            {"Name": "t1", "ApiKeys": ["k1"], "Priority": 1, "Isolated": False},
            {"Name": "t2", "ApiKeys": ["k2"], "Priority": 1, "Isolated": False},
        ],
        **changes,
    }
