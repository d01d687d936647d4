"""The fleet of a scenario: a `tests.fleet.Fleet` whose connections can fail.

Every node reaches the log and the VM list, and all nodes reach an endpoint,
through routes of a relay, so that connections can be cut or made silent.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from tests.fleet import ENGINE_MODEL, NODE_SECRET, OPERATOR_SECRET, Fleet, FleetPlan
from tests.ports import stable_ports
from tests.scenarios.cut_daemon import CUT_FILE_VARIABLE
from tests.scenarios.operators import OperatorsPort

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from tests.fakes.launcher import Process

__all__ = ["ENGINE_OPTIONS", "ZONES", "Deployment", "plan_of"]

ZONES = ("perth-a", "perth-b", "bunbury-c")
ORGANISATIONS = ("swanfold", "umurava", "tent-council")
POISON_MARKER = "(poison)"

ENGINE_OPTIONS = frozenset(
    {"decode_ms", "prefill_us_per_token", "capacity_blocks", "max_running"}
)
"""Options of the start statement that are passed to every engine."""


def plan_of(counts_by_kind: dict[str, int], options: dict[str, Any]) -> FleetPlan:
    """Return the fleet plan of a scenario's start statement."""
    engine_flags = {name: options[name] for name in ENGINE_OPTIONS & options.keys()}
    return FleetPlan(
        zones=ZONES[: counts_by_kind.get("zone", len(ZONES))],
        nodes=counts_by_kind.get("node", 0),
        engines=counts_by_kind.get("engine", 0),
        services=counts_by_kind.get("service", 0),
        organisations=ORGANISATIONS,
        engine_flags={"poison_marker": POISON_MARKER, **engine_flags},
        node_settings={"endpoints": {"progress_timeout_ms": 1000}},
    )


class Deployment(Fleet):
    """A fleet with a relay between its nodes and the services that they call."""

    def __init__(self, *, plan: FleetPlan):
        super().__init__(plan=plan)
        self._ports = stable_ports(3 * plan.nodes)
        self.relay: Process
        self._addresses_by_route: dict[str, str] = {}
        self._cut_zones: set[str] = set()

    def process(self, part: str) -> Process:
        """Return the process of a part."""
        return self.launcher.processes_by_name[part]

    def zone_of_part(self, part: str) -> str:
        """Return the zone of a numbered part."""
        return self.zone_of(_index(part))

    def parts(self, kind: str) -> list[str]:
        """Return the names of the parts of a kind."""
        if kind == "zone":
            return list(self.plan.zones)
        counts = {
            "node": self.plan.nodes,
            "engine": self.plan.engines,
            "service": self.plan.services,
        }
        return [f"{kind}-{number}" for number in range(1, counts[kind] + 1)]

    def cut_zone(self, zone: str) -> None:
        """Cut the nodes and endpoints of a zone off from those of all other zones."""
        self._cut_zones.add(zone)
        self._write_cuts()

    def heal_zone(self, zone: str) -> None:
        """Undo the cut of a zone."""
        self._cut_zones.discard(zone)
        self._write_cuts()

    def set_route(self, route: str, mode: str) -> None:
        """Set the mode of a route of the relay."""
        self.relay.call("POST", f"/control/routes/{route}", {"mode": mode})

    def configure(self) -> None:
        """Apply the first configuration.

        Raises:
            RuntimeError: The configuration was not accepted.
        """
        applied = self.apply()
        if applied.returncode != 0:
            raise RuntimeError(f"apply failed: {applied.stdout}{applied.stderr}")

    def operators_ports(self) -> list[OperatorsPort]:
        """Return new clients of the operators' ports of all nodes."""
        return [
            OperatorsPort(node=node, address=self.operators_address(_index(node)))
            for node in self.parts("node")
        ]

    def vms(self) -> list[dict[str, Any]]:
        """Return the VM list of the whole fleet."""
        nodes = [self._vm(name, "entry") for name in self.parts("node")]
        endpoints = [*self.parts("engine"), *self.parts("service")]
        return nodes + [self._vm(name, "endpoint") for name in endpoints]

    def node_settings(self, index: int) -> dict[str, Any]:
        """Return the settings of a node, with relayed addresses."""
        settings = super().node_settings(index)
        name = f"node-{index + 1}"
        log = self._route(f"log-{name}", self.log.address)
        vm_list = self._route(f"vm-list-{name}", self.vm_list.address)
        settings["platform_log"]["address"] = log
        settings["vm_list"]["address"] = vm_list
        return settings

    def _vm(self, name: str, kind: str) -> dict[str, Any]:
        address = self._addresses_by_route.get(name, "127.0.0.1")
        return {
            "id": name,
            "zone": self.zone_of_part(name),
            "address": address,
            "kind": kind,
            "state": "live",
        }

    def _route(self, name: str, target: str) -> str:
        """Return the relay address of a target; create its route if necessary."""
        if name not in self._addresses_by_route:
            route = {"name": name, "target": target}
            answer = self.relay.call("POST", "/control/routes", route)
            self._addresses_by_route[name] = answer["address"]
        return self._addresses_by_route[name]

    def _pool(
        self, pool_id: str, kind: str, processes: Sequence[Process]
    ) -> dict[str, Any]:
        pool = super()._pool(pool_id, kind, processes)
        for endpoint in pool["endpoints"]:
            endpoint["address"] = self._route(endpoint["id"], endpoint["address"])
        return pool

    def _ports_in_zone(self, zone: str) -> set[int]:
        """Return the ports of a zone that other zones connect to."""
        nodes = [name for name in self.parts("node") if self.zone_of_part(name) == zone]
        # Other nodes connect to the last of a node's three ports, that for peers.
        ports = {self._ports[3 * _index(name) + 2] for name in nodes}
        for name in [*self.parts("engine"), *self.parts("service")]:
            if self.zone_of_part(name) == zone:
                ports.add(int(self._addresses_by_route[name].rsplit(":", 1)[1]))
        return ports

    def _unreachable_from(self, zone: str) -> set[int]:
        """Return the ports that nodes of a zone can't reach at present."""
        ports = set()
        for other in self.plan.zones:
            if other != zone and self._cut_zones & {zone, other}:
                ports |= self._ports_in_zone(other)
        return ports

    def _write_cuts(self) -> None:
        for name in self.parts("node"):
            ports = sorted(self._unreachable_from(self.zone_of_part(name)))
            written = self._cut_file(name).with_suffix(".new")
            written.write_text(json.dumps(ports))
            written.replace(self._cut_file(name))

    def _cut_file(self, node: str) -> Path:
        return self.launcher.directory / f"{node}.cuts"

    def start_nodes(self) -> None:
        """Start the nodes with sockets that a partition can cut."""
        directory = self.launcher.directory
        (directory / "node.key").write_text(NODE_SECRET)
        (directory / "operator.key").write_text(OPERATOR_SECRET)
        for index, name in enumerate(self.parts("node")):
            settings = directory / f"{name}.json"
            settings.write_text(json.dumps(self.node_settings(index), indent=2))
            command = [
                "env",
                f"{CUT_FILE_VARIABLE}={self._cut_file(name)}",
                sys.executable,
                "-m",
                "tests.scenarios.cut_daemon",
                f"--settings={settings}",
            ]
            self.nodes.append(self.launcher.start(name, command, wait=False))
        self.launcher.wait_ready()

    def _start_fakes(self) -> None:
        launcher = self.launcher
        self.relay = launcher.fake("relay", wait=False)
        self.log = launcher.fake("log_service", name="log", wait=False)
        self.vm_list = launcher.fake("vm_list", name="vm-list", wait=False)
        self.engines = [self._start_engine(name) for name in self.parts("engine")]
        self.services = [self._start_service(name) for name in self.parts("service")]
        launcher.wait_ready()
        for process in [*self.engines, *self.services]:
            self._route(process.name, process.address)
        self.vm_list.call("POST", "/control/vms", {"vms": self.vms()})

    def _start_engine(self, name: str) -> Process:
        return self.launcher.fake(
            "engine",
            name=name,
            wait=False,
            port=stable_ports(1)[0],
            record_prompts=True,
            history=self.launcher.directory / f"{name}.history",
            models=f"{ENGINE_MODEL}={self.plan.weights_version}",
            **self.plan.engine_flags,
        )

    def _start_service(self, name: str) -> Process:
        runs = self.launcher.directory / f"{name}.runs"
        return self.launcher.fake(
            "plain_service",
            name=name,
            wait=False,
            port=stable_ports(1)[0],
            runs=runs,
        )


def _index(part: str) -> int:
    """Return the zero-based index of a numbered part."""
    return int(part.rsplit("-", 1)[1]) - 1
