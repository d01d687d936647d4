"""A TCP and UDP relay between processes, with fault injection.

One process serves any number of named routes. The ready line gives the address of
the control interface; routes are added by control calls or ``--routes``:

* ``POST /control/routes`` ``{"name", "target": "host:port", "protocol":
  "tcp"|"udp", "port": 0}`` adds a route and returns ``{"name", "address"}``;
* ``GET /control/routes`` returns ``{"name": {"address", "target", "protocol",
  "connections", "forwarded_bytes"}}``;
* ``POST /control/routes/{name}`` sets the faults of that route (`RouteFaults`);
* ``POST /control/faults`` ``{"routes": {"name": {...}}}`` sets those of several
  routes; the name ``*`` stands for all routes.

A route's ``mode`` is one of

``pass``
    All data is relayed, including data that a cut held back.
``silent_existing``
    Connections that are open now stay silent permanently, new ones work. The mode
    returns to ``pass``.
``silent``
    No data is relayed; new connections are accepted but stay silent too.
``cut_to_target``, ``cut_to_client``
    No data is relayed in that direction.
``refuse``
    Open connections are reset, new ones are refused.

``delay_ms`` delays each chunk in each direction, ``drop_rate`` is the fraction of
datagrams that are dropped. A cut also holds back the close of a connection.
"""

from __future__ import annotations

import asyncio
import threading
from typing import Any

import attrs
from absl import app, flags

from tests.fakes.control import Controlled, update_faults
from tests.fakes.http_service import Reply, Request, Routes, serve
from tests.fakes.relay_routes import MODES, RouteFaults, RouteSpec
from tests.fakes.relay_tcp import TcpRoute
from tests.fakes.relay_udp import UdpRoute

__all__ = ["Relay", "RelayFaults"]

ROUTES_FLAG = flags.DEFINE_list(
    "routes", [], "Routes as name=protocol:port:target_host:target_port."
)

CALL_TIMEOUT_S = 10.0
ALL_ROUTES = "*"

route_types_by_protocol: dict[str, Any] = {"tcp": TcpRoute, "udp": UdpRoute}


@attrs.frozen(kw_only=True)
class RelayFaults:
    """Fault settings of all routes, by name."""

    routes: dict[str, RouteFaults] = attrs.field(factory=dict)


class RouteTable:
    """Routes by name. Its methods must run on the event loop."""

    def __init__(self) -> None:
        self._routes_by_name: dict[str, Any] = {}

    async def add(self, spec: RouteSpec) -> dict[str, Any]:
        """Open a route, unless one of that name exists, and return its address."""
        route = self._routes_by_name.get(spec.name)
        if route is None:
            route = route_types_by_protocol[spec.protocol](spec=spec)
            await route.open()
            self._routes_by_name[spec.name] = route
        return {"name": spec.name, "address": route.address}

    async def describe(self) -> dict[str, Any]:
        """Return the definitions and traffic of the routes."""
        return {name: route.describe() for name, route in self._routes_by_name.items()}

    async def faults(self) -> dict[str, RouteFaults]:
        """Return the faults of all routes."""
        return {name: route.faults for name, route in self._routes_by_name.items()}

    async def set_faults(self, name: str, changes: dict[str, Any]) -> None:
        """Change the faults of one route, or of all."""
        names = list(self._routes_by_name) if name == ALL_ROUTES else [name]
        for route_name in names:
            route = self._routes_by_name[route_name]
            faults = update_faults(route.faults, changes)
            if faults.mode not in MODES:
                raise ValueError(f"unknown mode {faults.mode!r}, not one of {MODES}")
            await route.set_faults(faults)


class Relay(Controlled):
    """Control interface of the relay, whose routes run on an event loop."""

    routes = Routes()

    def __init__(self, *, loop: asyncio.AbstractEventLoop):
        super().__init__(faults=RelayFaults())
        self._loop = loop
        self._table = RouteTable()

    def history(self) -> Any:
        """Return the definitions and traffic of the routes."""
        return {"routes": self._run(self._table.describe())}

    def add_route(self, spec: RouteSpec) -> dict[str, Any]:
        """Open a route and return its address."""
        return self._run(self._table.add(spec))

    @routes.route("GET", "/control/routes")
    def get_routes(self, request: Request) -> Reply:
        """Return the definitions and traffic of the routes."""
        return Reply(body=self._run(self._table.describe()))

    @routes.route("POST", "/control/routes")
    def post_route(self, request: Request) -> Reply:
        """Open a route."""
        return Reply(body=self.add_route(RouteSpec(**request.json())))

    @routes.route("POST", "/control/routes/{name}")
    def post_route_faults(self, request: Request, name: str) -> Reply:
        """Set the faults of one route."""
        return self._set({name: request.json()})

    @routes.route("GET", "/control/faults")
    def get_route_faults(self, request: Request) -> Reply:
        """Return the faults of all routes."""
        faults = RelayFaults(routes=self._run(self._table.faults()))
        return Reply(body=attrs.asdict(faults))

    @routes.route("POST", "/control/faults")
    def post_all_faults(self, request: Request) -> Reply:
        """Set the faults of several routes."""
        return self._set(request.json()["routes"])

    @routes.route("DELETE", "/control/faults")
    def delete_route_faults(self, request: Request) -> Reply:
        """Remove the faults of all routes."""
        return self._set({ALL_ROUTES: attrs.asdict(RouteFaults())})

    def _set(self, changes_by_name: dict[str, dict[str, Any]]) -> Reply:
        try:
            for name, changes in changes_by_name.items():
                self._run(self._table.set_faults(name, changes))
        except KeyError as error:
            return Reply(status=404, body={"error": f"no route {error}"})
        except Exception as error:
            return Reply(status=400, body={"error": str(error)})
        return Reply(
            body=attrs.asdict(RelayFaults(routes=self._run(self._table.faults())))
        )

    def _run(self, coroutine: Any) -> Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(timeout=CALL_TIMEOUT_S)


def _parse_route(text: str) -> RouteSpec:
    name, _, rest = text.partition("=")
    protocol, port, target = rest.split(":", 2)
    return RouteSpec(name=name, protocol=protocol, port=int(port), target=target)


def main(argv: list[str]) -> None:
    """Run the relay."""
    loop = asyncio.new_event_loop()
    threading.Thread(target=loop.run_forever, name="relay", daemon=True).start()
    relay = Relay(loop=loop)
    for text in ROUTES_FLAG.value:
        relay.add_route(_parse_route(text))
    serve(relay.answer)


if __name__ == "__main__":
    app.run(main)
