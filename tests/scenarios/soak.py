"""Soak runs: scenarios with random faults that are determined by a seed."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from tests.scenarios.language import parse
from tests.scenarios.runner import run_scenario

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.scenarios.language import Scenario
    from tests.scenarios.runner import Report

__all__ = ["random_scenario", "soak"]

ROUND_S = 20
FAULTS_PER_ROUND = 5
LAST_FAULT_S = 14
"""Latest start of a fault, in seconds after the start of traffic."""

SEED_STRIDE = 1000
"""Run seeds reserved for each seed, so that different seeds give different runs."""

HEADER = """name: soak
tab: soak
property: whole-stream
start 3 zones, 4 nodes, 5 engines, 2 services with decode_ms 8
send completions from 8 callers for {round_s}s with tokens 24, organisations 3, shift 4
send bookings from 3 callers for {round_s}s with repeat 0.3, pause_ms 50
"""

FAULTS = (
    "kill one engine for {for_s}s",
    "kill one node for {for_s}s",
    "freeze one node for {for_s}s",
    "freeze one engine for {for_s}s",
    "restart one node",
    "restart 2 nodes",
    "shut-down one node for {for_s}s",
    "silence one engine",
    "leave one engine for 4.5s",
    "set the log for {for_s}s with outage unavailable",
    "set the log for {for_s}s with lose_answers 0.5",
    "set the log for {for_s}s with outage silent",
    "set one engine for {for_s}s with event_drop_rate 0.5",
    "set one engine for {for_s}s with crossed_rate 0.2, repeat_rate 0.2",
    "set one service for {for_s}s with lose_answers 0.3",
    "cut-from-platform one zone for {for_s}s",
)


def random_scenario(seed: int) -> Scenario:
    """Return a scenario whose faults are determined by a seed."""
    rng = random.Random(seed)
    lines = []
    for fault in rng.sample(FAULTS, FAULTS_PER_ROUND):
        at_s = rng.uniform(1, LAST_FAULT_S)
        action = fault.format(for_s=f"{rng.uniform(0.5, 4):.1f}")
        lines.append(f"at {at_s:.1f}s {action}")
    text = HEADER.format(round_s=ROUND_S) + "\n".join(lines) + "\n"
    return parse(text, source_name=f"soak-{seed}")


def soak(*, minutes: float, seed: int, log: Callable[[str], None]) -> list[Report]:
    """Run random scenarios one after the other for a given time.

    Args:
        minutes: Time after which no further run starts.
        seed: Determines the seeds of all runs.
        log: Called with one line for each step.

    Returns:
        The reports; each has the seed with which its run can be repeated.
    """
    until_s = time.monotonic() + 60 * minutes
    reports = []
    while time.monotonic() < until_s:
        run_seed = seed * SEED_STRIDE + len(reports)
        log(f"soak run with seed {run_seed}")
        report = run_scenario(random_scenario(run_seed), seed=run_seed, log=log)
        reports.append(report)
    return reports
