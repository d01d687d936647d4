"""Placement: decides which endpoint serves a request.

`Placer` does no I/O, starts no threads and reads no clock. It has one owner and
isn't thread-safe.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok

from crocuswick.block_key import BLOCK_TOKENS
from crocuswick.cache_index import CacheIndex
from crocuswick.hot_prefix import HotPrefixes
from crocuswick.kv_import import ImportCost
from crocuswick.load import EndpointLoad
from crocuswick.placement_domain import (
    Candidate,
    PlacementDomain,
    domain_of,
    domain_without,
)
from crocuswick.placement_messages import (
    EndpointDescription,
    EndpointStatus,
    NoEndpoint,
    Placement,
    PlacementRequest,
)
from crocuswick.placement_policy import (
    CROSS_ZONE_LATENCY_S,
    PlacementView,
    policies_by_name,
    prefix_level_keys,
)
from crocuswick.rendezvous import stable_hash
from crocuswick.ttft_policy import DEFAULT_POLICY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from result import Result

    from crocuswick.cache_index import CacheEvents, CacheSnapshot
    from crocuswick.load import LoadReport
    from crocuswick.placement_policy import Choice

__all__ = [
    "EndpointDescription",
    "EndpointStatus",
    "NoEndpoint",
    "Placement",
    "PlacementRequest",
    "Placer",
]

MIN_ZONE_ENDPOINTS = 8
"""Number of eligible endpoints below which those of further zones are added."""

RETRY_AFTER_S = 1.0
MAX_IN_FLIGHT = 8192
"""Maximum number of sent requests that are tracked; requests beyond it are not counted
as load."""

READY = "ready"


@attrs.define(kw_only=True, eq=False)
class _Endpoint:
    """State of one endpoint."""

    description: EndpointDescription
    slot: int
    load: EndpointLoad = attrs.field(factory=EndpointLoad)
    is_leaving: bool = False
    sent: int = 0

    def serves(self, model: str, weights_version: str) -> bool:
        """Return whether a request for a model version may be sent here."""
        report = self.load.report
        if self.is_leaving or report is None or report.state != READY:
            return False
        return report.weights_versions_by_model.get(model) == weights_version


@attrs.frozen(kw_only=True)
class _InFlight:
    """A request that has been sent and has not finished."""

    endpoint_id: str
    incarnation: str
    keys: Sequence[int]


class Placer:
    """Chooses endpoints, and tracks their load and caches for it.

    Times are monotonic, in seconds. All other calls ignore endpoints that weren't
    in the last call of `set_endpoints`.
    """

    def __init__(self, *, zone: str, policy: str = DEFAULT_POLICY, seed: int):
        self._zone = zone
        self._policy = policies_by_name[policy]
        self._random = Random(seed)
        self._index = CacheIndex()
        self._hot_prefixes = HotPrefixes()
        self._import_cost = ImportCost()
        self._endpoints_by_id: dict[str, _Endpoint] = {}
        self._domains_by_target: dict[tuple[str, str, str], PlacementDomain] = {}
        self._in_flight_by_request: dict[tuple[str, str], _InFlight] = {}

    def set_endpoints(self, descriptions: Iterable[EndpointDescription]) -> None:
        """Replace all endpoints; those that remain keep their state."""
        descriptions_by_id = {
            description.id: description for description in descriptions
        }
        for endpoint_id in self._endpoints_by_id.keys() - descriptions_by_id.keys():
            self._index.remove_endpoint(endpoint_id)
            del self._endpoints_by_id[endpoint_id]
        for description in descriptions_by_id.values():
            self._set_endpoint(description)
        self._domains_by_target.clear()

    def set_leaving(self, endpoint_id: str, leaving: bool) -> None:
        """Stop or resume placing requests at an endpoint."""
        endpoint = self._endpoints_by_id.get(endpoint_id)
        if endpoint is None or endpoint.is_leaving == leaving:
            return
        endpoint.is_leaving = leaving
        self._domains_by_target.clear()

    def record_load(self, endpoint_id: str, report: LoadReport, now_s: float) -> None:
        """Apply a load report, unless it is from an earlier incarnation."""
        endpoint = self._endpoints_by_id.get(endpoint_id)
        if endpoint is None or self._index.is_retired(endpoint_id, report.incarnation):
            return
        before = endpoint.load.report
        if self._index.incarnation(endpoint_id) != report.incarnation:
            self._index.clear(endpoint_id, incarnation=report.incarnation)
            endpoint.load.clear()
        elif before is not None and _weights_changed(before, report):
            self._index.clear(endpoint_id, incarnation=report.incarnation)
        endpoint.load.record_report(report, now_s)
        if before is None or _eligibility_changed(before, report):
            self._domains_by_target.clear()

    def record_lost(self, endpoint_id: str, now_s: float) -> None:
        """Record that an endpoint is unreachable.

        Its cache counts as empty, and it gets no requests until its next load report.

        Args:
            endpoint_id: The endpoint.
            now_s: Monotonic time in seconds.
        """
        endpoint = self._endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return
        self._index.clear(endpoint_id)
        endpoint.load.clear()
        self._domains_by_target.clear()

    def record_cache_events(self, endpoint_id: str, events: CacheEvents) -> bool:
        """Apply a batch of cache events.

        Args:
            endpoint_id: The endpoint.
            events: The batch.

        Returns:
            Whether a snapshot is needed.
        """
        if endpoint_id not in self._endpoints_by_id:
            return False
        return self._index.apply_events(endpoint_id, events)

    def record_cache_snapshot(self, endpoint_id: str, snapshot: CacheSnapshot) -> None:
        """Replace the cache index entries of an endpoint."""
        if endpoint_id in self._endpoints_by_id:
            self._index.apply_snapshot(endpoint_id, snapshot)

    def record_sent(
        self,
        endpoint_id: str,
        request_id: str,
        placement: Placement,
        request: PlacementRequest,
        now_s: float,
    ) -> None:
        """Record that a request has been sent.

        Args:
            endpoint_id: The endpoint that it was sent to.
            request_id: Id under which the endpoint knows the request.
            placement: The placement that `place` returned.
            request: The request.
            now_s: Monotonic time in seconds.
        """
        endpoint = self._endpoints_by_id.get(endpoint_id)
        if endpoint is None or len(self._in_flight_by_request) >= MAX_IN_FLIGHT:
            return
        cached_tokens = placement.predicted_cached_blocks * BLOCK_TOKENS
        tokens = max(0, request.prompt_tokens - cached_tokens)
        endpoint.load.record_sent(request_id, tokens, now_s)
        endpoint.sent += 1
        self._in_flight_by_request[endpoint_id, request_id] = _InFlight(
            endpoint_id=endpoint_id,
            incarnation=self._index.incarnation(endpoint_id),
            keys=request.keys,
        )

    def record_first_token(
        self, endpoint_id: str, request_id: str, cached_tokens: int, now_s: float
    ) -> None:
        """Record that a first token was received, so the endpoint now caches the prompt.

        Args:
            endpoint_id: The endpoint that sent it.
            request_id: The request.
            cached_tokens: Prompt tokens that the endpoint found in its cache.
            now_s: Monotonic time in seconds.
        """
        in_flight = self._in_flight_by_request.get((endpoint_id, request_id))
        endpoint = self._endpoints_by_id.get(endpoint_id)
        if in_flight is None or endpoint is None:
            return
        endpoint.load.record_first_token(request_id, now_s)
        if self._index.incarnation(endpoint_id) == in_flight.incarnation:
            self._index.add_blocks(endpoint_id, in_flight.keys)

    def record_finished(self, endpoint_id: str, request_id: str, now_s: float) -> None:
        """Record that a request has ended, successfully or not."""
        in_flight = self._in_flight_by_request.pop((endpoint_id, request_id), None)
        endpoint = self._endpoints_by_id.get(endpoint_id)
        if in_flight is None or endpoint is None:
            return
        endpoint.load.record_finished(request_id)
        endpoint.sent = max(0, endpoint.sent - 1)

    def place(
        self, request: PlacementRequest, now_s: float
    ) -> Result[Placement, NoEndpoint]:
        """Choose the endpoint for a request.

        Args:
            request: The request.
            now_s: Monotonic time in seconds.

        Returns:
            A placement, or the reason why no endpoint can serve the request.
        """
        domain = self._domain(request)
        if not domain.candidates:
            reason = (
                f"no ready endpoint of pool {request.pool!r} serves model "
                f"{request.model!r} in version {request.weights_version!r}"
            )
            return Err(NoEndpoint(reason=reason, retry_after_s=RETRY_AFTER_S))
        level_keys = prefix_level_keys(request.keys)
        view = PlacementView(
            domain=domain,
            keys=request.keys,
            prompt_tokens=request.prompt_tokens,
            holders=self._index.prefix_holders(request.keys),
            level_keys=level_keys,
            hot_prefixes=self._hot_prefixes,
            import_cost=self._import_cost,
            now_s=now_s,
            random=self._random,
        )
        choice = self._policy(view)
        self._hot_prefixes.record(level_keys, now_s)
        return Ok(_placement(choice))

    def describe(self) -> tuple[EndpointStatus, ...]:
        """Return the state of all endpoints, for operators."""
        return tuple(
            self._status(endpoint_id) for endpoint_id in sorted(self._endpoints_by_id)
        )

    def _set_endpoint(self, description: EndpointDescription) -> None:
        endpoint = self._endpoints_by_id.get(description.id)
        if endpoint is not None and endpoint.description.address == description.address:
            endpoint.description = description
            return
        if endpoint is not None:
            self._index.remove_endpoint(description.id)
        self._endpoints_by_id[description.id] = _Endpoint(
            description=description,
            slot=self._index.add_endpoint(description.id),
        )

    def _domain(self, request: PlacementRequest) -> PlacementDomain:
        target = (request.pool, request.model, request.weights_version)
        domain = self._domains_by_target.get(target)
        if domain is None:
            domain = self._build_domain(self._serving(request))
            self._domains_by_target[target] = domain
        if request.excluded:
            return domain_without(domain, request.excluded)
        return domain

    def _serving(self, request: PlacementRequest) -> list[_Endpoint]:
        """Return the eligible endpoints of this zone, and of others if too few."""
        endpoints_by_zone: dict[str, list[_Endpoint]] = {self._zone: []}
        for endpoint in self._endpoints_by_id.values():
            is_in_pool = endpoint.description.pool == request.pool
            if is_in_pool and endpoint.serves(request.model, request.weights_version):
                zone = endpoint.description.zone
                endpoints_by_zone.setdefault(zone, []).append(endpoint)
        serving = endpoints_by_zone.pop(self._zone)
        for zone in sorted(endpoints_by_zone, key=self._zone_sort_key):
            if len(serving) >= MIN_ZONE_ENDPOINTS:
                break
            serving.extend(endpoints_by_zone[zone])
        return serving

    def _zone_sort_key(self, zone: str) -> int:
        # Each zone has its own order of the others, so that the traffic of zones
        # without endpoints doesn't all go to the same zone.
        return stable_hash(f"{self._zone}>{zone}")

    def _build_domain(self, endpoints: Sequence[_Endpoint]) -> PlacementDomain:
        candidates = [
            Candidate(
                endpoint_id=endpoint.description.id,
                bit=1 << endpoint.slot,
                load=endpoint.load,
                cross_zone_latency_s=self._cross_zone_latency_s(endpoint),
            )
            for endpoint in endpoints
        ]
        return domain_of(candidates)

    def _cross_zone_latency_s(self, endpoint: _Endpoint) -> float:
        return 0.0 if endpoint.description.zone == self._zone else CROSS_ZONE_LATENCY_S

    def _status(self, endpoint_id: str) -> EndpointStatus:
        endpoint = self._endpoints_by_id[endpoint_id]
        report = endpoint.load.report
        return EndpointStatus(
            id=endpoint_id,
            zone=endpoint.description.zone,
            pool=endpoint.description.pool,
            weights_versions_by_model=(
                report.weights_versions_by_model if report else {}
            ),
            state=report.state if report else "unknown",
            is_leaving=endpoint.is_leaving,
            incarnation=report.incarnation if report else "",
            running=report.running if report else 0,
            queued=report.queued if report else 0,
            sent=endpoint.sent,
            indexed_blocks=self._index.block_count(endpoint_id),
            index_in_sync=self._index.in_sync(endpoint_id),
        )


def _placement(choice: Choice) -> Placement:
    return Placement(
        endpoint_id=choice.candidate.endpoint_id,
        predicted_cached_blocks=choice.cached_blocks,
        expected_ttft_ms=choice.ttft_s * 1000.0,
        reason=choice.reason,
        import_from=choice.import_from,
    )


def _weights_changed(before: LoadReport, after: LoadReport) -> bool:
    return before.weights_versions_by_model != after.weights_versions_by_model


def _eligibility_changed(before: LoadReport, after: LoadReport) -> bool:
    return before.state != after.state or _weights_changed(before, after)
