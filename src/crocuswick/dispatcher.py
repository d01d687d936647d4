"""Actor that takes a node's admission, placement, retry and quarantine decisions.

Each decision is requested by a message to this actor. The actor is the only owner of
the objects that make the decisions, so none of them needs a lock.
"""

from __future__ import annotations

import time
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from crocuswick.actor import Actor, Message
from crocuswick.byte_budget import ByteKind, node_full
from crocuswick.cache_index import CacheEvents, CacheSnapshot
from crocuswick.circuit_breaker import CircuitBreakers
from crocuswick.configuration import Configuration
from crocuswick.draining import draining_refusal
from crocuswick.endpoint_crashes import EndpointCrashes
from crocuswick.errors import Refusal
from crocuswick.fleet_share import FleetShare
from crocuswick.limits import Admission, OrganisationLimit, Ticket
from crocuswick.load import LoadReport
from crocuswick.placement import (
    EndpointDescription,
    EndpointStatus,
    Placement,
    PlacementRequest,
    Placer,
)
from crocuswick.quarantine import CrashReport, Loss, Quarantine
from crocuswick.retry_budget import RetryBudget
from crocuswick.segment_quarantine import LostRequest, SegmentQuarantine
from crocuswick.suspects import AttemptId, Suspects

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from crocuswick.byte_budget import ByteBudget
    from crocuswick.demand_meter import OrganisationDemand
    from crocuswick.time_line import TimeLine

__all__ = ["Dispatcher", "FailureKind", "FailureVerdict"]

MAX_ATTEMPTS = 5
PEERS_BLOCKS_AFTER_S = 15.0
"""Time after its start from which a node blames blocks for crashes that others have seen.
Before, it has seen too few answers to tell them from blocks that most requests share."""

MAX_REPORTED_BLOCKS = 16
"""Blocks of a prompt that reports of crashes name, from its begin. Reports travel in
datagrams, and long prompts share their begin."""

NO_ENDPOINT_STATUS = 503


class FailureKind(StrEnum):
    """How an attempt at an endpoint failed."""

    REFUSED = "refused"
    """The endpoint reported that it did not run the request."""

    LOST = "lost"
    """The endpoint stopped responding to the request."""

    CRASHED = "crashed"
    """The endpoint crashed while it ran the request."""


@attrs.frozen(kw_only=True)
class FailureVerdict:
    """How to proceed after a failed attempt."""

    retry: bool
    """Whether to make another attempt."""

    refusal: Refusal | None = None
    """Refusal to return to the caller if the request is now quarantined."""

    delay_s: float = 0.0
    """Seconds to wait before the next attempt."""


class Dispatcher(Actor):
    """Owns the state of placement, limits, retries and quarantine of one node.

    Args:
        placer: Placement state of this node.
        admission: Admission state of this node.
        quarantine: Fingerprints of requests that crashed endpoints.
        byte_budget: Limit on the request body bytes that the node buffers.
        time_line: Time line in which endpoint crashes are recorded.
        broadcast_crash_report: Called with each new crash report, to send it to
            the other nodes.
    """

    @attrs.frozen(kw_only=True)
    class SetEndpoints(Message):
        """Replace the configured endpoints."""

        descriptions: tuple[EndpointDescription, ...]

    @attrs.frozen(kw_only=True)
    class SetLeaving(Message):
        """Mark an endpoint as leaving, or as no longer leaving."""

        endpoint_id: str
        leaving: bool

    @attrs.frozen(kw_only=True)
    class LoadReportReceived(Message):
        """A load report of an endpoint was received."""

        endpoint_id: str
        report: LoadReport

    @attrs.frozen(kw_only=True)
    class EndpointLost(Message):
        """An endpoint became unreachable."""

        endpoint_id: str

    @attrs.frozen(kw_only=True)
    class CacheEventsReceived(Message):
        """Cache events were received; replies whether a snapshot is needed."""

        endpoint_id: str
        events: CacheEvents

    @attrs.frozen(kw_only=True)
    class CacheSnapshotReceived(Message):
        """A snapshot of an endpoint's cache was received."""

        endpoint_id: str
        snapshot: CacheSnapshot

    @attrs.frozen(kw_only=True)
    class Admit(Message):
        """Request admission; replies ``Result[Ticket, Refusal]``."""

        organisation: str
        tokens: int
        priority: int
        fingerprint: str | None = None

    @attrs.frozen(kw_only=True)
    class Release(Message):
        """Release an admission ticket."""

        ticket: Ticket

    @attrs.frozen(kw_only=True)
    class Place(Message):
        """Choose an endpoint and count the request as sent there.

        A request that was running when an endpoint crashed never shares an
        endpoint with another such request, so that a second crash identifies which
        of them caused it. Replies ``Result[Placement, Refusal]``.
        """

        request: PlacementRequest
        fingerprint: str = ""

    @attrs.frozen(kw_only=True)
    class FirstTokenReceived(Message):
        """The first token of a request was received."""

        endpoint_id: str
        request_id: str
        cached_tokens: int

    @attrs.frozen(kw_only=True)
    class AttemptFinished(Message):
        """An attempt ended, successfully or not."""

        endpoint_id: str
        request_id: str
        completed_fingerprint: str | None = None
        """Fingerprint of the request if it ran to completion."""

        completed_block_keys: tuple[int, ...] = ()
        """Keys of its prompt's blocks if it ran to completion."""

    @attrs.frozen(kw_only=True)
    class AttemptFailed(Message):
        """An attempt failed; replies `FailureVerdict`."""

        endpoint_id: str
        kind: FailureKind
        fingerprint: str
        attempts: int
        progressed: bool = False
        """Whether the attempt delivered a token."""

        block_keys: tuple[int, ...] = ()
        """Keys of the blocks of the request's prompt."""

        run_s: float = 0.0
        """Time since the attempt began."""

        since_loss_s: float = 0.0
        """Time since the connection to the endpoint was lost."""

    @attrs.frozen(kw_only=True)
    class CrashReportsReceived(Message):
        """Crash reports from other nodes were received."""

        reports: tuple[CrashReport, ...]

    @attrs.frozen(kw_only=True)
    class GetCrashReports(Message):
        """Get the unexpired crash reports; replies a tuple of `CrashReport`."""

    @attrs.frozen(kw_only=True)
    class SetFleetShare(Message):
        """Update the fleet data from which this node's share of limits is computed."""

        share: FleetShare

    @attrs.frozen(kw_only=True)
    class GetDemand(Message):
        """Get the demand of each organisation at this node."""

    @attrs.frozen(kw_only=True)
    class GetUnavailableEndpoints(Message):
        """Get the endpoints that must not be used; replies a frozen set of ids."""

    @attrs.frozen(kw_only=True)
    class ReserveBytes(Message):
        """Reserve buffer space for a body; replies ``Result[None, Refusal]``."""

        size_bytes: int

    @attrs.frozen(kw_only=True)
    class ReleaseBytes(Message):
        """Release the buffer space of a body."""

        size_bytes: int

    @attrs.frozen(kw_only=True)
    class Drain(Message):
        """Refuse all new requests from now on."""

    @attrs.frozen(kw_only=True)
    class CountInFlight(Message):
        """Get the number of requests in flight."""

    @attrs.frozen(kw_only=True)
    class DescribeEndpoints(Message):
        """Get the endpoints' states; replies a tuple of `EndpointStatus`."""

    @attrs.frozen(kw_only=True)
    class SetLimits(Message):
        """Apply the limits of a new configuration."""

        configuration: Configuration

    def __init__(
        self,
        *,
        placer: Placer,
        admission: Admission,
        quarantine: Quarantine,
        byte_budget: ByteBudget,
        time_line: TimeLine,
        broadcast_crash_report: Callable[[CrashReport], None],
    ):
        super().__init__()
        self._broadcast_crash_report = broadcast_crash_report
        self._placer = placer
        self._admission = admission
        self._quarantine = quarantine
        self._crashes = EndpointCrashes()
        self._segments = SegmentQuarantine(count_crashes=self._crashes.counted)
        self._started_s = time.monotonic()
        self._time_line = time_line
        self._bytes = byte_budget
        self._breakers = CircuitBreakers()
        self._retries = RetryBudget()
        self._leaving_ids: set[str] = set()
        self._suspects = Suspects()
        self._draining = False

    def on_set_endpoints(self, message: SetEndpoints) -> None:
        """Replace the configured endpoints."""
        self._placer.set_endpoints(message.descriptions)

    def on_set_leaving(self, message: SetLeaving) -> None:
        """Stop or resume sending new work to an endpoint."""
        self._placer.set_leaving(message.endpoint_id, message.leaving)
        if message.leaving:
            self._leaving_ids.add(message.endpoint_id)
        else:
            self._leaving_ids.discard(message.endpoint_id)

    def on_load_report_received(self, message: LoadReportReceived) -> None:
        """Apply a load report."""
        self._placer.record_load(message.endpoint_id, message.report, time.monotonic())

    def on_endpoint_lost(self, message: EndpointLost) -> None:
        """Drop what is known of an endpoint's cache and stop placing requests there."""
        self._placer.record_lost(message.endpoint_id, time.monotonic())

    def on_cache_events_received(self, message: CacheEventsReceived) -> bool:
        """Apply cache events to the cache index.

        Returns:
            Whether the index misses so many events that a snapshot is needed.
        """
        return self._placer.record_cache_events(message.endpoint_id, message.events)

    def on_cache_snapshot_received(self, message: CacheSnapshotReceived) -> None:
        """Replace the cache index entries of an endpoint."""
        self._placer.record_cache_snapshot(message.endpoint_id, message.snapshot)

    def on_admit(self, message: Admit) -> Result[Ticket, Refusal]:
        """Admit a request, subject to the quarantine and the limits."""
        now_s = time.monotonic()
        if self._draining:
            return Err(draining_refusal())
        if message.fingerprint is not None:
            checked = self._check_request(message.fingerprint, now_s)
            if checked.is_err():
                return checked
        self._retries.record_request()
        return self._admission.admit(
            message.organisation, message.tokens, message.priority, now_s
        )

    def on_release(self, message: Release) -> None:
        """Release an admission ticket."""
        self._admission.release(message.ticket)

    def on_get_unavailable_endpoints(
        self, message: GetUnavailableEndpoints
    ) -> frozenset[str]:
        """Return the endpoints that are leaving or whose circuit breaker is open."""
        return self._breakers.open_ids(time.monotonic()) | self._leaving_ids

    def on_reserve_bytes(self, message: ReserveBytes) -> Result[None, Refusal]:
        """Reserve buffer space for a body, or refuse it."""
        if not self._bytes.try_reserve(ByteKind.BODY, message.size_bytes):
            return Err(node_full())
        return Ok(None)

    def on_release_bytes(self, message: ReleaseBytes) -> None:
        """Release the buffer space of a body."""
        self._bytes.release(ByteKind.BODY, message.size_bytes)

    def on_drain(self, message: Drain) -> None:
        """Refuse all new requests."""
        self._draining = True

    def on_count_in_flight(self, message: CountInFlight) -> int:
        """Return the number of requests in flight."""
        return self._admission.in_flight

    def on_place(self, message: Place) -> Result[Placement, Refusal]:
        """Choose an endpoint for a request."""
        now_s = time.monotonic()
        request = message.request
        checked = self._check_quarantine(message.fingerprint, request.keys, now_s)
        if checked.is_err():
            return checked
        excluded = request.excluded | self._breakers.open_ids(now_s)
        suspect = self._quarantine.is_suspect(message.fingerprint, now_s=now_s)
        if suspect:
            excluded |= self._suspects.endpoints_of_others(message.fingerprint)
        placed = self._placer.place(attrs.evolve(request, excluded=excluded), now_s)
        if placed.is_err():
            reason = placed.err_value
            return Err(no_endpoint_refusal(reason.reason, reason.retry_after_s))
        placement = placed.ok_value
        if suspect:
            attempt = AttemptId(
                endpoint_id=placement.endpoint_id, request_id=request.request_id
            )
            self._suspects.add(attempt, message.fingerprint)
        self._placer.record_sent(
            placement.endpoint_id, request.request_id, placement, request, now_s
        )
        return Ok(placement)

    def on_first_token_received(self, message: FirstTokenReceived) -> None:
        """Record a success, and add the prompt's blocks to the cache index."""
        self._breakers.of(message.endpoint_id).record_success()
        self._placer.record_first_token(
            message.endpoint_id,
            message.request_id,
            message.cached_tokens,
            time.monotonic(),
        )

    def on_attempt_finished(self, message: AttemptFinished) -> None:
        """Stop counting an attempt as load."""
        attempt = AttemptId(
            endpoint_id=message.endpoint_id, request_id=message.request_id
        )
        self._suspects.remove(attempt)
        if message.completed_fingerprint is not None:
            self._quarantine.clear(message.completed_fingerprint)
            segments = _segments(message.completed_block_keys)
            self._segments.record_answered(segments, time.monotonic())
        self._placer.record_finished(
            message.endpoint_id, message.request_id, time.monotonic()
        )

    def on_attempt_failed(self, message: AttemptFailed) -> FailureVerdict:
        """Decide whether and when to retry after a failed attempt."""
        now_s = time.monotonic()
        if message.kind != FailureKind.REFUSED:
            self._breakers.of(message.endpoint_id).record_failure(now_s)
        may_be_joint = False
        if message.kind == FailureKind.CRASHED:
            may_be_joint = self._record_crash(message, now_s)
        checked = self._check_quarantine(message.fingerprint, message.block_keys, now_s)
        # Whether the endpoints crashed together is known before the next attempt, whose
        # placement refuses the request if they did not.
        is_undecided = checked.is_err() and may_be_joint
        if checked.is_err() and not is_undecided:
            return FailureVerdict(retry=False, refusal=checked.err_value)
        if message.attempts >= MAX_ATTEMPTS:
            return FailureVerdict(retry=False)
        # Requests of a crashed endpoint must move to other endpoints. The retry budget
        # only limits retries that add load to endpoints that are still up.
        if message.kind != FailureKind.CRASHED:
            return FailureVerdict(retry=self._retries.take())
        progressed = message.progressed and not is_undecided
        delay_s = self._suspects.retry_delay_s(progressed=progressed)
        return FailureVerdict(retry=True, delay_s=delay_s)

    def on_crash_reports_received(self, message: CrashReportsReceived) -> None:
        """Add crash reports from other nodes to the quarantine."""
        now_s = time.monotonic()
        self._quarantine.add(message.reports, now_s=now_s)
        blames_blocks = now_s - self._started_s >= PEERS_BLOCKS_AFTER_S
        for report in message.reports:
            loss = Loss.of_report(report, now_s=now_s)
            crash = self._crashes.record(report.endpoint_id, loss)
            if blames_blocks:
                self._add_to_segments(crash, report, loss, now_s)

    def on_get_crash_reports(self, message: GetCrashReports) -> tuple[CrashReport, ...]:
        """Return the unexpired crash reports, for a node that starts."""
        return self._quarantine.all(now_s=time.monotonic())

    def on_set_fleet_share(self, message: SetFleetShare) -> None:
        """Update this node's share of the limits."""
        self._admission.set_fleet_share(message.share)
        self._retries.set_fleet_nodes(message.share.fleet_nodes)

    def on_get_demand(self, message: GetDemand) -> tuple[OrganisationDemand, ...]:
        """Return the demand at this node, to be sent to the other nodes."""
        return self._admission.demand(now_s=time.monotonic())

    def on_describe_endpoints(
        self, message: DescribeEndpoints
    ) -> tuple[EndpointStatus, ...]:
        """Return the endpoints' states."""
        return self._placer.describe()

    def on_set_limits(self, message: SetLimits) -> None:
        """Apply the organisations' limits and weights."""
        configuration = message.configuration
        limits = [
            OrganisationLimit(
                organisation=limit.organisation,
                requests_per_s=limit.requests_per_s,
                tokens_per_s=limit.tokens_per_s,
                concurrent_streams=limit.concurrent_streams,
            )
            for limit in configuration.limits_by_id.values()
        ]
        weights = {
            organisation.id: organisation.share
            for organisation in configuration.organisations_by_id.values()
        }
        self._admission.set_limits(
            limits, weights_by_organisation=weights, now_s=time.monotonic()
        )

    def _check_quarantine(
        self, fingerprint: str, block_keys: Sequence[int], now_s: float
    ) -> Result[None, Refusal]:
        """Return a refusal if the request, or a block of its prompt, is harmful."""
        refusal = self._segments.check(_segments(block_keys), now_s=now_s)
        if refusal is not None:
            return Err(refusal)
        return self._check_request(fingerprint, now_s)

    def _check_request(self, fingerprint: str, now_s: float) -> Result[None, Refusal]:
        """Return a refusal if the request crashed endpoints one after the other."""
        losses = self._quarantine.losses(fingerprint)
        return self._quarantine.check(
            fingerprint,
            now_s=now_s,
            is_explained=lambda each: self._crashes.explains(each, losses),
        )

    def _add_to_segments(
        self, crash: str, report: CrashReport, loss: Loss, now_s: float
    ) -> None:
        lost = LostRequest(
            fingerprint=report.fingerprint,
            segments=_segments(report.block_keys),
            sent_s=loss.sent_s,
            lost_s=loss.lost_s,
        )
        self._segments.add(crash, lost, now_s=now_s)

    def _record_crash(self, message: AttemptFailed, now_s: float) -> bool:
        """Record a crash.

        Returns:
            Whether other endpoints crashed at about the same time.
        """
        self._placer.record_lost(message.endpoint_id, now_s)
        report = CrashReport(
            fingerprint=message.fingerprint,
            endpoint_id=message.endpoint_id,
            age_ms=round(message.since_loss_s * 1000),
            block_keys=message.block_keys[:MAX_REPORTED_BLOCKS],
            run_ms=max(0, round((message.run_s - message.since_loss_s) * 1000)),
        )
        loss = Loss.of_report(report, now_s=now_s)
        crash = self._crashes.record(message.endpoint_id, loss)
        may_be_joint = self._crashes.may_be_joint(crash)
        suspect = self._quarantine.is_suspect(message.fingerprint, now_s=now_s)
        if suspect and message.progressed:
            # A request that has delivered a token counts as past the point at which
            # the first endpoint crashed, so it isn't regarded as that crash's cause.
            return may_be_joint
        self._add_to_segments(crash, report, loss, now_s)
        if self._quarantine.add((report,), now_s=now_s):
            self._broadcast_crash_report(report)
        self._time_line.record(
            kind="endpoint_crashed",
            subject=message.endpoint_id,
            detail=f"while it ran {message.fingerprint}",
        )
        return may_be_joint


def _segments(block_keys: Sequence[int]) -> tuple[str, ...]:
    """Return the names of prompt blocks, of those that crash reports carry."""
    return tuple(f"{key:016x}" for key in block_keys[:MAX_REPORTED_BLOCKS])


def no_endpoint_refusal(reason: str, retry_after_s: float | None) -> Refusal:
    """Return the refusal of a request that no endpoint can serve now."""
    return Refusal(
        status=NO_ENDPOINT_STATUS,
        title="no-endpoint",
        detail=reason,
        step="placement",
        retry_after_s=1.0 if retry_after_s is None else retry_after_s,
    )
