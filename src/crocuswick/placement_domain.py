"""The endpoints among which a request is placed."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from crocuswick.load import EndpointLoad
from crocuswick.rendezvous import Rendezvous

__all__ = ["Candidate", "PlacementDomain", "domain_of", "domain_without"]


@attrs.define(kw_only=True, eq=False)
class Candidate:
    """A placeable endpoint."""

    endpoint_id: str
    """The endpoint."""

    bit: int
    """The endpoint's bit in the cache index."""

    load: EndpointLoad
    """Its expected queue."""

    crossing_s: float
    """Time that crossing to another zone takes."""


@attrs.define(kw_only=True, eq=False)
class PlacementDomain:
    """The endpoints that may serve one model version, for one pool."""

    candidates: Sequence[Candidate]
    """All placeable endpoints."""

    candidates_by_id: dict[str, Candidate]
    """The same by id."""

    candidates_by_bit: dict[int, Candidate]
    """The same by bit in the cache index."""

    mask: int
    """All their bits."""

    rendezvous: Rendezvous
    """Rendezvous hash over them."""


def domain_of(candidates: Sequence[Candidate]) -> PlacementDomain:
    """Return the domain of some endpoints."""
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
    """Return a domain without some endpoints."""
    if excluded.isdisjoint(domain.candidates_by_id):
        return domain
    return domain_of(
        [
            candidate
            for candidate in domain.candidates
            if candidate.endpoint_id not in excluded
        ]
    )
