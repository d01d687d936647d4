"""What events can do to parts: a registry filled by a decorator.

An action returns a function that takes it back, or None if there is nothing to
take back. An event with ``for`` calls that function after the given time.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

import attrs

from tests.scenarios.history import (
    END_OF_TIME_S,
    Cut,
    EndpointLeaving,
    Interval,
    NodeShutdown,
)
from tests.scenarios.recorder import now_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.scenarios.run_state import RunState

    Undo = Callable[[], None]
    Act = Callable[[RunState, str, dict[str, Any]], Undo | None]

__all__ = ["ActionKind", "actions_by_verb", "restart_part"]

SHUTDOWN_BOUND_S = 30.0


@attrs.frozen(kw_only=True)
class ActionKind:
    """An action: what it does to one part, and which options it knows."""

    act: Act
    kinds: frozenset[str]
    """Kinds of parts that it can be done to."""

    options: frozenset[str] | None
    """Names of options, or None if the part itself checks them."""


actions_by_verb: dict[str, ActionKind] = {}


def action(verb: str, *, on: str, options: str | None = "") -> Callable[[Act], Act]:
    """Register an action.

    Args:
        verb: Word for it in scenario files.
        on: Kinds of parts, separated by blanks.
        options: Names of options, separated by blanks, or None for any.
    """

    def register(act: Act) -> Act:
        names = None if options is None else frozenset(options.split())
        actions_by_verb[verb] = ActionKind(
            act=act, kinds=frozenset(on.split()), options=names
        )
        return act

    return register


def restart_part(state: RunState, part: str) -> None:
    """Start a part's ended process again."""
    process = state.deployment.process(part)
    if process.is_running:
        return
    if part.startswith("node-"):
        # The life begins with the start, not with the ready line.
        state.lives.begin(part, recovered=True)
        process.restart(wait=False)
        return
    process.restart()
    state.lives.begin(part, recovered=True, incarnation=incarnation_of(state, part))


def incarnation_of(state: RunState, part: str) -> str:
    """Return the incarnation that an engine reports."""
    if not part.startswith("engine-"):
        return ""
    return state.deployment.process(part).call("GET", "/v1/load")["incarnation"]


@action("kill", on="node engine service")
def kill(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """End a process at once; taken back by a start."""
    state.lives.doom(part)
    state.deployment.process(part).kill()
    state.lives.end(part)
    return lambda: restart_part(state, part)


@action("start", on="node engine service")
def start(state: RunState, part: str, options: dict[str, Any]) -> None:
    """Start a process that has ended."""
    restart_part(state, part)


@action("restart", on="node engine service")
def restart(state: RunState, part: str, options: dict[str, Any]) -> None:
    """End a process at once and start it again."""
    kill(state, part, options)
    restart_part(state, part)


@action("freeze", on="node engine service")
def freeze(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Stop a process from running; taken back by letting it go on."""
    process = state.deployment.process(part)
    started_s = now_s()
    process.pause()

    def thaw() -> None:
        process.resume()
        interval = Interval(start_s=started_s, end_s=now_s())
        state.recorder.add(Cut(interval=interval, parts=(part,), reason="frozen"))

    return thaw


@action("shut-down", on="node")
def shut_down(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Ask a node to end gracefully, and record when it has."""
    process = state.deployment.process(part)
    started_s = now_s()
    process.terminate()

    def wait() -> None:
        try:
            code: int | None = process.wait_end(timeout_s=SHUTDOWN_BOUND_S)
        except Exception:  # noqa: BLE001 - recorded as a shutdown without an end
            code = None
            process.kill()
        state.lives.end(part)
        interval = Interval(start_s=started_s, end_s=now_s())
        state.recorder.add(NodeShutdown(interval=interval, node=part, exit_code=code))

    waiter = threading.Thread(target=wait, name=f"shut-down-{part}", daemon=True)
    waiter.start()
    state.undo.append(lambda: waiter.join(SHUTDOWN_BOUND_S))

    def start_again() -> None:
        waiter.join(SHUTDOWN_BOUND_S)
        restart_part(state, part)

    return start_again


@action("leave", on="engine", options="by")
def leave(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Declare an endpoint leaving, by the VM list or by itself."""
    by_engine = options.get("by") == "engine"
    started_s = now_s()

    def declare(leaving: bool) -> None:
        if by_engine:
            state.deployment.process(part).set_faults(leaving=leaving)
            return
        body = {"state": "leaving" if leaving else "live"}
        state.deployment.vm_list.call("POST", f"/control/vms/{part}", body)

    def record(end_s: float) -> None:
        source = "engine" if by_engine else "vm-list"
        state.recorder.add(
            EndpointLeaving(
                interval=Interval(start_s=started_s, end_s=end_s),
                endpoint=part,
                source=source,
            )
        )

    declare(True)
    returned = threading.Event()

    def come_back() -> None:
        returned.set()
        record(now_s())
        declare(False)

    def record_unless_back() -> None:
        if not returned.is_set():
            record(END_OF_TIME_S)

    state.undo.append(record_unless_back)
    return come_back


@action("set", on="log vm-list engine service", options=None)
def set_faults(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Change fault settings of a stand-in; taken back by the earlier ones."""
    process = state.deployment.process(part)
    earlier = process.call("GET", "/control/faults")
    process.set_faults(**options)
    return lambda: process.set_faults(**{name: earlier[name] for name in options})


@action("silence", on="engine service")
def silence(state: RunState, part: str, options: dict[str, Any]) -> None:
    """Let all open connections to an endpoint go silent for good."""
    state.deployment.set_route(part, "silent_existing")


@action("cut-from-platform", on="node")
def cut_from_platform(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Cut a node from the log and the VM list."""
    routes = [f"log-{part}", f"vm-list-{part}"]
    for route in routes:
        state.deployment.set_route(route, "silent")

    def heal() -> None:
        for route in routes:
            state.deployment.set_route(route, "pass")

    return heal


@action("cut-from-zones", on="zone")
def cut_from_zones(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Cut a zone's nodes and endpoints from those of all other zones."""
    state.deployment.cut_zone(part)
    return lambda: state.deployment.heal_zone(part)


@action("isolate", on="zone")
def isolate(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Cut a zone from all other zones and from the platform."""
    deployment = state.deployment
    nodes = [
        node
        for node in deployment.parts("node")
        if deployment.zone_of_part(node) == part
    ]
    started_s = now_s()
    heal_zone = cut_from_zones(state, part, options)
    heal_platform = [cut_from_platform(state, node, options) for node in nodes]

    def heal() -> None:
        for heal_node in heal_platform:
            heal_node()
        heal_zone()
        interval = Interval(start_s=started_s, end_s=now_s())
        state.recorder.add(
            Cut(interval=interval, parts=tuple(nodes), reason="isolated")
        )

    return heal
