"""Quotas of organisations that all nodes of a fleet enforce together."""

from __future__ import annotations

from crocuswick.quota.fleet_quota import FleetQuota
from crocuswick.quota.quota import Quota, QuotaBounds, QuotaUnit
from crocuswick.quota.report import QuotaRefusal, QuotaReport

__all__ = [
    "FleetQuota",
    "Quota",
    "QuotaBounds",
    "QuotaRefusal",
    "QuotaReport",
    "QuotaUnit",
]
