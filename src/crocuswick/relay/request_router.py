"""Routing of callers' requests by host, path and key."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from crocuswick.errors import Refusal
from crocuswick.relay.relay_request import RoutedRequest

if TYPE_CHECKING:
    from crocuswick.relay.relay_request import CallerRequest
    from crocuswick.relay.serving import Organisation, Route, ServingConfiguration

__all__ = ["no_configuration", "route_request"]

ROUTE_PRIORITY_LEVELS = 3
"""Route priorities that are distinguished within the priority of an organisation;
engines distinguish ten priorities in all."""

NO_CONFIGURATION_RETRY_S = 0.5
"""Retry-After of a starting node; it reads its first configuration within some hundred
milliseconds."""


def route_request(
    configuration: ServingConfiguration, caller: CallerRequest
) -> Result[RoutedRequest, Refusal]:
    """Find the route, service and organisation of a request.

    Args:
        configuration: The current configuration.
        caller: The request.

    Returns:
        The request with its route, or a refusal: 404 without a matching route, 401
        without a known key.
    """
    route = configuration.route(caller.host, caller.path)
    if route is None:
        return Err(_refusal(404, "no-route", "No route has this host and path."))
    organisation = (
        configuration.organisations_by_key.get(caller.key) if caller.key else None
    )
    if organisation is None and configuration.needs_key and not route.is_public:
        return Err(_refusal(401, "unknown-key", "The key is missing or not known."))
    return Ok(
        RoutedRequest(
            caller=caller,
            route=route,
            service=_service(route, caller),
            organisation=organisation,
            priority=_priority(route, organisation),
            deadline_s=_deadline_s(route, caller),
            configuration_version=configuration.version,
        )
    )


def no_configuration() -> Refusal:
    """Return the refusal by a node that has no configuration yet."""
    return Refusal(
        status=503,
        title="starting",
        detail="The node has no configuration yet; the request was not run.",
        step="route",
        retry_after_s=NO_CONFIGURATION_RETRY_S,
    )


def _refusal(status: int, title: str, detail: str) -> Refusal:
    return Refusal(status=status, title=title, detail=detail, step="route")


def _service(route: Route, caller: CallerRequest) -> str:
    """Return a service by weight, always the same one for the same request id."""
    total = sum(share.weight for share in route.shares)
    if len(route.shares) == 1 or total <= 0:
        return route.shares[0].service
    digest = hashlib.blake2b(caller.request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") % total
    for share in route.shares:
        if point < share.weight:
            return share.service
        point -= share.weight
    return route.shares[-1].service


def _priority(route: Route, organisation: Organisation | None) -> int:
    """Return the priority of a request, ordered by organisation and then by route.

    Without the route's priority, long prompts would have the same priority as the
    short ones of their organisation and delay them.
    """
    route_priority = min(route.priority, ROUTE_PRIORITY_LEVELS - 1)
    if organisation is None or organisation.priority is None:
        return route_priority
    return organisation.priority * ROUTE_PRIORITY_LEVELS + route_priority


def _deadline_s(route: Route, caller: CallerRequest) -> float:
    limit_ms = route.timeout_ms
    if caller.time_budget_ms is not None:
        limit_ms = min(limit_ms, caller.time_budget_ms)
    return caller.received_s + limit_ms / 1000
