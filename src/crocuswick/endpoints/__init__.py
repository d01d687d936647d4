"""Clients and watchers for endpoints: model engines and plain services."""

from __future__ import annotations

from crocuswick.endpoints.engine_client import (
    EngineClient,
    EngineCompletionRequest,
    EngineStream,
    StreamFault,
)
from crocuswick.endpoints.engine_clients import EngineClients
from crocuswick.endpoints.service_client import (
    ServiceCall,
    ServiceClient,
    ServiceResponse,
)
from crocuswick.endpoints.watchers import EngineWatchers

__all__ = [
    "EngineClient",
    "EngineClients",
    "EngineCompletionRequest",
    "EngineStream",
    "EngineWatchers",
    "ServiceCall",
    "ServiceClient",
    "ServiceResponse",
    "StreamFault",
]
