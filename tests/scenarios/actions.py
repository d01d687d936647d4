"""Registry of the actions that scenario events perform on parts of the fleet.

An action returns a function that undoes it, or None if there is nothing to undo.
An event with ``for`` calls that function after the given time.
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
"""Time after which a node that has not shut down is killed."""


@attrs.frozen(kw_only=True)
class ActionKind:
    """An action: its effect on one part, and the options that it accepts."""

    act: Act
    kinds: frozenset[str]
    """Kinds of parts that it applies to."""

    options: frozenset[str] | None
    """Names of its options, or None if the part itself validates them."""


actions_by_verb: dict[str, ActionKind] = {}


def action(verb: str, *, on: str, options: str | None = "") -> Callable[[Act], Act]:
    """Register an action.

    Args:
        verb: Its verb in scenario files.
        on: Kinds of parts that it applies to, separated by spaces.
        options: Names of options, separated by spaces, or None to accept any.
    """

    def register(act: Act) -> Act:
        names = None if options is None else frozenset(options.split())
        actions_by_verb[verb] = ActionKind(
            act=act, kinds=frozenset(on.split()), options=names
        )
        return act

    return register


def restart_part(state: RunState, part: str) -> None:
    """Restart a part's process if it has ended."""
    process = state.deployment.process(part)
    if process.is_running:
        return
    if part.startswith("node-"):
        # The lifetime begins when the process starts, not when it reports ready.
        state.lifetimes.record_start(part, recovered=True)
        process.restart(wait=False)
        return
    process.restart()
    state.lifetimes.record_start(
        part, recovered=True, incarnation=incarnation_of(state, part)
    )


def incarnation_of(state: RunState, part: str) -> str:
    """Return the incarnation that an engine reports; empty for other parts."""
    if not part.startswith("engine-"):
        return ""
    return state.deployment.process(part).call("GET", "/v1/load")["incarnation"]


@action("kill", on="node engine service")
def kill(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Kill a process; the undo function starts it again."""
    state.lifetimes.mark_stopping(part)
    state.deployment.process(part).kill()
    state.lifetimes.record_end(part)
    return lambda: restart_part(state, part)


@action("start", on="node engine service")
def start(state: RunState, part: str, options: dict[str, Any]) -> None:
    """Start a process that has ended; return no undo function."""
    restart_part(state, part)


@action("restart", on="node engine service")
def restart(state: RunState, part: str, options: dict[str, Any]) -> None:
    """Kill a process and start it again."""
    kill(state, part, options)
    restart_part(state, part)


@action("freeze", on="node engine service")
def freeze(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Pause a process; the undo function resumes it."""
    process = state.deployment.process(part)
    started_s = now_s()
    process.pause()

    def unfreeze() -> None:
        process.resume()
        interval = Interval(start_s=started_s, end_s=now_s())
        state.recorder.add(Cut(interval=interval, parts=(part,), reason="frozen"))

    return unfreeze


@action("shut-down", on="node")
def shut_down(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Ask a node to shut down gracefully, and record its exit."""
    process = state.deployment.process(part)
    started_s = now_s()
    process.terminate()

    def wait() -> None:
        try:
            code: int | None = process.wait_end(timeout_s=SHUTDOWN_BOUND_S)
        except Exception:  # noqa: BLE001 - recorded as a shutdown without exit code
            code = None
            process.kill()
        state.lifetimes.record_end(part)
        interval = Interval(start_s=started_s, end_s=now_s())
        state.recorder.add(NodeShutdown(interval=interval, node=part, exit_code=code))

    waiter = threading.Thread(target=wait, name=f"shut-down-{part}", daemon=True)
    waiter.start()
    state.cleanups.append(lambda: waiter.join(SHUTDOWN_BOUND_S))

    def start_again() -> None:
        waiter.join(SHUTDOWN_BOUND_S)
        restart_part(state, part)

    return start_again


@action("leave", on="engine", options="by")
def leave(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Declare an endpoint leaving, through the VM list or its own engine."""
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
    rejoined = threading.Event()

    def rejoin() -> None:
        rejoined.set()
        record(now_s())
        declare(False)

    def record_if_still_leaving() -> None:
        if not rejoined.is_set():
            record(END_OF_TIME_S)

    state.cleanups.append(record_if_still_leaving)
    return rejoin


@action("set", on="log vm-list engine service", options=None)
def set_faults(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Change the fault settings of a fake; the undo function restores them."""
    process = state.deployment.process(part)
    earlier = process.call("GET", "/control/faults")
    process.set_faults(**options)
    return lambda: process.set_faults(**{name: earlier[name] for name in options})


@action("silence", on="engine service")
def silence(state: RunState, part: str, options: dict[str, Any]) -> None:
    """Make all open connections to an endpoint silent permanently."""
    state.deployment.set_route(part, "silent_existing")


@action("cut-from-platform", on="node")
def cut_from_platform(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Cut a node off from the log and the VM list."""
    routes = [f"log-{part}", f"vm-list-{part}"]
    for route in routes:
        state.deployment.set_route(route, "silent")

    def heal() -> None:
        for route in routes:
            state.deployment.set_route(route, "pass")

    return heal


@action("cut-from-zones", on="zone")
def cut_from_zones(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Cut a zone's nodes and endpoints off from those of all other zones."""
    state.deployment.cut_zone(part)
    return lambda: state.deployment.heal_zone(part)


@action("isolate", on="zone")
def isolate(state: RunState, part: str, options: dict[str, Any]) -> Undo:
    """Cut a zone off from all other zones and from the platform."""
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
