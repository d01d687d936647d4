"""Recent use of a service by each organisation."""

from __future__ import annotations

from crocuswick.admission.rate_meter import RateMeter

__all__ = ["OrganisationUse"]

TIME_CONSTANT_S = 10.0
"""Time constant of the use. A node of a large fleet gets about one large prompt a second
for all organisations together."""

FAIR_FACTOR = 2.0
"""Multiple of the mean use of the other organisations beyond which an organisation's
requests go behind theirs."""

MARGIN_REQUESTS = 2.0
"""Requests by which that multiple must be exceeded, since small numbers vary by chance."""

MIN_ACTIVE_REQUESTS = 0.02
"""Use below which an organisation no longer counts as active."""


class OrganisationUse:
    """Counts the recent requests of each organisation at this node."""

    def __init__(self):
        self._meters: dict[str, RateMeter] = {}

    def record(self, organisation: str, now_s: float) -> None:
        """Record a request of an organisation."""
        meter = self._meters.get(organisation)
        if meter is None:
            meter = self._meters[organisation] = RateMeter(
                time_constant_s=TIME_CONSTANT_S
            )
        meter.record(now_s)

    def is_over_share(self, organisation: str, now_s: float) -> bool:
        """Return whether an organisation uses much more than the others do."""
        counts = {name: each.count(now_s) for name, each in self._meters.items()}
        for name, count in counts.items():
            if count < MIN_ACTIVE_REQUESTS:
                del self._meters[name]
        own = counts.pop(organisation, 0.0)
        others = [count for count in counts.values() if count >= MIN_ACTIVE_REQUESTS]
        if not others:
            return False
        return own > FAIR_FACTOR * sum(others) / len(others) + MARGIN_REQUESTS
