"""Execution of a scenario's events: triggers, choice of targets, actions."""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING

from tests.scenarios.actions import actions_by_verb
from tests.scenarios.language import PART_KINDS, At, Every, Named
from tests.scenarios.recorder import now_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.scenarios.language import Action, Event
    from tests.scenarios.run_state import RunState

__all__ = ["Script"]

TRIGGER_TIMEOUT_S = 30.0
SELECTION_TIMEOUT_S = 20.0
SELECTION_INTERVAL_S = 0.02


class Script:
    """Runs the events of a scenario, each on its own thread.

    Args:
        state: The running scenario.
        events: Events in file order.
        log: Called with one line for each action.
    """

    def __init__(
        self, *, state: RunState, events: tuple[Event, ...], log: Callable[[str], None]
    ):
        self._state = state
        self._log = log
        self.failures: list[str] = []
        self._started_s = time.monotonic()
        self._selection_lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run, args=(event, index), daemon=True)
            for index, event in enumerate(events)
        ]

    def start(self) -> None:
        """Start the threads that wait for the triggers."""
        self._started_s = time.monotonic()
        for thread in self._threads:
            thread.start()

    def join(self, *, timeout_s: float) -> None:
        """Wait until all events have ended."""
        until_s = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0.0, until_s - time.monotonic()))
            if thread.is_alive():
                self.failures.append("an event did not end in time")

    def _run(self, event: Event, index: int) -> None:
        rng = random.Random(f"{self._state.seed}-event-{index}")
        try:
            if not self._wait(event, rng):
                self.failures.append(f"line {event.line}: the trigger did not fire")
                return
            self._act(event.action, rng)
        except Exception as error:  # noqa: BLE001 - reported with the run's result
            self.failures.append(f"line {event.line}: {error!r}")

    def _wait(self, event: Event, rng: random.Random) -> bool:
        trigger = event.trigger
        if isinstance(trigger, At):
            due_s = self._started_s + rng.uniform(trigger.first_s, trigger.last_s)
            time.sleep(max(0.0, due_s - time.monotonic()))
            return True
        return self._state.recorder.wait_for_count(
            trigger.counter, trigger.count, timeout_s=TRIGGER_TIMEOUT_S
        )

    def _act(self, action: Action, rng: random.Random) -> None:
        parts = self._parts(action, rng)
        if action.alias:
            self._state.parts_by_alias[action.alias] = parts
        kind = actions_by_verb[action.verb]
        self._log(f"{now_s():.3f} {action.verb} {' '.join(parts)} {action.options}")
        try:
            undo_callbacks = [
                kind.act(self._state, part, action.options) for part in parts
            ]
            if action.for_s is None:
                return
            time.sleep(action.for_s)
            self._log(f"{now_s():.3f} end of {action.verb} {' '.join(parts)}")
            for undo in undo_callbacks:
                if undo is not None:
                    undo()
        finally:
            with self._selection_lock:
                self._state.busy_parts.difference_update(parts)

    def _select_free(
        self, parts: list[str], count: int, rng: random.Random
    ) -> list[str]:
        """Select parts at random that no other action is using."""
        until_s = time.monotonic() + SELECTION_TIMEOUT_S
        shuffled = rng.sample(parts, len(parts))
        while time.monotonic() < until_s:
            with self._selection_lock:
                busy = self._state.busy_parts
                free = [part for part in shuffled if part not in busy]
                if len(free) >= count:
                    busy.update(free[:count])
                    return free[:count]
            time.sleep(SELECTION_INTERVAL_S)
        raise TimeoutError(f"fewer than {count} free parts among {' '.join(parts)}")

    def _parts(self, action: Action, rng: random.Random) -> list[str]:
        """Return the parts that an action targets.

        If the action doesn't apply to zones, a zone stands for the parts inside it
        to which the action applies.
        """
        target = action.target
        if isinstance(target, Named):
            return self._state.parts_by_alias.get(target.name, [target.name])
        deployment = self._state.deployment
        chosen = deployment.parts(target.kind)
        if not isinstance(target, Every):
            chosen = self._select_free(chosen, target.count, rng)
        kinds = actions_by_verb[action.verb].kinds & PART_KINDS
        if target.kind in kinds:
            return chosen
        return [
            part
            for kind in sorted(kinds)
            for part in deployment.parts(kind)
            if deployment.zone_of_part(part) in chosen
        ]
