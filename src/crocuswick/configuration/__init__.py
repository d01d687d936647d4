"""The operators' configuration: objects, checks, revisions and their keeper."""

from __future__ import annotations

from crocuswick.configuration.checks import (
    Fault,
    ObjectSet,
    check_objects,
    check_set,
    parse_set,
)
from crocuswick.configuration.model import EMPTY_CONFIGURATION, Configuration
from crocuswick.configuration.objects import (
    Endpoint,
    EndpointPool,
    Key,
    Limit,
    ModelVersion,
    Organisation,
    RoutingPolicy,
    Service,
)
from crocuswick.configuration.verdict import Verdict, VerdictKind

__all__ = [
    "EMPTY_CONFIGURATION",
    "Configuration",
    "Endpoint",
    "EndpointPool",
    "Fault",
    "Key",
    "Limit",
    "ModelVersion",
    "ObjectSet",
    "Organisation",
    "RoutingPolicy",
    "Service",
    "Verdict",
    "VerdictKind",
    "check_objects",
    "check_set",
    "parse_set",
]
