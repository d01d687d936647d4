"""Sample records of the platform's operators and replicas, for tests."""

from __future__ import annotations

import json
from typing import Any

__all__ = ["CONFIGURATION", "REPLICA", "encoded"]

REPLICA = {
    "Service": "engines",
    "Address": "10.128.0.9:8080",
    "Zone": "a",
    "Version": "v1",
    "Slots": 64,
    "State": "ready",
    "ColdLeftMs": 0,
    "Stage": "colocated",
    "Models": [{"Name": "m", "Version": 3, "Adapters": []}],
    "Sequence": 4,
    "born": 1_700_000_000_000,
}

_ENGINE = {
    "Slots": 64,
    "KvCapacityTokens": 146_851,
    "KvBytes": 18_432,
    "LinkMbps": 180_000.0,
    "MaxInFlight": 12,
    "Models": [{"Name": "m"}],
}

CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-wide",
            "Host": "a.example",
            "PathPrefix": "/x/",
            "Kind": "idempotent",
            "TimeoutMs": 2_000,
            "TargetLatencyMs": 400,
            "Priority": 2,
            "Service": "desk",
            "MaxAttempts": 2,
            "Public": False,
        },
        {
            "Name": "r-near",
            "Host": "a.example",
            "PathPrefix": "/x/y/",
            "Kind": "streaming",
            "TimeoutMs": 6_000,
            "TargetLatencyMs": 800,
            "Priority": 1,
            "TrafficSplit": [
                {"Service": "engines", "Weight": 90},
                {"Service": "desk", "Weight": 10},
            ],
            "MaxAttempts": 2,
            "Public": False,
            "Sticky": True,
            "Resumable": True,
            "GapAimMs": 400,
        },
    ],
    "Services": [
        {
            "Name": "engines",
            "HealthPath": "/health",
            "MaxConnections": 360,
            "Engine": _ENGINE,
        },
        {"Name": "desk", "HealthPath": "/health", "MaxConnections": 100},
        {
            "Name": "store",
            "KvStoreAddr": "172.20.0.2:8781",
            "Zone": "b",
            "KvCapacityTokens": 2_062_123,
            "LinkMbps": 22_000.0,
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
        {"Name": "t2", "ApiKeys": ["k2"], "Priority": 1, "Isolated": True},
    ],
}


def encoded(value: Any) -> bytes:
    """Return the encoded content of a record."""
    return json.dumps(value).encode()
