"""Test deployment: fake services and node daemons in three availability zones."""

from __future__ import annotations

import hashlib
import json
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import attrs

from tests.fakes.launcher import REPOSITORY, Launcher, Process, wait_until
from tests.ports import stable_ports

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["Fleet", "FleetPlan", "caller_key"]

NODE_SECRET = "node-secret-for-tests-only"
OPERATOR_SECRET = "operator-secret-for-tests-only"
MODEL = "survey"
"""Model that callers request."""

ENGINE_MODEL = "m"
"""Model that the engines load."""

SERVICE_PREFIX = "tent-app"


@attrs.frozen(kw_only=True)
class FleetPlan:
    """Size and behaviour of a deployment."""

    zones: tuple[str, ...] = ("perth-a", "perth-b", "bunbury-c")
    region: str = "wa-south"
    nodes: int = 3
    engines: int = 5
    services: int = 1
    organisations: tuple[str, ...] = ("swanfold", "umurava")
    weights_version: str = "v1"
    engine_flags: dict[str, Any] = attrs.field(factory=dict)
    node_settings: dict[str, Any] = attrs.field(factory=dict)
    """Sections that are merged into the settings of every node."""

    extra_objects: tuple[dict[str, Any], ...] = ()
    """Additional objects of the first configuration, such as limits."""


def caller_key(organisation: str) -> str:
    """Return the API key of an organisation's callers."""
    return f"key-of-{organisation}"


class Fleet:
    """Context manager of a running deployment.

    Args:
        plan: Size and behaviour, or None for the defaults.
    """

    def __init__(self, *, plan: FleetPlan | None = None):
        self.plan = plan or FleetPlan()
        self.launcher = Launcher()
        self.log: Process
        self.vm_list: Process
        self.engines: list[Process] = []
        self.services: list[Process] = []
        self.nodes: list[Process] = []
        self._ports: list[int] = []
        """Three ports of each node, in this order: callers, operators, peers."""

    def __enter__(self) -> Fleet:
        try:
            self._start_fakes()
            self.start_nodes()
        except BaseException:
            self.launcher.close()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self.launcher.close()

    @property
    def running_nodes(self) -> list[Process]:
        """The nodes whose processes are running."""
        return [node for node in self.nodes if node.is_running]

    def operators_address(self, index: int) -> str:
        """Return the ``host:port`` address of a node's operators' port."""
        return f"127.0.0.1:{self._ports[3 * index + 1]}"

    def zone_of(self, index: int) -> str:
        """Return the zone of the node, engine or service with this index."""
        return self.plan.zones[index % len(self.plan.zones)]

    def objects(self) -> list[dict[str, Any]]:
        """Return the objects of the first configuration."""
        organisations = self.plan.organisations
        return [
            *({"kind": "organisation", "id": name} for name in organisations),
            *(
                {
                    "kind": "key",
                    "id": f"{name}-key",
                    "organisation": name,
                    "sha256": hashlib.sha256(caller_key(name).encode()).hexdigest(),
                }
                for name in organisations
            ),
            {
                "kind": "model_version",
                "id": "m-version",
                "model": ENGINE_MODEL,
                "weights_version": self.plan.weights_version,
            },
            self._pool("engines", "engine", self.engines),
            self._pool("bookings", "plain", self.services),
            {
                "kind": "routing_policy",
                "id": "survey-policy",
                "model": MODEL,
                "model_version": "m-version",
                "pool": "engines",
            },
            {
                "kind": "service",
                "id": "tent-app",
                "prefix": SERVICE_PREFIX,
                "pool": "bookings",
            },
            *self.plan.extra_objects,
        ]

    def write_objects_file(
        self, *, base_revision: int = 0, objects: Sequence[dict[str, Any]] | None = None
    ) -> str:
        """Write a set of configuration objects to a file and return its path."""
        wanted = self.objects() if objects is None else list(objects)
        path = self.launcher.directory / f"set-{base_revision}.jsonc"
        document = {"base_revision": base_revision, "objects": wanted}
        path.write_text(json.dumps(document, indent=2))
        return str(path)

    def ctl(self, *arguments: str, node: int = 0) -> subprocess.CompletedProcess[str]:
        """Run ``crocuswickctl`` against a node."""
        command = [
            sys.executable,
            "-m",
            "crocuswick.operators.ctl",
            f"--node={self.operators_address(node)}",
            f"--key_file={self.launcher.directory / 'operator.key'}",
            *arguments,
        ]
        return subprocess.run(
            command, cwd=REPOSITORY, capture_output=True, text=True, timeout=60
        )

    def apply(self, **options: Any) -> subprocess.CompletedProcess[str]:
        """Apply the first configuration, or another set of objects."""
        return self.ctl("apply", self.write_objects_file(**options))

    def wait_ready(self, *, timeout_s: float = 10.0) -> None:
        """Wait until every running node accepts requests and has found an engine."""
        for node in self.running_nodes:
            wait_until(
                lambda node=node: _is_ready(node),
                timeout_s=timeout_s,
                what=f"{node.name} to be ready",
            )

    def node_settings(self, index: int) -> dict[str, Any]:
        """Return the settings of a node."""
        callers, operators, peers = self._ports[3 * index : 3 * index + 3]
        zone = self.zone_of(index)
        settings = {
            "node_id": f"node-{index + 1}",
            "zone": zone,
            "region": self.plan.region,
            "callers": {"host": "127.0.0.1", "port": callers},
            "operators": {
                "host": "127.0.0.1",
                "port": operators,
                "key_file": "operator.key",
            },
            "nodes": {
                "host": "127.0.0.1",
                "port": peers,
                "seeds": [f"127.0.0.1:{port}" for port in self._ports[2::3]],
                "key_file": "node.key",
            },
            "platform_log": {"address": self.log.address},
            "vm_list": {"address": self.vm_list.address, "poll_interval_ms": 300},
        }
        for section, values in self.plan.node_settings.items():
            merged = settings.get(section, {})
            settings[section] = {**merged, **values} if merged else values
        return settings

    def _pool(
        self, pool_id: str, kind: str, processes: Sequence[Process]
    ) -> dict[str, Any]:
        endpoints = [
            {
                "id": process.name,
                "address": process.address,
                "zone": self.zone_of(index),
            }
            for index, process in enumerate(processes)
        ]
        return {
            "kind": "endpoint_pool",
            "id": pool_id,
            "pool_kind": kind,
            "endpoints": endpoints,
        }

    def _start_fakes(self) -> None:
        launcher = self.launcher
        self.log = launcher.fake("log_service", wait=False)
        self.vm_list = launcher.fake("vm_list", wait=False)
        flags = {
            "models": f"{ENGINE_MODEL}={self.plan.weights_version}",
            **self.plan.engine_flags,
        }
        self.engines = [
            launcher.fake(
                "engine",
                name=f"engine-{index + 1}",
                wait=False,
                history=launcher.directory / f"engine-{index + 1}.history",
                **flags,
            )
            for index in range(self.plan.engines)
        ]
        self.services = [
            launcher.fake("plain_service", name=f"booking-{index + 1}", wait=False)
            for index in range(self.plan.services)
        ]
        launcher.wait_ready()

    def start_nodes(self) -> None:
        """Start the nodes of the plan and wait until they are ready."""
        directory = self.launcher.directory
        self._ports = stable_ports(3 * self.plan.nodes)
        (directory / "node.key").write_text(NODE_SECRET)
        (directory / "operator.key").write_text(OPERATOR_SECRET)
        self.nodes = [
            self.launcher.daemon(
                self.node_settings(index), name=f"node-{index + 1}", wait=False
            )
            for index in range(self.plan.nodes)
        ]
        self.launcher.wait_ready()


def _is_ready(node: Process) -> bool:
    try:
        node.call("GET", "/readyz")
    except ValueError:
        # The body is not JSON; `call` raises another error for an error status.
        return True
    except Exception:  # noqa: BLE001 - any other error means not ready yet
        return False
    return True
