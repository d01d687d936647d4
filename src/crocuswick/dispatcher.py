"""The active object that decides: admission, placement, retries, quarantine.

Each decision is a message; the pure modules that take the decisions are owned by
this object alone, so none of them needs a lock.
"""

from __future__ import annotations

import time
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from crocuswick.actor import Actor, Message
from crocuswick.cache_index import CacheEvents, CacheSnapshot
from crocuswick.circuit_breaker import CircuitBreakers
from crocuswick.configuration import Configuration
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
from crocuswick.quarantine import CrashReport, Quarantine
from crocuswick.retry_budget import RetryBudget
from crocuswick.suspects import AttemptId, Suspects

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.byte_budget import ByteBudget
    from crocuswick.demand_meter import OrganisationDemand
    from crocuswick.time_line import TimeLine

__all__ = ["Dispatcher", "FailureKind", "FailureVerdict"]

MAX_ATTEMPTS = 5
NO_ENDPOINT_STATUS = 503


class FailureKind(StrEnum):
    """How an attempt at an endpoint failed."""

    REFUSED = "refused"
    """The endpoint said that it did not run the request."""

    LOST = "lost"
    """The endpoint stopped answering for this request."""

    CRASHED = "crashed"
    """The endpoint went down while it ran the request."""


@attrs.frozen(kw_only=True)
class FailureVerdict:
    """What follows from a failed attempt."""

    retry: bool
    """Whether another attempt may be made."""

    refusal: Refusal | None = None
    """Set when the request is refused from now on."""

    delay_s: float = 0.0
    """Seconds to wait before the next attempt."""


class Dispatcher(Actor):
    """Owns the state of placement, limits, retries and quarantine of one node.

    Args:
        placer: Placement state of this node.
        admission: Admission state of this node.
        quarantine: Fingerprints of requests that crashed endpoints.
        byte_budget: Bound of the bodies held.
        time_line: Where changes of state are recorded.
        share_crash: Tells the other nodes of a crash.
    """

    @attrs.frozen(kw_only=True)
    class SetEndpoints(Message):
        """The configured endpoints, replacing all earlier ones."""

        descriptions: tuple[EndpointDescription, ...]

    @attrs.frozen(kw_only=True)
    class SetLeaving(Message):
        """An endpoint starts or stops leaving."""

        endpoint_id: str
        leaving: bool

    @attrs.frozen(kw_only=True)
    class LoadSeen(Message):
        """An endpoint's load report arrived."""

        endpoint_id: str
        report: LoadReport

    @attrs.frozen(kw_only=True)
    class EndpointLost(Message):
        """An endpoint can't be reached any more."""

        endpoint_id: str

    @attrs.frozen(kw_only=True)
    class CacheEventsSeen(Message):
        """Cache events arrived; the reply says whether a snapshot is needed."""

        endpoint_id: str
        events: CacheEvents

    @attrs.frozen(kw_only=True)
    class CacheSnapshotSeen(Message):
        """A snapshot of an endpoint's cache arrived."""

        endpoint_id: str
        snapshot: CacheSnapshot

    @attrs.frozen(kw_only=True)
    class Admit(Message):
        """Ask for admission; replies ``Result[Ticket, Refusal]``."""

        organisation: str
        tokens: int
        priority: int
        fingerprint: str | None = None

    @attrs.frozen(kw_only=True)
    class Release(Message):
        """Give a ticket back."""

        ticket: Ticket

    @attrs.frozen(kw_only=True)
    class Place(Message):
        """Choose an endpoint and count the request as sent there.

        A request that was running when an endpoint crashed never shares an
        endpoint with another such request, so that a second crash tells which of
        them is to blame. Replies ``Result[Placement, Refusal]``.
        """

        request: PlacementRequest
        fingerprint: str = ""

    @attrs.frozen(kw_only=True)
    class FirstToken(Message):
        """The first token of a request arrived."""

        endpoint_id: str
        request_id: str
        cached_tokens: int

    @attrs.frozen(kw_only=True)
    class Finished(Message):
        """An attempt ended, well or not."""

        endpoint_id: str
        request_id: str
        completed_fingerprint: str | None = None
        """Fingerprint of a request that has run to its end."""

    @attrs.frozen(kw_only=True)
    class Failed(Message):
        """An attempt failed; replies `FailureVerdict`."""

        endpoint_id: str
        kind: FailureKind
        fingerprint: str
        attempts: int
        progressed: bool = False
        """Whether the attempt delivered a token."""

    @attrs.frozen(kw_only=True)
    class CrashesReported(Message):
        """Other nodes saw endpoints crash while they ran requests."""

        reports: tuple[CrashReport, ...]

    @attrs.frozen(kw_only=True)
    class AllCrashes(Message):
        """Ask for the crash reports in force; replies a tuple."""

    @attrs.frozen(kw_only=True)
    class SetFleetShare(Message):
        """What the other nodes' demand is, for this node's part of limits."""

        share: FleetShare

    @attrs.frozen(kw_only=True)
    class Demand(Message):
        """Ask for the demand of each organisation at this node."""

    @attrs.frozen(kw_only=True)
    class Unavailable(Message):
        """Ask which endpoints must not be used; replies a frozen set of ids."""

    @attrs.frozen(kw_only=True)
    class ReserveBytes(Message):
        """Ask to hold a body; replies ``Result[None, Refusal]``."""

        size_bytes: int

    @attrs.frozen(kw_only=True)
    class ReleaseBytes(Message):
        """A body is no longer held."""

        size_bytes: int

    @attrs.frozen(kw_only=True)
    class Drain(Message):
        """Admit nothing more."""

    @attrs.frozen(kw_only=True)
    class CountInFlight(Message):
        """Ask for the number of requests in flight."""

    @attrs.frozen(kw_only=True)
    class Describe(Message):
        """Ask for the endpoints' states; replies a tuple of `EndpointStatus`."""

    @attrs.frozen(kw_only=True)
    class SetLimits(Message):
        """A new configuration with limits is in force."""

        configuration: Configuration

    def __init__(
        self,
        *,
        placer: Placer,
        admission: Admission,
        quarantine: Quarantine,
        byte_budget: ByteBudget,
        time_line: TimeLine,
        share_crash: Callable[[CrashReport], None],
    ):
        super().__init__()
        self._share_crash = share_crash
        self._placer = placer
        self._admission = admission
        self._quarantine = quarantine
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

    def on_load_seen(self, message: LoadSeen) -> None:
        """Take in a load report."""
        self._placer.record_load(message.endpoint_id, message.report, time.monotonic())

    def on_endpoint_lost(self, message: EndpointLost) -> None:
        """Forget an endpoint's cache and stop placing at it."""
        self._placer.record_lost(message.endpoint_id, time.monotonic())

    def on_cache_events_seen(self, message: CacheEventsSeen) -> bool:
        """Take in cache events.

        Returns:
            Whether the picture is doubtful and a snapshot is needed.
        """
        return self._placer.record_cache_events(message.endpoint_id, message.events)

    def on_cache_snapshot_seen(self, message: CacheSnapshotSeen) -> None:
        """Replace the picture of an endpoint's cache."""
        self._placer.record_cache_snapshot(message.endpoint_id, message.snapshot)

    def on_admit(self, message: Admit) -> Result[Ticket, Refusal]:
        """Check quarantine and limits."""
        now_s = time.monotonic()
        if self._draining:
            return Err(draining_refusal())
        if message.fingerprint is not None:
            checked = self._quarantine.check(message.fingerprint, now_s=now_s)
            if checked.is_err():
                return checked
        self._retries.record_request()
        return self._admission.admit(
            message.organisation, message.tokens, message.priority, now_s
        )

    def on_release(self, message: Release) -> None:
        """Return a request's share of the limits."""
        self._admission.release(message.ticket)

    def on_unavailable(self, message: Unavailable) -> frozenset[str]:
        """Return the endpoints that leave or whose breaker is open."""
        return self._breakers.open_ids(time.monotonic()) | self._leaving_ids

    def on_reserve_bytes(self, message: ReserveBytes) -> Result[None, Refusal]:
        """Allow a body to be read, or refuse it."""
        return self._bytes.reserve(message.size_bytes)

    def on_release_bytes(self, message: ReleaseBytes) -> None:
        """Count a body as given up."""
        self._bytes.release(message.size_bytes)

    def on_drain(self, message: Drain) -> None:
        """Refuse all new work from now on."""
        self._draining = True

    def on_count_in_flight(self, message: CountInFlight) -> int:
        """Return the number of requests in flight."""
        return self._admission.in_flight

    def on_place(self, message: Place) -> Result[Placement, Refusal]:
        """Choose an endpoint for a request."""
        now_s = time.monotonic()
        request = message.request
        checked = self._quarantine.check(message.fingerprint, now_s=now_s)
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

    def on_first_token(self, message: FirstToken) -> None:
        """Correct the cache index by what the engine found in its cache."""
        self._breakers.of(message.endpoint_id).record_success()
        self._placer.record_first_token(
            message.endpoint_id,
            message.request_id,
            message.cached_tokens,
            time.monotonic(),
        )

    def on_finished(self, message: Finished) -> None:
        """Stop counting an attempt as load."""
        attempt = AttemptId(
            endpoint_id=message.endpoint_id, request_id=message.request_id
        )
        self._suspects.remove(attempt)
        if message.completed_fingerprint is not None:
            self._quarantine.exonerate(message.completed_fingerprint)
        self._placer.record_finished(
            message.endpoint_id, message.request_id, time.monotonic()
        )

    def on_failed(self, message: Failed) -> FailureVerdict:
        """Decide what follows from a failed attempt."""
        now_s = time.monotonic()
        if message.kind != FailureKind.REFUSED:
            self._breakers.of(message.endpoint_id).record_failure(now_s)
        if message.kind == FailureKind.CRASHED:
            self._record_crash(message, now_s)
        checked = self._quarantine.check(message.fingerprint, now_s=now_s)
        if checked.is_err():
            return FailureVerdict(retry=False, refusal=checked.err_value)
        if message.attempts >= MAX_ATTEMPTS:
            return FailureVerdict(retry=False)
        # The work of a crashed endpoint has to go somewhere; the budget is there
        # against repeats that add load to endpoints which are up.
        if message.kind != FailureKind.CRASHED:
            return FailureVerdict(retry=self._retries.take())
        delay_s = self._suspects.retry_delay_s(progressed=message.progressed)
        return FailureVerdict(retry=True, delay_s=delay_s)

    def on_crashes_reported(self, message: CrashesReported) -> None:
        """Take over crashes that other nodes have seen."""
        self._quarantine.add(message.reports, now_s=time.monotonic())

    def on_all_crashes(self, message: AllCrashes) -> tuple[CrashReport, ...]:
        """Return the crash reports in force, for a node that starts."""
        return self._quarantine.all(now_s=time.monotonic())

    def on_set_fleet_share(self, message: SetFleetShare) -> None:
        """Adapt this node's part of the limits."""
        self._admission.set_fleet_share(message.share)

    def on_demand(self, message: Demand) -> tuple[OrganisationDemand, ...]:
        """Return the demand at this node, to be told to the others."""
        return self._admission.demand(now_s=time.monotonic())

    def on_describe(self, message: Describe) -> tuple[EndpointStatus, ...]:
        """Return the endpoints' states."""
        return self._placer.describe()

    def on_set_limits(self, message: SetLimits) -> None:
        """Take over the organisations' limits and weights."""
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

    def _record_crash(self, message: Failed, now_s: float) -> None:
        self._placer.record_lost(message.endpoint_id, now_s)
        suspect = self._quarantine.is_suspect(message.fingerprint, now_s=now_s)
        if suspect and message.progressed:
            # It got past the point at which the first endpoint crashed, so it
            # was not what crashed that one.
            return
        report = CrashReport(
            fingerprint=message.fingerprint, endpoint_id=message.endpoint_id
        )
        if self._quarantine.add((report,), now_s=now_s):
            self._share_crash(report)
        self._time_line.record(
            kind="endpoint_crashed",
            subject=message.endpoint_id,
            detail=f"while it ran {message.fingerprint}",
        )


def draining_refusal() -> Refusal:
    """Return the refusal of new work by a node that shuts down."""
    return Refusal(
        status=503,
        title="draining",
        detail="This node shuts down; other nodes take the request.",
        step="admission",
        retry_after_s=1.0,
    )


def no_endpoint_refusal(reason: str, retry_after_s: float | None) -> Refusal:
    """Return the refusal of a request that no endpoint can serve now."""
    return Refusal(
        status=NO_ENDPOINT_STATUS,
        title="no-endpoint",
        detail=reason,
        step="placement",
        retry_after_s=1.0 if retry_after_s is None else retry_after_s,
    )
