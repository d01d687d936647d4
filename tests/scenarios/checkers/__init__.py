"""Checkers of the properties of a history, one module per property."""

from tests.scenarios.checkers import (
    at_most_once,
    cache_isolation,
    configuration,
    graceful_shutdown,
    leaving_endpoint,
    not_run,
    own_answer,
    warm_start,
    whole_stream,
)
from tests.scenarios.checkers.registry import (
    Verdict,
    Violation,
    check,
    checkers_by_property,
    title_of,
)

__all__ = [
    "Verdict",
    "Violation",
    "at_most_once",
    "cache_isolation",
    "check",
    "checkers_by_property",
    "configuration",
    "graceful_shutdown",
    "leaving_endpoint",
    "not_run",
    "own_answer",
    "title_of",
    "warm_start",
    "whole_stream",
]
