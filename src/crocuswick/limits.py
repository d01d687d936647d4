"""Admission control: limits of each organisation and fair sharing of a node.

Requests are never queued: each is admitted or refused immediately. The module reads
no clock and takes no lock; a single actor owns it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from result import Err, Ok

from crocuswick.demand_meter import DemandMeter
from crocuswick.errors import Refusal
from crocuswick.fleet_share import FleetShare
from crocuswick.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from result import Result

    from crocuswick.demand_meter import OrganisationDemand

__all__ = ["Admission", "OrganisationLimit", "Ticket"]

FAIR_SHARE_HEADROOM = 0.125
"""Fraction of the capacity reserved for organisations below their fair share."""

BATCH_PRIORITY = 5
"""Priority value from which a request counts as batch; higher values are less urgent."""

BATCH_HEADROOM = 0.25
"""Fraction of the capacity that batch requests may not use."""

ACTIVITY_WINDOW_S = 5.0
"""Time after its last request for which an organisation has a fair share."""

LOCAL_LIMITS_REFRESH_INTERVAL_S = 0.25
"""Minimum interval between adaptations of this node's share of a limit to the demand."""

SWEEP_INTERVAL_S = 1.0
"""Interval at which inactive organisations lose their fair share."""

NODE_FULL_RETRY_S = 1.0
"""Time after which a retry may find a free slot."""

MAX_RETRY_AFTER_S = 60.0
"""Upper bound of the retry delay that a refusal asks for."""


@attrs.frozen(kw_only=True)
class OrganisationLimit:
    """Fleet-wide limits of one organisation; None is unlimited."""

    organisation: str
    """Organisation id."""

    requests_per_s: float | None = None
    """Requests per second."""

    tokens_per_s: float | None = None
    """Prompt and generated tokens per second."""

    concurrent_streams: int | None = None
    """Maximum number of concurrent streams."""


@attrs.frozen(kw_only=True)
class Ticket:
    """Admission of one request, to be released when the request ends."""

    number: int
    """Ticket number, unique at this node."""

    organisation: str
    """Organisation of the caller."""

    tokens: int
    """Tokens charged to the organisation's limit."""


@attrs.define(kw_only=True)
class _Account:
    """State of one organisation at this node."""

    organisation: str
    limit: OrganisationLimit | None = None
    weight: float = 1.0
    in_flight: int = 0
    last_request_s: float = float("-inf")
    refreshed_s: float = float("-inf")
    is_active: bool = False
    local_stream_limit: float = float("inf")
    requests: TokenBucket | None = None
    tokens: TokenBucket | None = None
    demand: DemandMeter = attrs.Factory(DemandMeter)

    def is_idle(self, now_s: float) -> bool:
        return self.in_flight == 0 and now_s - self.last_request_s > ACTIVITY_WINDOW_S


class Admission:
    """Decides which requests this node runs; not thread-safe, has a single owner."""

    def __init__(self, *, capacity: int, reserve: int = 0):
        """Create an admission control without limits.

        Args:
            capacity: Requests that the node can run concurrently.
            reserve: Slots of the capacity reserved for control and refusals.

        Raises:
            ValueError: If the reserve leaves no slot.
        """
        if capacity - reserve < 1:
            raise ValueError(f"reserve {reserve} leaves no slot of capacity {capacity}")
        self._slots = capacity - reserve
        self._shared_slots = self._slots - _reserved_slots(
            self._slots, FAIR_SHARE_HEADROOM
        )
        self._batch_slots = self._slots - _reserved_slots(self._slots, BATCH_HEADROOM)
        self._accounts_by_organisation: dict[str, _Account] = {}
        self._limits_by_organisation: dict[str, OrganisationLimit] = {}
        self._weights_by_organisation: dict[str, float] = {}
        self._fleet_share = FleetShare()
        self._open_tickets: set[int] = set()
        self._last_ticket = 0
        self._active_weight = 0.0
        self._swept_s = float("-inf")

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a ticket."""
        return len(self._open_tickets)

    def set_limits(
        self,
        limits: Iterable[OrganisationLimit],
        *,
        weights_by_organisation: Mapping[str, float] | None = None,
        now_s: float,
    ) -> None:
        """Replace all limits; past usage still counts.

        Args:
            limits: All limits.
            weights_by_organisation: Weight of each organisation's fair share, 1 if not
                given.
            now_s: Monotonic time.
        """
        self._limits_by_organisation = {limit.organisation: limit for limit in limits}
        self._weights_by_organisation = dict(weights_by_organisation or {})
        for account in self._accounts_by_organisation.values():
            self._configure(account)
        self._sweep(now_s)

    def set_fleet_share(self, fleet_share: FleetShare) -> None:
        """Update the data from which this node's share of the limits is computed.

        Args:
            fleet_share: Fleet size and demand at the other nodes.
        """
        self._fleet_share = fleet_share
        for account in self._accounts_by_organisation.values():
            account.refreshed_s = float("-inf")

    def admit(
        self, organisation: str, tokens: int, priority: int, now_s: float
    ) -> Result[Ticket, Refusal]:
        """Admit or refuse a request.

        Args:
            organisation: Organisation of the caller.
            tokens: Prompt tokens plus the maximum number of generated tokens.
            priority: 0 (highest) to 9 (lowest).
            now_s: Monotonic time.

        Returns:
            A ticket, or the refusal to return; a refused request was not run.
        """
        if now_s - self._swept_s >= SWEEP_INTERVAL_S:
            self._sweep(now_s)
        account = self._account(organisation)
        account.last_request_s = now_s
        account.demand.add(tokens, now_s=now_s)
        if now_s - account.refreshed_s >= LOCAL_LIMITS_REFRESH_INTERVAL_S:
            self._refresh_local_limits(account, now_s=now_s)
        refusal = self._over_limit(account, now_s=now_s)
        refusal = refusal or self._over_capacity(account, priority=priority)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._issue_ticket(account, tokens=tokens))

    def release(self, ticket: Ticket, *, used_tokens: int | None = None) -> None:
        """Release a ticket; releasing it again has no effect.

        Args:
            ticket: Ticket from `admit`.
            used_tokens: Tokens actually used; the rest is credited to the limit.
        """
        if ticket.number not in self._open_tickets:
            return
        self._open_tickets.remove(ticket.number)
        account = self._accounts_by_organisation[ticket.organisation]
        account.in_flight -= 1
        if used_tokens is not None and account.tokens is not None:
            account.tokens.take(used_tokens - ticket.tokens)

    def demand(self, *, now_s: float) -> tuple[OrganisationDemand, ...]:
        """Return the demand of the active organisations, to be sent to other nodes.

        Args:
            now_s: Monotonic time.
        """
        return tuple(
            account.demand.demand(account.organisation, now_s=now_s)
            for account in self._accounts_by_organisation.values()
            if not account.is_idle(now_s)
        )

    def _account(self, organisation: str) -> _Account:
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            account = _Account(organisation=organisation)
            self._accounts_by_organisation[organisation] = account
            self._configure(account)
        if not account.is_active:
            account.is_active = True
            self._active_weight += account.weight
        return account

    def _configure(self, account: _Account) -> None:
        organisation = account.organisation
        account.limit = self._limits_by_organisation.get(organisation)
        account.weight = self._weights_by_organisation.get(organisation, 1.0)
        account.refreshed_s = float("-inf")

    def _over_limit(self, account: _Account, *, now_s: float) -> Refusal | None:
        if account.in_flight >= account.local_stream_limit:
            return _limit_refusal("concurrent streams", wait_s=NODE_FULL_RETRY_S)
        if account.requests is not None:
            wait_s = account.requests.wait_s(now_s=now_s)
            if wait_s > 0:
                return _limit_refusal("requests per second", wait_s=wait_s)
        if account.tokens is not None:
            wait_s = account.tokens.wait_s(now_s=now_s)
            if wait_s > 0:
                return _limit_refusal("tokens per second", wait_s=wait_s)
        return None

    def _over_capacity(self, account: _Account, *, priority: int) -> Refusal | None:
        in_flight = len(self._open_tickets)
        if in_flight >= self._slots:
            return _node_full("no free slot")
        if priority >= BATCH_PRIORITY and in_flight >= self._batch_slots:
            return _node_full("free slots are reserved for interactive requests")
        fair_slots = self._slots * account.weight / self._active_weight
        # Keeps headroom for another organisation even while only one is active.
        fair_slots = min(fair_slots, self._shared_slots)
        is_over_share = account.in_flight + 1 > fair_slots
        if is_over_share and in_flight >= self._shared_slots:
            return _node_full("the organisation uses its fair share of the slots")
        return None

    def _issue_ticket(self, account: _Account, *, tokens: int) -> Ticket:
        if account.requests is not None:
            account.requests.take(1)
        if account.tokens is not None:
            account.tokens.take(tokens)
        account.in_flight += 1
        self._last_ticket += 1
        self._open_tickets.add(self._last_ticket)
        return Ticket(
            number=self._last_ticket, organisation=account.organisation, tokens=tokens
        )

    def _sweep(self, now_s: float) -> None:
        self._swept_s = now_s
        active_weight = 0.0
        for account in list(self._accounts_by_organisation.values()):
            account.is_active = not account.is_idle(now_s)
            if account.is_active:
                active_weight += account.weight
            else:
                self._remove_unless_throttled(account, now_s=now_s)
        self._active_weight = active_weight

    def _refresh_local_limits(self, account: _Account, *, now_s: float) -> None:
        account.refreshed_s = now_s
        limit = account.limit
        if limit is None:
            account.requests = None
            account.tokens = None
            account.local_stream_limit = float("inf")
            return
        own = account.demand.demand(account.organisation, now_s=now_s)
        requests_fraction = self._fleet_share.requests_fraction(own)
        tokens_fraction = self._fleet_share.tokens_fraction(own)
        account.requests = _updated_bucket(
            account.requests,
            limit.requests_per_s,
            fraction=requests_fraction,
            now_s=now_s,
        )
        account.tokens = _updated_bucket(
            account.tokens, limit.tokens_per_s, fraction=tokens_fraction, now_s=now_s
        )
        account.local_stream_limit = _local_stream_limit(
            limit, fraction=requests_fraction
        )

    def _remove_unless_throttled(self, account: _Account, *, now_s: float) -> None:
        buckets = (account.requests, account.tokens)
        if all(bucket is None or bucket.wait_s(now_s=now_s) <= 0 for bucket in buckets):
            del self._accounts_by_organisation[account.organisation]


def _updated_bucket(
    bucket: TokenBucket | None, limit: float | None, *, fraction: float, now_s: float
) -> TokenBucket | None:
    if limit is None:
        return None
    if bucket is None:
        return TokenBucket(rate_per_s=limit * fraction, now_s=now_s)
    bucket.set_rate(limit * fraction, now_s=now_s)
    return bucket


def _local_stream_limit(limit: OrganisationLimit, *, fraction: float) -> float:
    if limit.concurrent_streams is None:
        return float("inf")
    # At least 1, else a small limit would round to 0 at most nodes.
    return max(1, round(limit.concurrent_streams * fraction))


def _reserved_slots(slots: int, fraction: float) -> int:
    return min(slots - 1, max(1, round(slots * fraction))) if slots > 1 else 0


def _limit_refusal(limit: str, *, wait_s: float) -> Refusal:
    return Refusal(
        status=429,
        title="organisation limit",
        detail=f"The organisation has reached its limit on {limit} at this node.",
        step="admission",
        retry_after_s=min(wait_s, MAX_RETRY_AFTER_S),
    )


def _node_full(detail: str) -> Refusal:
    return Refusal(
        status=503,
        title="node full",
        detail=f"The node cannot accept another request now: {detail}.",
        step="admission",
        retry_after_s=NODE_FULL_RETRY_S,
    )
