"""The HTTP interface that a node offers to callers."""

from __future__ import annotations

from crocuswick.callers.completion import CompletionContext
from crocuswick.callers.server import CallersInterface, callers_application
from crocuswick.callers.service_run import ServiceContext

__all__ = [
    "CallersInterface",
    "CompletionContext",
    "ServiceContext",
    "callers_application",
]
