"""The set of endpoints that are eligible for a request."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from crocuswick.load import EndpointLoad
from crocuswick.rendezvous import Rendezvous

__all__ = ["Candidate", "PlacementDomain", "domain_of", "domain_without"]


@attrs.define(kw_only=True, eq=False)
class Candidate:
    """An endpoint that is eligible for a request."""

    endpoint_id: str
    """Endpoint id."""

    bit: int
    """Mask of the endpoint's bit in the cache index."""

    load: EndpointLoad
    """Estimate of the endpoint's queue."""

    cross_zone_latency_s: float
    """Extra latency in seconds if the endpoint is in another zone, otherwise 0."""


@attrs.define(kw_only=True, eq=False)
class PlacementDomain:
    """The endpoints of one pool that may serve one model version."""

    candidates: Sequence[Candidate]
    """All eligible endpoints."""

    candidates_by_id: dict[str, Candidate]
    """Candidates by endpoint id."""

    candidates_by_bit: dict[int, Candidate]
    """Candidates by bit in the cache index."""

    mask: int
    """Union of the candidates' bits."""

    rendezvous: Rendezvous
    """Rendezvous hash over the candidates."""


def domain_of(candidates: Sequence[Candidate]) -> PlacementDomain:
    """Return the placement domain of the given endpoints."""
    return PlacementDomain(
        candidates=candidates,
        candidates_by_id={candidate.endpoint_id: candidate for candidate in candidates},
        candidates_by_bit={candidate.bit: candidate for candidate in candidates},
        mask=sum(candidate.bit for candidate in candidates),
        rendezvous=Rendezvous(
            members=[candidate.endpoint_id for candidate in candidates]
        ),
    )


def domain_without(
    domain: PlacementDomain, excluded: frozenset[str]
) -> PlacementDomain:
    """Return a placement domain without the excluded endpoints."""
    if excluded.isdisjoint(domain.candidates_by_id):
        return domain
    return domain_of(
        [
            candidate
            for candidate in domain.candidates
            if candidate.endpoint_id not in excluded
        ]
    )
