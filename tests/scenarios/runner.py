"""Runs one scenario: starts its fleet, runs traffic and events, checks the history."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

import attrs

from tests.fakes.launcher import wait_until
from tests.fleet import MODEL
from tests.scenarios.actions import incarnation_of
from tests.scenarios.balancer import Balancer, NodeAddress
from tests.scenarios.callers import CompletionCaller, CompletionRequest, Organisation
from tests.scenarios.checkers import Verdict, check, checkers_by_property
from tests.scenarios.configuration_watcher import ConfigurationWatcher
from tests.scenarios.deployment import Deployment, plan_of
from tests.scenarios.history import END_OF_TIME_S, Ending, History
from tests.scenarios.measures import measures_by_name
from tests.scenarios.record_collector import collect_records
from tests.scenarios.recorder import Recorder, now_s
from tests.scenarios.run_state import LifetimeTracker, RunState
from tests.scenarios.script import Script
from tests.scenarios.supervisor import Supervisor
from tests.scenarios.traffic import traffic_kinds_by_name

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.scenarios.language import Expectation, Scenario, Send

__all__ = ["Report", "run_scenario"]

TRAFFIC_GRACE_S = 45.0
"""Time for callers to finish their last calls after the end of traffic."""

EVENT_GRACE_S = 60.0
"""Time for events to end after the last caller has finished."""

WARM_UP_TIMEOUT_S = 20.0


@attrs.frozen(kw_only=True)
class Report:
    """The result of a run."""

    scenario: str
    seed: int
    duration_s: float
    history: History
    verdicts: tuple[Verdict, ...]
    faults: tuple[str, ...]
    """A message for each violation, missed expectation and failed caller or event."""
    measured_by_name: dict[str, float]

    @property
    def holds(self) -> bool:
        """Whether no property, expectation, caller or event failed."""
        return not self.faults


class _Traffic:
    """The callers of a run, each on its own thread."""

    def __init__(self, *, state: RunState, sends: tuple[Send, ...]):
        self._sends = sends
        self._threads = [
            threading.Thread(target=self._call, args=(state, send, number), daemon=True)
            for send in sends
            for number in range(send.callers)
        ]
        self.failures: list[str] = []

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Wait until the callers have finished their last calls."""
        longest_s = max((send.for_s for send in self._sends), default=0.0)
        until_s = time.monotonic() + longest_s + TRAFFIC_GRACE_S
        for thread in self._threads:
            thread.join(max(0.0, until_s - time.monotonic()))
            if thread.is_alive():
                self.failures.append("a caller did not end in time")

    def _call(self, state: RunState, send: Send, number: int) -> None:
        until_s = time.monotonic() + send.for_s
        try:
            traffic_kinds_by_name[send.kind].loop(state, send.options, number, until_s)
        except Exception as error:  # noqa: BLE001 - reported with the run's result
            self.failures.append(f"{send.kind} caller {number}: {error!r}")


def _new_state(deployment: Deployment, seed: int) -> RunState:
    lifetimes = LifetimeTracker()
    recorder = Recorder()
    nodes = [NodeAddress(node=node.name, url=node.url) for node in deployment.nodes]
    balancer = Balancer(nodes=nodes, seed=seed, on_readiness=lifetimes.record_readiness)
    return RunState(
        deployment=deployment,
        recorder=recorder,
        balancer=balancer,
        seed=seed,
        lifetimes=lifetimes,
    )


def _record_first_starts(state: RunState) -> None:
    for node in state.deployment.parts("node"):
        state.lifetimes.record_start(node, recovered=False)
    for engine in state.deployment.parts("engine"):
        incarnation = incarnation_of(state, engine)
        state.lifetimes.record_start(engine, recovered=False, incarnation=incarnation)


def _warm_up(state: RunState) -> None:
    """Wait until every node answers a completion; the history omits these calls."""
    for node in state.deployment.nodes:
        address = NodeAddress(node=node.name, url=node.url)
        balancer = Balancer(nodes=[address], seed=0)
        caller = CompletionCaller(balancer=balancer, recorder=Recorder())
        wait_until(
            lambda caller=caller: _is_answered(caller, state.organisations[0]),
            timeout_s=WARM_UP_TIMEOUT_S,
            interval_s=0.1,
            what=f"{node.name} to answer",
        )


def _is_answered(caller: CompletionCaller, organisation: Organisation) -> bool:
    request = CompletionRequest(
        organisation=organisation, model=MODEL, prompt="warm up", max_tokens=1
    )
    return caller.run(request).ending is Ending.DONE


def _expectation_fault(expectation: Expectation, history: History) -> str:
    measured = measures_by_name[expectation.measure](history)
    if expectation.at_least:
        holds = measured >= expectation.amount
    else:
        holds = measured <= expectation.amount
    return "" if holds else f"expected {expectation.text}, measured {measured:.3g}"


def _verdict_faults(verdict: Verdict, *, must_examine: bool) -> list[str]:
    faults = [
        f"{verdict.property_name}: {violation.reason}"
        for violation in verdict.violations
    ]
    if must_examine and not verdict.checked:
        faults.append(f"{verdict.property_name}: nothing was examined")
    return faults


def _report(
    scenario: Scenario, state: RunState, failures: list[str], started_s: float
) -> Report:
    state.lifetimes.end_all()
    records = [*state.recorder.records(), *collect_records(state)]
    history = History(records=records)
    verdicts = tuple(check(name, history) for name in checkers_by_property)
    must_examine = {scenario.property_name, *scenario.held_properties}
    faults = list(failures)
    for verdict in verdicts:
        faults += _verdict_faults(
            verdict, must_examine=verdict.property_name in must_examine
        )
    faults += filter(
        None, (_expectation_fault(item, history) for item in scenario.expectations)
    )
    return Report(
        scenario=scenario.name,
        seed=state.seed,
        duration_s=time.monotonic() - started_s,
        history=history,
        verdicts=verdicts,
        faults=tuple(faults),
        measured_by_name={
            name: measure(history) for name, measure in measures_by_name.items()
        },
    )


def _run_traffic_and_events(
    scenario: Scenario, state: RunState, log: Callable[[str], None]
) -> list[str]:
    """Run traffic and events to their end; return the failures of either."""
    traffic = _Traffic(state=state, sends=scenario.sends)
    script = Script(state=state, events=scenario.events, log=log)
    log(f"{now_s():.3f} traffic begins")
    traffic.start()
    script.start()
    traffic.join()
    script.join(timeout_s=EVENT_GRACE_S)
    state.stopped.set()
    for cleanup in state.cleanups:
        cleanup()
    return traffic.failures + script.failures + _unexpected_exits(state)


def _unexpected_exits(state: RunState) -> list[str]:
    """Return a message for each node that exited without being stopped."""
    faults = []
    for lifetime in state.lifetimes.of_kind("node"):
        process = state.deployment.process(lifetime.part)
        if lifetime.end_s == END_OF_TIME_S and not process.is_running:
            last_lines = process.stderr().strip().splitlines()[-2:]
            faults.append(
                f"{lifetime.part} exited unexpectedly: {' '.join(last_lines)}"
            )
    return faults


def run_scenario(
    scenario: Scenario,
    *,
    seed: int,
    log: Callable[[str], None] = lambda line: None,
) -> Report:
    """Run a scenario once.

    Args:
        scenario: The scenario.
        seed: Determines times, targets of actions and the order of prompts.
        log: Called with one line for each step.

    Returns:
        The result of the run.
    """
    started_s = time.monotonic()
    random.seed(seed)
    plan = plan_of(scenario.counts_by_kind, scenario.start_options)
    with Deployment(plan=plan) as deployment:
        state = _new_state(deployment, seed)
        _record_first_starts(state)
        deployment.configure()
        deployment.wait_ready()
        _warm_up(state)
        watcher = ConfigurationWatcher(
            ports=deployment.operators_ports(), recorder=state.recorder
        )
        supervisor = Supervisor(state=state)
        state.balancer.start()
        watcher.start()
        supervisor.start()
        wait_until(
            lambda: len(state.balancer.ready_nodes()) == len(deployment.nodes),
            what="all nodes to be ready",
        )
        try:
            failures = _run_traffic_and_events(scenario, state, log)
        finally:
            supervisor.stop()
            watcher.stop()
            state.balancer.stop()
        return _report(scenario, state, failures, started_s)
