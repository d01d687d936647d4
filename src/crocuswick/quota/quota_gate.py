"""Charges requests to quotas and exchanges reports with the other nodes."""

from __future__ import annotations

import threading
import uuid
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from crocuswick.boot_clock import boot_clock_s
from crocuswick.errors import Refusal
from crocuswick.gossip.messages import QuotaUsage
from crocuswick.malformed import MALFORMED
from crocuswick.quota.fleet_quota import FleetQuota
from crocuswick.quota.report import QuotaRefusal, QuotaReport

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from crocuswick.decision_log import DecisionLog
    from crocuswick.fleet_metrics import FleetMetrics
    from crocuswick.quota.quota import Quota, QuotaBounds

__all__ = ["TICK_S", "QuotaCharge", "QuotaGate"]

TICK_S = 0.05
"""Interval at which the gate checks whether a report is due; half of the shortest one."""

RENEW_AFTER_S = 0.3
"""Age of a charge from which it is renewed before the request is sent. Requests that
waited would otherwise run in a later window than the one that they count in."""


@attrs.define(kw_only=True)
class QuotaCharge:
    """What a request was charged."""

    organisation: str
    cost: int
    request_id: str
    charged_s: float
    is_credited: bool = False


class QuotaGate:
    """Thread-safe gate through which requests pass before they are placed.

    Args:
        node_id: Id of this node.
        bounds: Bounds of all quotas.
        is_first_start: Whether no process of the fleet has run before.
        publish: Sends a message to the whole fleet.
        log: Log of decisions.
        metrics: Metrics of the node.
    """

    def __init__(
        self,
        *,
        node_id: str,
        bounds: QuotaBounds,
        is_first_start: bool,
        publish: Callable[[QuotaUsage], None],
        log: DecisionLog,
        metrics: FleetMetrics,
        clock: Callable[[], float] = boot_clock_s,
    ):
        self._clock = clock
        self._quotas = FleetQuota(
            node_id=node_id,
            incarnation=uuid.uuid4().hex[:8],
            bounds=bounds,
            is_first_start=is_first_start,
            now_s=clock(),
        )
        self._quotas_by_organisation: Mapping[str, Quota] = {}
        self._publish = publish
        self._log = log
        self._metrics = metrics
        self._lock = threading.Lock()

    @property
    def is_settled(self) -> bool:
        """Whether requests with a quota can be admitted."""
        return not self._quotas_by_organisation or self._quotas.may_admit

    def set_quotas(self, quotas_by_organisation: Mapping[str, Quota]) -> None:
        """Put the quotas of a configuration in force."""
        if not quotas_by_organisation and not self._quotas_by_organisation:
            return
        with self._lock:
            self._quotas.set_quotas(quotas_by_organisation.values(), self._clock())
            self._quotas_by_organisation = quotas_by_organisation
        self._log.record_state(
            "quotas in force",
            quotas={
                name: [quota.rate_per_s, quota.burst, quota.unit]
                for name, quota in quotas_by_organisation.items()
            },
        )

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Replace the bounds of all quotas."""
        with self._lock:
            self._quotas.set_bounds(bounds)

    def set_known_nodes(self, count: int) -> None:
        """Record how many nodes the gossip knows, including this one."""
        with self._lock:
            self._quotas.set_known(count, self._clock())

    def charge(
        self, organisation: str, stated_tokens: int | None, request_id: str
    ) -> Result[QuotaCharge | None, Refusal]:
        """Charge a request to its organisation's quota.

        Args:
            organisation: Name of the organisation.
            stated_tokens: Tokens that the caller states, None if it states none.
            request_id: Id of the request, for the log.

        Returns:
            The charge, None without a quota, or the refusal.
        """
        quota = self._quotas_by_organisation.get(organisation)
        if quota is None:
            return Ok(None)
        charge = QuotaCharge(
            organisation=organisation,
            cost=quota.cost(stated_tokens),
            request_id=request_id,
            charged_s=self._clock(),
        )
        refusal = self._admit(charge)
        return Ok(charge) if refusal is None else Err(refusal)

    def renew(self, charge: QuotaCharge) -> Refusal | None:
        """Charge a request that has waited again, instead of before.

        Returns:
            The refusal, or None if the request may still be sent.
        """
        now_s = self._clock()
        if now_s - charge.charged_s < RENEW_AFTER_S:
            return None
        self.credit(charge)
        charge.charged_s = now_s
        return self._admit(charge)

    def credit(self, charge: QuotaCharge) -> None:
        """Return the charge of a request that has not run; repeating it has no effect."""
        with self._lock:
            if charge.is_credited:
                return
            charge.is_credited = True
            self._quotas.credit(charge.organisation, charge.cost, self._clock())
        self._metrics.quota_credited.add(
            {"organisation": charge.organisation}, charge.cost
        )

    def receive(self, usage: QuotaUsage, sender: str) -> None:
        """Take in a peer's report; a malformed one is logged and ignored."""
        try:
            report = _decode(usage, sender)
        except MALFORMED as error:
            self._log.record_state(
                "quota report ignored", peer=sender, error=str(error)
            )
            return
        with self._lock:
            self._quotas.receive(report, self._clock())

    def tick(self) -> None:
        """Send a report if one is due; to be called every `TICK_S`."""
        if not self._quotas_by_organisation:
            return
        with self._lock:
            report = self._quotas.report_if_due(self._clock())
        if report is not None:
            self._publish(_encode(report))

    def set_gauges(self) -> None:
        """Update the gauges of the quotas."""
        if not self._quotas_by_organisation:
            return
        with self._lock:
            levels = self._quotas.levels_by_organisation
            heard, known = self._quotas.heard_nodes, self._quotas.known_nodes
        for organisation, level in levels.items():
            self._metrics.quota_level.set({"organisation": organisation}, level)
        self._metrics.quota_nodes.set({"state": "heard"}, heard)
        self._metrics.quota_nodes.set({"state": "known"}, known)

    def _admit(self, charge: QuotaCharge) -> Refusal | None:
        with self._lock:
            refusal = self._quotas.admit(
                charge.organisation, charge.cost, self._clock()
            )
            charge.is_credited = refusal is not None
        if refusal is None:
            self._metrics.quota_admitted.add(
                {"organisation": charge.organisation}, charge.cost
            )
            return None
        self._report_refusal(refusal, charge.request_id)
        return Refusal(
            status=429,
            title="over-quota",
            detail=(
                "The request was not run: its organisation is over its quota of"
                f" {refusal.unit}."
            ),
            step="quota",
            retry_after_s=refusal.retry_after_s,
        )

    def _report_refusal(self, refusal: QuotaRefusal, request_id: str) -> None:
        self._metrics.quota_refusals.inc(
            {"organisation": refusal.organisation, "cause": refusal.cause}
        )
        oldest_s = refusal.oldest_report_s
        self._log.record(
            "quota refused",
            failed=True,
            request=request_id,
            organisation=refusal.organisation,
            cause=refusal.cause,
            unit=refusal.unit,
            cost=refusal.cost,
            level=round(refusal.level, 1),
            rate_per_s=round(refusal.rate_per_s, 1),
            heard=refusal.heard_nodes,
            known=refusal.known_nodes,
            oldest_report_ms=None if oldest_s is None else round(oldest_s * 1000),
            retry_after_s=round(refusal.retry_after_s, 2),
        )


def _encode(report: QuotaReport) -> QuotaUsage:
    return QuotaUsage(
        incarnation=report.incarnation,
        number=report.number,
        uptime_ms=round(report.uptime_s * 1000),
        known_nodes=report.known_nodes,
        usage_by_organisation={
            organisation: list(usage)
            for organisation, usage in report.usage_by_organisation.items()
        },
    )


def _decode(usage: QuotaUsage, sender: str) -> QuotaReport:
    return QuotaReport(
        node_id=sender,
        incarnation=str(usage.incarnation),
        number=int(usage.number),
        uptime_s=usage.uptime_ms / 1000,
        known_nodes=int(usage.known_nodes),
        usage_by_organisation={
            organisation: (float(total), float(delta))
            for organisation, (total, delta) in usage.usage_by_organisation.items()
        },
    )
