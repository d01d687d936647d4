"""The operators' configuration: objects, validation, revisions and storage."""

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
    to_record,
)
from crocuswick.configuration.store import ConfigurationStore
from crocuswick.configuration.submission import Change, ObjectName
from crocuswick.configuration.verdict import Verdict, VerdictKind

__all__ = [
    "EMPTY_CONFIGURATION",
    "Change",
    "Configuration",
    "ConfigurationStore",
    "Endpoint",
    "EndpointPool",
    "Fault",
    "Key",
    "Limit",
    "ModelVersion",
    "ObjectName",
    "ObjectSet",
    "Organisation",
    "RoutingPolicy",
    "Service",
    "Verdict",
    "VerdictKind",
    "check_objects",
    "check_set",
    "parse_set",
    "to_record",
]
