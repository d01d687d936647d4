"""Clients and watchers for endpoints: model engines and plain services."""

from __future__ import annotations

from crocuswick.endpoints.engine_client import (
    CompletionOrder,
    EngineClient,
    EngineStream,
    StreamFault,
)
from crocuswick.endpoints.engine_clients import EngineClients
from crocuswick.endpoints.service_client import (
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
)
from crocuswick.endpoints.watchers import EngineWatchers

__all__ = [
    "CompletionOrder",
    "EngineClient",
    "EngineClients",
    "EngineStream",
    "EngineWatchers",
    "ServiceAnswer",
    "ServiceCall",
    "ServiceClient",
    "StreamFault",
]
