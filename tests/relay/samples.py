"""Sample routes, services, replicas and requests for tests of the relay."""

from __future__ import annotations

import attrs

from crocuswick.fleet_settings import FleetBounds
from crocuswick.relay.relay_request import (
    CallerRequest,
    Prompt,
    PromptSegment,
    RoutedRequest,
)
from crocuswick.relay.replica import Replica, ReplicaState
from crocuswick.relay.serving import (
    CallerLimits,
    EngineTraits,
    KvStore,
    Organisation,
    Route,
    RouteKind,
    Service,
    ServingConfiguration,
    TrafficShare,
)

MODEL = "m"
ENGINE = EngineTraits(
    slots=64,
    kv_capacity_tokens=100_000,
    kv_bytes_per_token=18_432,
    link_mbps=180_000,
    models=(MODEL,),
)
ENGINES = Service(
    name="engines", health_path="/health", max_connections=100, engine=ENGINE
)
DESK = Service(name="desk", health_path="/health", max_connections=100, engine=None)
STORE = KvStore(
    name="store",
    address="10.9.0.1:80",
    zone="b",
    capacity_tokens=1_000_000,
    link_mbps=20_000,
)
ORGANISATION = Organisation(
    name="mosque", keys=frozenset({"k"}), priority=None, is_isolated=False
)
ISOLATED = Organisation(
    name="council", keys=frozenset({"i"}), priority=None, is_isolated=True
)
BOUNDS = FleetBounds(
    grace_ms=8_000,
    retry_ratio=0.2,
    retry_window_ms=10_000,
    retry_slack=40,
    configuration_ms=2_000,
    departure_ms=2_000,
    lease_ms=3_000,
    weights_ms=10_000,
)


def route(**changes) -> Route:
    """Return a streaming route of the engines."""
    default = Route(
        name="digest",
        host="tents.example",
        path_prefix="/digest/",
        kind=RouteKind.STREAMING,
        shares=(TrafficShare(service=ENGINES.name, weight=1),),
        timeout_ms=6_000,
        target_latency_ms=800,
        max_gap_ms=400,
        max_attempts=2,
        priority=1,
        is_public=False,
        is_resumable=True,
    )
    return attrs.evolve(default, **changes)


def configuration(*routes: Route, **changes) -> ServingConfiguration:
    """Return a configuration with the given routes, or the streaming route."""
    routes_by_host: dict[str, tuple[Route, ...]] = {}
    for each in routes or (route(),):
        known = routes_by_host.get(each.host, ())
        routes_by_host[each.host] = (*known, each)
    default = ServingConfiguration(
        version=1,
        routes_by_host={
            host: tuple(sorted(each, key=lambda route: -len(route.path_prefix)))
            for host, each in routes_by_host.items()
        },
        services_by_name={ENGINES.name: ENGINES, DESK.name: DESK},
        kv_stores=(STORE,),
        organisations_by_key={"k": ORGANISATION, "i": ISOLATED},
        needs_key=True,
        limits=CallerLimits(),
    )
    return attrs.evolve(default, **changes)


def prompt(*, shared: int = 10_000, own: int = 2_000, segment: str = "a1") -> Prompt:
    """Return a prompt with one shared segment and one of its own."""
    segments = [PromptSegment(id="own", tokens=own)]
    if shared:
        segments.insert(0, PromptSegment(id=segment, tokens=shared))
    return Prompt(
        model=MODEL,
        prompt_tokens=shared + own,
        max_output_tokens=100,
        segments=tuple(segments),
    )


def caller(**changes) -> CallerRequest:
    """Return a caller's request for the streaming route."""
    default = CallerRequest(
        request_id="r1",
        method="POST",
        target="/digest/1",
        host="tents.example",
        headers=(),
        body=b"",
        key="k",
        time_budget_ms=6_000,
        last_event_id=None,
        prompt=prompt(),
        received_s=0.0,
    )
    return attrs.evolve(default, **changes)


def routed(**changes) -> RoutedRequest:
    """Return a routed request for the streaming route."""
    default = RoutedRequest(
        caller=caller(),
        route=route(),
        service=ENGINES.name,
        organisation=ORGANISATION,
        priority=1,
        deadline_s=6.0,
        configuration_version=1,
    )
    return attrs.evolve(default, **changes)


def replica(replica_id: str, **changes) -> Replica:
    """Return a ready engine in zone ``a``."""
    default = Replica(
        id=replica_id,
        started_ms=1,
        service=ENGINES.name,
        address=f"10.0.0.{len(replica_id)}:{sum(replica_id.encode())}",
        zone="a",
        state=ReplicaState.READY,
        slots=64,
        weights_by_model={MODEL: 1},
        report_number=1,
    )
    return attrs.evolve(default, **changes)
