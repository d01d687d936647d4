"""Command line of the scenarios: ``list``, ``run NAME`` and ``soak``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from absl import app, flags

from tests.scenarios.catalogue import load_all
from tests.scenarios.checkers import title_of
from tests.scenarios.runner import run_scenario
from tests.scenarios.soak import soak

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.scenarios.runner import Report

    Command = Callable[[list[str]], int]

SEED_FLAG = flags.DEFINE_integer("seed", 1, "Seed of the random choices of a run.")
MINUTES_FLAG = flags.DEFINE_float("minutes", 1.0, "Duration of a soak run in minutes.")
TRACE_FLAG = flags.DEFINE_bool("trace", True, "Print each action when it is performed.")

EXIT_FAULT = 1
EXIT_USAGE = 2
MAX_FAULTS_PRINTED = 20

commands_by_name: dict[str, Command] = {}


def command(name: str) -> Callable[[Command], Command]:
    """Register a function as the command of a name."""

    def register(function: Command) -> Command:
        commands_by_name[name] = function
        return function

    return register


def log(line: str) -> None:
    """Print a line without buffering, unless tracing is off."""
    if TRACE_FLAG.value:
        print(line, flush=True)


def print_report(report: Report) -> None:
    """Print the verdicts, measures and faults of a run."""
    for verdict in report.verdicts:
        state = "holds" if verdict.holds else "BROKEN"
        if not verdict.checked and not verdict.violations:
            state = "not examined"
        print(f"  {verdict.property_name}: {state} ({verdict.checked} facts)")
    measured = [
        f"{name} {value:.3g}" for name, value in report.measured_by_name.items()
    ]
    print(f"  measured: {', '.join(measured)}")
    for fault in report.faults[:MAX_FAULTS_PRINTED]:
        print(f"  FAULT {fault}")
    if len(report.faults) > MAX_FAULTS_PRINTED:
        print(f"  and {len(report.faults) - MAX_FAULTS_PRINTED} more faults")
    outcome = "held" if report.holds else "did not hold"
    print(
        f"{report.scenario} seed {report.seed}: {outcome} in {report.duration_s:.1f} s"
    )


@command("list")
def list_scenarios(arguments: list[str]) -> int:
    """Print a line for each scenario: name, tab, property."""
    for scenario in load_all().values():
        print(f"{scenario.name}\t{scenario.tab}\t{title_of(scenario.property_name)}")
    return 0


@command("run")
def run(arguments: list[str]) -> int:
    """Run one scenario; return exit code 0 only if all its checks pass."""
    scenarios_by_name = load_all()
    if len(arguments) != 1 or arguments[0] not in scenarios_by_name:
        names = ", ".join(scenarios_by_name)
        print(f"usage: run NAME; known: {names}", file=sys.stderr)
        return EXIT_USAGE
    report = run_scenario(
        scenarios_by_name[arguments[0]], seed=SEED_FLAG.value, log=log
    )
    print_report(report)
    return 0 if report.holds else EXIT_FAULT


@command("soak")
def run_soak(arguments: list[str]) -> int:
    """Run scenarios with random faults; return exit code 0 if all checks pass."""
    reports = soak(minutes=MINUTES_FLAG.value, seed=SEED_FLAG.value, log=log)
    for report in reports:
        print_report(report)
    broken = [report.seed for report in reports if not report.holds]
    print(f"{len(reports)} runs, {len(broken)} did not hold, their seeds: {broken}")
    return EXIT_FAULT if broken else 0


def main(argv: list[str]) -> int:
    """Run the command that the first argument names."""
    name = argv[1] if len(argv) > 1 else ""
    if name not in commands_by_name:
        print(f"usage: {' | '.join(commands_by_name)}", file=sys.stderr)
        return EXIT_USAGE
    return commands_by_name[name](argv[2:])


if __name__ == "__main__":
    app.run(main)
