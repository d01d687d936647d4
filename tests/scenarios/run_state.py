"""State of a running scenario, shared by actions and traffic."""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs

from tests.fleet import caller_key
from tests.scenarios.balancer import Balancer
from tests.scenarios.callers import Organisation
from tests.scenarios.deployment import Deployment
from tests.scenarios.history import END_OF_TIME_S, Interval, NodeLifetime
from tests.scenarios.recorder import Recorder, now_s

MAX_STARTUP_S = 12.0
"""Time after a node's restart for which traffic continues if it is not ready."""

FIRST_REQUESTS_S = 2.0
"""Time for which traffic continues after a restarted node is ready."""

__all__ = ["LifetimeTracker", "ProcessLifetime", "RunState"]


@attrs.define(kw_only=True)
class ProcessLifetime:
    """The lifetime of one process of a part.

    The fields have the meaning of those of `NodeLifetime` and `EngineLifetime`.
    """

    part: str
    start_s: float
    end_s: float = END_OF_TIME_S
    alive_until_s: float = END_OF_TIME_S
    listening_s: float | None = None
    ready_s: float | None = None
    recovered: bool = False
    incarnation: str = ""

    @property
    def interval(self) -> Interval:
        """The time from the start of the process to its end."""
        return Interval(start_s=self.start_s, end_s=self.end_s)


def _traffic_needed_until_s(lifetime: ProcessLifetime) -> float:
    """Return until when traffic must continue for a new process to get requests."""
    if lifetime.ready_s is None:
        return lifetime.start_s + MAX_STARTUP_S
    return lifetime.ready_s + FIRST_REQUESTS_S


class LifetimeTracker:
    """Thread-safe record of the lifetimes of all parts' processes."""

    def __init__(self) -> None:
        self._lifetimes: list[ProcessLifetime] = []
        self._lock = threading.Lock()

    def record_start(
        self, part: str, *, recovered: bool, incarnation: str = ""
    ) -> None:
        """Record the start of a part's process."""
        lifetime = ProcessLifetime(
            part=part, start_s=now_s(), recovered=recovered, incarnation=incarnation
        )
        with self._lock:
            self._lifetimes.append(lifetime)

    def mark_stopping(self, part: str) -> None:
        """Record that a part's process is about to be stopped."""
        with self._lock:
            for lifetime in self._running(part):
                lifetime.alive_until_s = now_s()

    def record_end(self, part: str) -> None:
        """Record the end of a part's process."""
        with self._lock:
            for lifetime in self._running(part):
                lifetime.end_s = now_s()

    def end_all(self) -> None:
        """Record the end of the run as the end of all processes still running."""
        with self._lock:
            for lifetime in self._lifetimes:
                lifetime.end_s = min(lifetime.end_s, now_s())

    def record_readiness(self, part: str, moment_s: float, is_ready: bool) -> None:
        """Record the result of a readiness check that a part answered."""
        with self._lock:
            for lifetime in self._running(part):
                if moment_s < lifetime.start_s:
                    continue
                lifetime.listening_s = lifetime.listening_s or moment_s
                if is_ready:
                    lifetime.ready_s = lifetime.ready_s or moment_s

    def has_restarting_node(self) -> bool:
        """Return whether a restarted node still needs traffic.

        Traffic continues until shortly after it is ready, so that it gets requests.
        """
        with self._lock:
            return any(
                lifetime.recovered
                and lifetime.end_s == END_OF_TIME_S
                and now_s() < _traffic_needed_until_s(lifetime)
                for lifetime in self._lifetimes
                if lifetime.part.startswith("node-")
            )

    def of_kind(self, kind: str) -> list[ProcessLifetime]:
        """Return the lifetimes of the parts of a kind."""
        with self._lock:
            return [
                lifetime
                for lifetime in self._lifetimes
                if lifetime.part.startswith(f"{kind}-")
            ]

    def _running(self, part: str) -> list[ProcessLifetime]:
        return [
            lifetime
            for lifetime in self._lifetimes
            if lifetime.part == part and lifetime.end_s == END_OF_TIME_S
        ]


@attrs.define(kw_only=True)
class RunState:
    """A running scenario."""

    deployment: Deployment
    recorder: Recorder
    balancer: Balancer
    seed: int
    lifetimes: LifetimeTracker
    parts_by_alias: dict[str, list[str]] = attrs.field(factory=dict)
    busy_parts: set[str] = attrs.field(factory=set)
    """Parts that a running action uses; no other action selects them at random."""

    cleanups: list[Callable[[], None]] = attrs.field(factory=list)
    """Functions to call at the end of the run."""

    stopped: threading.Event = attrs.field(factory=threading.Event)
    """Set when traffic must stop."""

    organisations: list[Organisation] = attrs.field(init=False)

    @organisations.default
    def _organisations(self) -> list[Organisation]:
        names = self.deployment.plan.organisations
        return [Organisation(id=name, secret=caller_key(name)) for name in names]

    def node_lifetimes(self) -> list[NodeLifetime]:
        """Return the lifetimes of all nodes as history records."""
        return [
            NodeLifetime(
                interval=lifetime.interval,
                node=lifetime.part,
                zone=self.deployment.zone_of_part(lifetime.part),
                listening_s=lifetime.listening_s,
                ready_s=lifetime.ready_s,
                recovered=lifetime.recovered,
            )
            for lifetime in self.lifetimes.of_kind("node")
        ]
