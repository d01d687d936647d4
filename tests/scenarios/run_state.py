"""What a running scenario consists of, shared by actions, traffic and measures."""

from __future__ import annotations

import threading
from collections.abc import Callable

import attrs

from tests.fleet import caller_key
from tests.scenarios.balancer import Balancer
from tests.scenarios.callers import Organisation
from tests.scenarios.deployment import Deployment
from tests.scenarios.history import END_OF_TIME_S, Interval, NodeLife
from tests.scenarios.recorder import Recorder, now_s

MAX_START_S = 12.0
FIRST_REQUESTS_S = 2.0

__all__ = ["Life", "LifeBook", "RunState"]


@attrs.define(kw_only=True)
class Life:
    """One process of a part, from its start to its end."""

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
        """The time in which the process lived."""
        return Interval(start_s=self.start_s, end_s=self.end_s)


def _settled_s(life: Life) -> float:
    """Return until when traffic goes on, so that a new process gets requests."""
    if life.ready_s is None:
        return life.start_s + MAX_START_S
    return life.ready_s + FIRST_REQUESTS_S


class LifeBook:
    """Keeps the lives of the parts."""

    def __init__(self) -> None:
        self._lives: list[Life] = []
        self._lock = threading.Lock()

    def begin(self, part: str, *, recovered: bool, incarnation: str = "") -> None:
        """Note that a part's process was started."""
        life = Life(
            part=part, start_s=now_s(), recovered=recovered, incarnation=incarnation
        )
        with self._lock:
            self._lives.append(life)

    def doom(self, part: str) -> None:
        """Note that a part's process is about to be ended."""
        with self._lock:
            for life in self._open(part):
                life.alive_until_s = now_s()

    def end(self, part: str) -> None:
        """Note that a part's process has ended."""
        with self._lock:
            for life in self._open(part):
                life.end_s = now_s()

    def end_all(self) -> None:
        """Note that the run ends, and with it all that lives."""
        with self._lock:
            for life in self._lives:
                life.end_s = min(life.end_s, now_s())

    def answered(self, part: str, moment_s: float, is_ready: bool) -> None:
        """Note that a part answered whether it is ready."""
        with self._lock:
            for life in self._open(part):
                if moment_s < life.start_s:
                    continue
                life.listening_s = life.listening_s or moment_s
                if is_ready:
                    life.ready_s = life.ready_s or moment_s

    def is_settling(self) -> bool:
        """Return whether a restarted node is not ready yet, or only just."""
        with self._lock:
            return any(
                life.recovered
                and life.end_s == END_OF_TIME_S
                and now_s() < _settled_s(life)
                for life in self._lives
                if life.part.startswith("node-")
            )

    def lives(self, kind: str) -> list[Life]:
        """Return the lives of the parts of a kind."""
        with self._lock:
            return [life for life in self._lives if life.part.startswith(f"{kind}-")]

    def _open(self, part: str) -> list[Life]:
        return [
            life
            for life in self._lives
            if life.part == part and life.end_s == END_OF_TIME_S
        ]


@attrs.define(kw_only=True)
class RunState:
    """A running scenario."""

    deployment: Deployment
    recorder: Recorder
    balancer: Balancer
    seed: int
    lives: LifeBook
    parts_by_alias: dict[str, list[str]] = attrs.field(factory=dict)
    busy_parts: set[str] = attrs.field(factory=set)
    """Parts that an action with a duration holds; no other action picks them."""

    undo: list[Callable[[], None]] = attrs.field(factory=list)
    """What has to be done before the run can be closed."""

    stopped: threading.Event = attrs.field(factory=threading.Event)
    """Set when traffic must end."""

    organisations: list[Organisation] = attrs.field(init=False)

    @organisations.default
    def _organisations(self) -> list[Organisation]:
        names = self.deployment.plan.organisations
        return [Organisation(id=name, secret=caller_key(name)) for name in names]

    def node_lives(self) -> list[NodeLife]:
        """Return the lives of all nodes as records."""
        return [
            NodeLife(
                interval=life.interval,
                node=life.part,
                zone=self.deployment.zone_of_part(life.part),
                listening_s=life.listening_s,
                ready_s=life.ready_s,
                recovered=life.recovered,
            )
            for life in self.lives.lives("node")
        ]
