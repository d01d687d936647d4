"""Admission of requests: limits of each organisation and fair use of a node.

Nothing waits here: a request is admitted or refused at once. The module has no
clock and no lock; an active object owns it.
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

HEADROOM = 0.125
"""Part of the capacity that only organisations below their fair share may use."""

BATCH_PRIORITY = 5
"""Lowest priority value that counts as batch work."""

BATCH_HEADROOM = 0.25
"""Part of the capacity that batch work may not use."""

ACTIVE_S = 5.0
"""Time since its last request for which an organisation has a fair share."""

PART_REFRESH_S = 0.25
"""Interval at which an organisation's part of its limits follows the demand."""

SWEEP_INTERVAL_S = 1.0
"""Interval at which organisations without requests lose their fair share."""

NODE_FULL_RETRY_S = 1.0
"""Time after which a repeat may find a free slot."""

MAX_RETRY_AFTER_S = 60.0
"""Longest wait that a refusal asks for."""


@attrs.frozen(kw_only=True)
class OrganisationLimit:
    """Limits of one organisation over the whole fleet; None is unlimited."""

    organisation: str
    """Organisation id."""

    requests_per_s: float | None = None
    """Requests a second."""

    tokens_per_s: float | None = None
    """Prompt and answer tokens a second."""

    concurrent_streams: int | None = None
    """Streams at the same time."""


@attrs.frozen(kw_only=True)
class Ticket:
    """Permission to run a request; has to be released once."""

    number: int
    """Number of the ticket at this node."""

    organisation: str
    """Organisation of the caller."""

    tokens: int
    """Tokens taken from the organisation's limit."""


@attrs.define(kw_only=True)
class _Account:
    """State of one organisation at this node."""

    organisation: str
    limit: OrganisationLimit | None = None
    weight: float = 1.0
    in_flight: int = 0
    asked_s: float = float("-inf")
    refreshed_s: float = float("-inf")
    is_active: bool = False
    streams_part: float = float("inf")
    requests: TokenBucket | None = None
    tokens: TokenBucket | None = None
    demand: DemandMeter = attrs.Factory(DemandMeter)

    def is_idle(self, now_s: float) -> bool:
        return self.in_flight == 0 and now_s - self.asked_s > ACTIVE_S


class Admission:
    """Decides which requests this node runs; has a single owner."""

    def __init__(self, *, capacity: int, reserve: int = 0):
        """Create admission without limits.

        Args:
            capacity: Requests that the node can run at once.
            reserve: Part of the capacity kept for control and refusals.

        Raises:
            ValueError: If the reserve leaves nothing.
        """
        if capacity - reserve < 1:
            raise ValueError(f"reserve {reserve} leaves nothing of {capacity}")
        self._slots = capacity - reserve
        self._shared_slots = self._slots - _part_of(self._slots, HEADROOM)
        self._batch_slots = self._slots - _part_of(self._slots, BATCH_HEADROOM)
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
        """Requests that hold a ticket."""
        return len(self._open_tickets)

    def set_limits(
        self,
        limits: Iterable[OrganisationLimit],
        *,
        weights_by_organisation: Mapping[str, float] | None = None,
        now_s: float,
    ) -> None:
        """Put other limits in force; what has been used so far still counts.

        Args:
            limits: All limits.
            weights_by_organisation: Weights in the fair share, 1 if not given.
            now_s: Monotonic time.
        """
        self._limits_by_organisation = {limit.organisation: limit for limit in limits}
        self._weights_by_organisation = dict(weights_by_organisation or {})
        for account in self._accounts_by_organisation.values():
            self._configure(account)
        self._sweep(now_s)

    def set_fleet_share(self, fleet_share: FleetShare) -> None:
        """Take in what is known of the other nodes' demand.

        Args:
            fleet_share: Sizes and demand.
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
            tokens: Prompt tokens and the most tokens that may be generated.
            priority: 0 (first) to 9.
            now_s: Monotonic time.

        Returns:
            A ticket, or the refusal to answer with; the request was not run.
        """
        if now_s - self._swept_s >= SWEEP_INTERVAL_S:
            self._sweep(now_s)
        account = self._account(organisation)
        account.asked_s = now_s
        account.demand.add(tokens, now_s=now_s)
        if now_s - account.refreshed_s >= PART_REFRESH_S:
            self._refresh_parts(account, now_s=now_s)
        refusal = self._over_limit(account, now_s=now_s)
        refusal = refusal or self._over_capacity(account, priority=priority)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._issue(account, tokens=tokens))

    def release(self, ticket: Ticket, *, used_tokens: int | None = None) -> None:
        """Give a ticket back; a second release of it changes nothing.

        Args:
            ticket: Ticket from `admit`.
            used_tokens: Tokens really used, so that the rest is given back.
        """
        if ticket.number not in self._open_tickets:
            return
        self._open_tickets.remove(ticket.number)
        account = self._accounts_by_organisation[ticket.organisation]
        account.in_flight -= 1
        if used_tokens is not None and account.tokens is not None:
            account.tokens.take(used_tokens - ticket.tokens)

    def demand(self, *, now_s: float) -> tuple[OrganisationDemand, ...]:
        """Return the demand of the active organisations, to be told to others.

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
        if account.in_flight >= account.streams_part:
            return _limit_refusal("concurrent streams", wait_s=NODE_FULL_RETRY_S)
        if account.requests is not None:
            wait_s = account.requests.wait_s(now_s=now_s)
            if wait_s > 0:
                return _limit_refusal("requests a second", wait_s=wait_s)
        if account.tokens is not None:
            wait_s = account.tokens.wait_s(now_s=now_s)
            if wait_s > 0:
                return _limit_refusal("tokens a second", wait_s=wait_s)
        return None

    def _over_capacity(self, account: _Account, *, priority: int) -> Refusal | None:
        in_flight = len(self._open_tickets)
        if in_flight >= self._slots:
            return _node_full("no free slot")
        if priority >= BATCH_PRIORITY and in_flight >= self._batch_slots:
            return _node_full("slots are kept for interactive requests")
        fair_slots = self._slots * account.weight / self._active_weight
        # Headroom remains for the next organisation even if only one is active.
        fair_slots = min(fair_slots, self._shared_slots)
        is_over_share = account.in_flight + 1 > fair_slots
        if is_over_share and in_flight >= self._shared_slots:
            return _node_full("the organisation has its fair share of the slots")
        return None

    def _issue(self, account: _Account, *, tokens: int) -> Ticket:
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
                self._drop_if_forgotten(account, now_s=now_s)
        self._active_weight = active_weight

    def _refresh_parts(self, account: _Account, *, now_s: float) -> None:
        account.refreshed_s = now_s
        limit = account.limit
        if limit is None:
            account.requests = None
            account.tokens = None
            account.streams_part = float("inf")
            return
        own = account.demand.demand(account.organisation, now_s=now_s)
        requests_part = self._fleet_share.requests_part(own)
        tokens_part = self._fleet_share.tokens_part(own)
        account.requests = _adjusted(
            account.requests, limit.requests_per_s, part=requests_part, now_s=now_s
        )
        account.tokens = _adjusted(
            account.tokens, limit.tokens_per_s, part=tokens_part, now_s=now_s
        )
        account.streams_part = _streams_part(limit, part=requests_part)

    def _drop_if_forgotten(self, account: _Account, *, now_s: float) -> None:
        buckets = (account.requests, account.tokens)
        if all(bucket is None or bucket.wait_s(now_s=now_s) <= 0 for bucket in buckets):
            del self._accounts_by_organisation[account.organisation]


def _adjusted(
    bucket: TokenBucket | None, limit: float | None, *, part: float, now_s: float
) -> TokenBucket | None:
    if limit is None:
        return None
    if bucket is None:
        return TokenBucket(rate_per_s=limit * part, now_s=now_s)
    bucket.set_rate(limit * part, now_s=now_s)
    return bucket


def _streams_part(limit: OrganisationLimit, *, part: float) -> float:
    if limit.concurrent_streams is None:
        return float("inf")
    # At least one, or a small limit would be worth nothing at most nodes.
    return max(1, round(limit.concurrent_streams * part))


def _part_of(slots: int, part: float) -> int:
    return min(slots - 1, max(1, round(slots * part))) if slots > 1 else 0


def _limit_refusal(limit: str, *, wait_s: float) -> Refusal:
    return Refusal(
        status=429,
        title="organisation limit",
        detail=f"The organisation has reached its limit of {limit} at this node.",
        step="admission",
        retry_after_s=min(wait_s, MAX_RETRY_AFTER_S),
    )


def _node_full(detail: str) -> Refusal:
    return Refusal(
        status=503,
        title="node full",
        detail=f"The node takes no further request now: {detail}.",
        step="admission",
        retry_after_s=NODE_FULL_RETRY_S,
    )
