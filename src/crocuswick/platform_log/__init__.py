"""Client of the platform's append-only log service, and claims stored in it."""

from __future__ import annotations

from crocuswick.platform_log.claim_table import ClaimTable, ClaimVerdictKind
from crocuswick.platform_log.claims import (
    IDEMPOTENCY_WINDOW_MS,
    ClaimRegistry,
    ClaimVerdict,
    RecordedResponse,
)
from crocuswick.platform_log.client import LogClient
from crocuswick.platform_log.follower import (
    GapFound,
    LogFollower,
    LogUnavailable,
    PageRead,
)
from crocuswick.platform_log.records import (
    AppendReceipt,
    LogPage,
    LogRecord,
    RetentionGap,
)

__all__ = [
    "IDEMPOTENCY_WINDOW_MS",
    "AppendReceipt",
    "ClaimRegistry",
    "ClaimTable",
    "ClaimVerdict",
    "ClaimVerdictKind",
    "GapFound",
    "LogClient",
    "LogFollower",
    "LogPage",
    "LogRecord",
    "LogUnavailable",
    "PageRead",
    "RecordedResponse",
    "RetentionGap",
]
