"""Quotas as one node enforces them from its own admissions and its peers' reports."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

import attrs

from crocuswick.quota.fleet_bucket import FleetBucket
from crocuswick.quota.report import QuotaRefusal, QuotaReport

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from crocuswick.quota.quota import Quota, QuotaBounds

__all__ = ["FleetQuota"]

MIN_HEARTBEAT_S = 0.6
MAX_HEARTBEAT_S = 2.0
"""Bounds of the interval between reports of small changes, which also show that a node is
up."""

HEARTBEAT_S_PER_NODE = 0.0165
"""The interval per known node, with which a node receives about 70 of them a second in
fleets of 37 to 120 nodes."""

MIN_REPORT_INTERVAL_S = 0.1
RELAXED_REPORT_INTERVAL_S = 0.25
"""Shortest interval between reports while all changed levels are high. The fleet can't
use up half of a burst and half of the allowance in this time at 7.5 times the usual load."""

HIGH_LEVEL = 0.5
"""Level, as a share of the capacity, that counts as high."""

UNREPORTED_SHARE = 0.5
"""Share of the allowance that all nodes together may have admitted without a report."""

HEARTBEAT_SPREAD = 0.3
"""Part of the interval by which it varies, so that the nodes of a fleet that have started
together don't all report at the same time."""

SILENT_AFTER_INTERVALS = 2.4
"""Intervals without a report after which a peer counts as silent: two were lost."""

GROUP_SILENT_AFTER_INTERVALS = 1.2
GROUP_SHARE = 0.2
"""The same for many peers at once, which have each lost one: the sign of a partition. Until
it is noticed, each side may use the whole level."""

ISOLATED_AFTER_S = 0.5
ISOLATED_AFTER_INTERVALS = 1.2
"""The same without a report of any peer: the longer of the two times in a small fleet, the
shorter one in a fleet of more than `MANY_PEERS` peers, from which a report arrives every
0.1 s. A node alone that gets most of the demand uses up a burst in a fraction of a second."""

MANY_PEERS = 12
REPORT_DELAY_S = 0.1

STALL_S = 0.15
"""Time without a call from which this process itself was held up, not its peers."""

SILENCE_CHECK_S = 0.1
"""Interval at which silent peers are looked for."""

REFRESH_S = 0.05
"""Interval at which it is checked whether the node was paused."""

PAUSE_S = 1.0
"""Time without a call after which a node has not seen what its peers admitted. It
continues with empty buckets, as after a restart."""

SETTLE_S = 1.5
"""Time after the first quota is in force until which the fleet's size is unknown. Connections to peers take
some tenths of a second."""

SETTLE_ALONE_S = 3.0
"""The same for a node that hears no peer; it may be about to connect."""

ESTABLISHED_S = 10.0
"""Uptime from which a peer knows the fleet's size, so that its report tells it."""

SETTLED_SHARE = 0.8
"""Share of the known nodes that a node must hear to settle earlier."""

PHASE_STEP = 0.618
"""Step of the phase from report to report; multiples of the golden ratio spread evenly."""

STALE_REPORT_S = 0.5
"""Delay of a report, beyond the least one seen, from which it was waiting while this node
was paused."""

NEW_NODE_S = 10.0
"""Uptime up to which a quota that appears starts with an empty bucket. The configuration
that a node reads first may be an older one."""


@attrs.define(kw_only=True)
class _Peer:
    """What is known of another node."""

    incarnation: str
    number: int
    heard_s: float
    is_younger: bool
    """Whether its process started after this one, so that its totals are all new."""

    offset_s: float
    """Least difference seen between this node's clock and the uptime in a report."""

    is_silent: bool = False
    needs_baseline: bool = False
    """Whether reports sent during a pause of this node may still arrive. What they contain
    was admitted in a time for which this node has refilled nothing."""

    totals_by_organisation: dict[str, float] = attrs.Factory(dict)
    set_aside_by_organisation: dict[str, float] = attrs.Factory(dict)
    """Its part of each level when it became silent."""


@attrs.define(kw_only=True)
class _Usage:
    """What this node has admitted of an organisation."""

    total: float = 0.0
    # A float, because the sum of what callers state may not fit a message's integers.
    reported: float = 0.0

    @property
    def unreported(self) -> float:
        return self.total - self.reported


class FleetQuota:
    """Decides which requests are within their organisation's quota.

    Not thread-safe and without a clock. Times should come from a clock that advances
    while the machine is suspended.

    Args:
        node_id: Id of this node.
        incarnation: Identifies the run of this process.
        bounds: Bounds of all quotas.
        is_first_start: Whether no process of the fleet has run before.
        now_s: Time of the start.
    """

    def __init__(
        self,
        *,
        node_id: str,
        incarnation: str,
        bounds: QuotaBounds,
        is_first_start: bool,
        now_s: float,
    ):
        self._node_id = node_id
        self._incarnation = incarnation
        self._bounds = bounds
        self._starts_full = is_first_start
        self._started_s = self._settle_from_s = now_s
        self._is_settled = False
        self._hears_established = False
        self._buckets_by_organisation: dict[str, FleetBucket] = {}
        self._usage_by_organisation: dict[str, _Usage] = {}
        self._peers_by_id: dict[str, _Peer] = {}
        self._known = 1
        self._heard = 1
        self._refreshed_s = self._silence_checked_s = self._last_heard_s = now_s
        self._phase = zlib.crc32(f"{node_id} {incarnation}".encode()) / 2**32
        self._reported_s = float("-inf")
        self._report_number = 0
        self._due_organisations: set[str] = set()

    @property
    def is_active(self) -> bool:
        """Whether any organisation has a quota."""
        return bool(self._buckets_by_organisation)

    @property
    def may_admit(self) -> bool:
        """Whether requests can be admitted; not before the fleet's size is known."""
        return self._is_settled or self._starts_full

    @property
    def heard_nodes(self) -> int:
        """Number of nodes that were heard lately, including this one."""
        return self._heard

    @property
    def known_nodes(self) -> int:
        """Number of nodes that share the quotas; it never falls."""
        return self._known

    @property
    def levels_by_organisation(self) -> dict[str, float]:
        """Estimated level of each organisation's bucket."""
        return {
            name: bucket.level for name, bucket in self._buckets_by_organisation.items()
        }

    def set_quotas(self, quotas: Iterable[Quota], now_s: float) -> None:
        """Replace all quotas; what has been admitted still counts."""
        if self.is_active:
            self._refresh(now_s)
        else:
            self._activate(now_s)
        buckets = {}
        for quota in quotas:
            bucket = self._buckets_by_organisation.get(quota.organisation)
            if bucket is None:
                bucket = FleetBucket(
                    quota=quota,
                    bounds=self._bounds,
                    level=self._initial_level(now_s),
                    now_s=now_s,
                )
                self._set_share(bucket, now_s)
            else:
                bucket.configure(quota, self._bounds)
            buckets[quota.organisation] = bucket
        self._buckets_by_organisation = buckets

    def _activate(self, now_s: float) -> None:
        """Begin to keep time; without quotas, neither time nor peers are followed."""
        self._refreshed_s = self._settle_from_s = self._last_heard_s = now_s
        self._is_settled = False
        # A node that has run for some time knows what it admitted: the quotas are new.
        self._starts_full |= now_s - self._started_s >= NEW_NODE_S

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Replace the bounds."""
        self._bounds = bounds
        for bucket in self._buckets_by_organisation.values():
            bucket.configure(bucket.quota, bounds)

    def set_known(self, count: int, now_s: float) -> None:
        """Record how many nodes the gossip knows, including this one."""
        if count > self._known:
            self._refresh(now_s)
            self._known = count
            self._update_share(now_s)

    def admit(self, organisation: str, cost: int, now_s: float) -> QuotaRefusal | None:
        """Admit a request, which then counts until it is credited.

        Returns:
            The refusal, or None if the request is admitted or has no quota.
        """
        bucket = self._buckets_by_organisation.get(organisation)
        if bucket is None:
            return None
        self._refresh(now_s)
        bucket.refill(now_s)
        cause = bucket.try_take(cost) if self.may_admit else "starting"
        if cause:
            return self._refusal(bucket, cost, cause, now_s)
        self._count(organisation, cost)
        return None

    def credit(self, organisation: str, cost: int, now_s: float) -> None:
        """Return what a request was charged that has not run."""
        bucket = self._buckets_by_organisation.get(organisation)
        if bucket is None:
            return
        self._refresh(now_s)
        bucket.refill(now_s)
        bucket.add(cost)
        self._count(organisation, -cost)

    def receive(self, report: QuotaReport, now_s: float) -> None:
        """Debit what a peer has admitted."""
        if report.node_id == self._node_id:
            return
        self._refresh(now_s)
        self._last_heard_s = now_s
        peer = self._peers_by_id.get(report.node_id)
        if peer is None or peer.incarnation != report.incarnation:
            self._add_peer(report, now_s)
        elif report.number > peer.number:
            self._update_peer(peer, report, now_s)
        else:
            return
        self._hears_established |= report.uptime_s >= ESTABLISHED_S
        known = max(self._known, report.known_nodes, len(self._peers_by_id) + 1)
        if known != self._known:
            self._known = known
            self._update_share(now_s)

    def report_if_due(self, now_s: float) -> QuotaReport | None:
        """Return the report to send now, None if none is due.

        Call this at least every `MIN_REPORT_INTERVAL_S`.
        """
        self._refresh(now_s)
        if not self.is_active or now_s - self._reported_s < self._interval_s():
            return None
        return self._report(now_s)

    # Reports.

    def _interval_s(self) -> float:
        """Return the time from the last report to the next one."""
        if not self._due_organisations:
            phase = (self._phase + PHASE_STEP * self._report_number) % 1.0
            if self._report_number == 1:
                return self._heartbeat_s * phase
            return self._heartbeat_s * (1 - HEARTBEAT_SPREAD * phase)
        buckets = self._buckets_by_organisation
        are_high = all(
            buckets[name].level >= HIGH_LEVEL * buckets[name].capacity
            for name in self._due_organisations
            if name in buckets
        )
        return RELAXED_REPORT_INTERVAL_S if are_high else MIN_REPORT_INTERVAL_S

    @property
    def _heartbeat_s(self) -> float:
        interval_s = HEARTBEAT_S_PER_NODE * self._known
        return min(max(interval_s, MIN_HEARTBEAT_S), MAX_HEARTBEAT_S)

    def _report(self, now_s: float) -> QuotaReport:
        self._reported_s = now_s
        self._report_number += 1
        self._due_organisations.clear()
        usage_by_organisation = {}
        for organisation, usage in self._usage_by_organisation.items():
            if usage.unreported:
                usage_by_organisation[organisation] = (usage.total, usage.unreported)
                usage.reported = usage.total
        return QuotaReport(
            node_id=self._node_id,
            incarnation=self._incarnation,
            number=self._report_number,
            uptime_s=now_s - self._started_s,
            known_nodes=self._known,
            usage_by_organisation=usage_by_organisation,
        )

    def _count(self, organisation: str, cost: float) -> None:
        usage = self._usage_by_organisation.setdefault(organisation, _Usage())
        usage.total += cost
        bucket = self._buckets_by_organisation[organisation]
        # All nodes together stay within what the level and the allowance can cover.
        covered = UNREPORTED_SHARE * bucket.allowance + max(0.0, bucket.level)
        if abs(usage.unreported) * self._known > covered:
            self._due_organisations.add(organisation)

    # Peers.

    def _add_peer(self, report: QuotaReport, now_s: float) -> None:
        """Record a node or its restart; debit what it has admitted as far as it counts."""
        earlier = self._peers_by_id.get(report.node_id)
        is_younger = earlier is not None or (report.uptime_s <= now_s - self._started_s)
        peer = _Peer(
            incarnation=report.incarnation,
            number=report.number,
            heard_s=now_s,
            offset_s=now_s - report.uptime_s,
            is_younger=is_younger,
        )
        self._peers_by_id[report.node_id] = peer
        self._update_share(now_s)
        for organisation, (total, delta) in report.usage_by_organisation.items():
            peer.totals_by_organisation[organisation] = total
            bucket = self._refilled(organisation, now_s)
            if bucket is not None and is_younger:
                bucket.add(-total)
            elif bucket is not None:
                # A bucket that was full at the start did not know of it. An empty one
                # has nothing left of the time before.
                covered = min(total, max(0.0, bucket.level))
                bucket.add(-max(delta, covered))

    def _update_peer(self, peer: _Peer, report: QuotaReport, now_s: float) -> None:
        peer.number = report.number
        peer.offset_s = min(peer.offset_s, now_s - report.uptime_s)
        delay_s = now_s - report.uptime_s - peer.offset_s
        is_stale = delay_s > STALE_REPORT_S
        if peer.needs_baseline and is_stale:
            for organisation, (total, _) in report.usage_by_organisation.items():
                peer.totals_by_organisation[organisation] = total
            return
        peer.needs_baseline = False
        used_by_organisation = self._used(peer, report)
        returned_after_s = now_s - peer.heard_s
        peer.heard_s = max(peer.heard_s, now_s - delay_s)
        if peer.is_silent and not is_stale:
            peer.is_silent = False
            self._update_share(now_s)
            self._return_share(peer, returned_after_s, used_by_organisation)
            return
        for organisation, used in used_by_organisation.items():
            bucket = self._refilled(organisation, now_s)
            if bucket is not None:
                bucket.add(-used)

    def _used(self, peer: _Peer, report: QuotaReport) -> dict[str, float]:
        """Return what a report adds to the peer's totals, and update them."""
        used_by_organisation = {}
        for organisation, (total, delta) in report.usage_by_organisation.items():
            before = peer.totals_by_organisation.get(organisation)
            if before is None:
                before = 0.0 if peer.is_younger else total - delta
            peer.totals_by_organisation[organisation] = total
            used_by_organisation[organisation] = total - before
        return used_by_organisation

    def _return_share(
        self, peer: _Peer, silent_s: float, used_by_organisation: Mapping[str, float]
    ) -> None:
        """Add a peer's part of each level, less what it has used.

        Its part of the capacity bounds the part, as it did at the peer.
        """
        for organisation, bucket in self._buckets_by_organisation.items():
            set_aside = peer.set_aside_by_organisation.get(organisation, 0.0)
            refilled = bucket.quota.rate_per_s * silent_s / self._known
            unused = set_aside + refilled - used_by_organisation.get(organisation, 0.0)
            bucket.add(min(unused, bucket.capacity / self._known))
        peer.set_aside_by_organisation.clear()

    def _refilled(self, organisation: str, now_s: float) -> FleetBucket | None:
        bucket = self._buckets_by_organisation.get(organisation)
        if bucket is not None:
            bucket.refill(now_s)
        return bucket

    # Time.

    def _update_share(self, now_s: float) -> None:
        """Count the heard nodes, whose share of the quotas this node uses from now on."""
        self._heard = 1 + sum(not peer.is_silent for peer in self._peers_by_id.values())
        self._known = max(self._known, self._heard)
        for bucket in self._buckets_by_organisation.values():
            self._set_share(bucket, now_s)

    def _set_share(self, bucket: FleetBucket, now_s: float) -> None:
        share = self._heard / self._known
        # The bucket begins full. How many nodes there are is not known yet, but what they
        # admit is debited when they are heard.
        is_full = self._starts_full and not self._is_settled
        bucket.set_share(now_s, of_rate=share, of_capacity=1.0 if is_full else share)

    def _refresh(self, now_s: float) -> None:
        """Take into account that time has passed, before anything else happens."""
        elapsed_s = now_s - self._refreshed_s
        if elapsed_s < REFRESH_S:
            return
        self._refreshed_s = now_s
        if elapsed_s > PAUSE_S:
            self._restart_after_pause(now_s)
            return
        if elapsed_s > STALL_S:
            # Nothing could be heard meanwhile.
            self._last_heard_s += elapsed_s
        if not self._is_settled:
            self._settle(now_s)
        if now_s - self._silence_checked_s >= SILENCE_CHECK_S:
            self._silence_checked_s = now_s
            self._debit_silent(now_s)

    def _settle(self, now_s: float) -> None:
        """Begin to admit once the fleet's size is known."""
        waited_s = now_s - self._settle_from_s
        hears_most = self._heard >= SETTLED_SHARE * self._known
        is_alone = self._heard == 1 and not self._starts_full
        settle_s = SETTLE_ALONE_S if is_alone else SETTLE_S
        if waited_s < settle_s and not (hears_most and self._hears_established):
            return
        self._is_settled = True
        self._update_share(now_s)
        if self._starts_full:
            return
        for bucket in self._buckets_by_organisation.values():
            # The share may have been too large while few nodes were known.
            bucket.skip_to(now_s)

    def _restart_after_pause(self, now_s: float) -> None:
        """Empty all buckets and forget the totals of peers, as after a restart."""
        for bucket in self._buckets_by_organisation.values():
            bucket.skip_to(now_s)
        for peer in self._peers_by_id.values():
            peer.heard_s = now_s
            peer.is_silent = True
            peer.is_younger = False
            peer.needs_baseline = True
            peer.set_aside_by_organisation.clear()
            peer.totals_by_organisation.clear()
        self._update_share(now_s)

    def _debit_silent(self, now_s: float) -> None:
        """Give up the share of peers that have just become silent.

        They continue with their own estimate of the level, so that the level is divided
        as well.
        """
        silent = self._newly_silent(now_s)
        if not silent:
            return
        self._set_aside(silent, now_s)
        for peer in silent:
            peer.is_silent = True
        self._update_share(now_s)

    def _newly_silent(self, now_s: float) -> list[_Peer]:
        heard = [peer for peer in self._peers_by_id.values() if not peer.is_silent]
        interval_s = self._heartbeat_s
        isolated_s = REPORT_DELAY_S + ISOLATED_AFTER_INTERVALS * interval_s
        if len(heard) > MANY_PEERS:
            isolated_s = ISOLATED_AFTER_S
        if now_s - self._last_heard_s > isolated_s:
            return heard
        late_s = now_s - REPORT_DELAY_S - GROUP_SILENT_AFTER_INTERVALS * interval_s
        late = [peer for peer in heard if peer.heard_s < late_s]
        if len(late) > max(1.0, GROUP_SHARE * len(heard)):
            return late
        oldest_s = now_s - SILENT_AFTER_INTERVALS * interval_s
        return [peer for peer in late if peer.heard_s < oldest_s]

    def _set_aside(self, silent: list[_Peer], now_s: float) -> None:
        """Take the part of the silent peers from each level.

        It is the part of what remains when what they may have refilled since their last
        report is debited.
        """
        silent_s = sum(now_s - peer.heard_s for peer in silent)
        for organisation, bucket in self._buckets_by_organisation.items():
            bucket.refill(now_s)
            bucket.add(-bucket.quota.rate_per_s * silent_s / self._known)
            part = max(0.0, bucket.level) / self._heard
            bucket.add(-part * len(silent))
            for peer in silent:
                peer.set_aside_by_organisation[organisation] = part

    def _initial_level(self, now_s: float) -> float:
        is_new = now_s - self._started_s < NEW_NODE_S
        return 0.0 if is_new and not self._starts_full else math.inf

    def _refusal(
        self, bucket: FleetBucket, cost: int, cause: str, now_s: float
    ) -> QuotaRefusal:
        heard_s = [
            peer.heard_s for peer in self._peers_by_id.values() if not peer.is_silent
        ]
        quota = bucket.quota
        return QuotaRefusal(
            organisation=quota.organisation,
            unit=quota.unit,
            cost=cost,
            level=bucket.level,
            rate_per_s=bucket.refill_per_s,
            heard_nodes=self._heard,
            known_nodes=self._known,
            oldest_report_s=now_s - min(heard_s) if heard_s else None,
            retry_after_s=self._retry_after_s(bucket, cost, now_s),
            cause=cause,
        )

    def _retry_after_s(self, bucket: FleetBucket, cost: int, now_s: float) -> float:
        retry_after_s = bucket.retry_after_s(cost, now_s)
        if self.may_admit:
            return retry_after_s
        return retry_after_s + max(0.0, SETTLE_S - (now_s - self._settle_from_s))
